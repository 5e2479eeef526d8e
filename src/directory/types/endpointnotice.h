#pragma once

#include "base/clock.h"
#include "base/types/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// The notices by which endpoints announce themselves to control instances.
namespace cuminslip::directory {

enum class NoticeState : std::uint8_t
{
  Ready,
  /// Leaving: finishes its running requests and accepts no new ones.
  Draining,
  /// Has left.
  Gone
};

/// One notice of an endpoint. Notices are ordered by incarnation, then
/// sequence; the newest wins.
struct EndpointNotice
{
  EndpointId mId;
  std::string mService;
  std::string mAddress;
  FailureDomainId mFailureDomain;
  std::int64_t mSlots = 1;
  NoticeState mState = NoticeState::Ready;
  /// Increases with each restart of an endpoint that keeps its id.
  Incarnation mIncarnation = 0;
  /// Increases with each notice of one incarnation.
  std::uint64_t mSequence = 0;
  /// Remaining time for which the endpoint is slow after its start.
  Millis mRemainingWarmUpTime{ 0 };

  auto operator==(const EndpointNotice&) const -> bool = default;
};

/// Identifies what notices claim: that an endpoint of a service is reached at
/// an address. Notices of another claim, whoever sent them, do not change it.
struct EndpointClaim
{
  EndpointId mId;
  std::string mService;
  std::string mAddress;

  auto operator<=>(const EndpointClaim&) const = default;
};

inline auto
ClaimOf(const EndpointNotice& aNotice) -> EndpointClaim
{
  return { aNotice.mId, aNotice.mService, aNotice.mAddress };
}

/// A notice and the time since it was received.
struct HeardNotice
{
  EndpointNotice mNotice;
  Millis mAge{ 0 };

  auto operator==(const HeardNotice&) const -> bool = default;
};

/// An endpoint as reported by one control instance.
struct EndpointRow
{
  EndpointNotice mNotice;
  /// No heartbeat was received within TableSettings::mSilentAfter.
  bool mIsSilent = false;

  auto operator==(const EndpointRow&) const -> bool = default;
};

/// The changed endpoints reported by one control instance.
struct EndpointsUpdate
{
  /// Address of the control instance.
  std::string mSource;
  /// The update is complete and replaces what the source reported before.
  bool mIsWhole = false;
  std::vector<EndpointRow> mRows;

  auto operator==(const EndpointsUpdate&) const -> bool = default;
};

} // namespace cuminslip::directory
