#pragma once

#include "base/clock.h"
#include "base/types/ids.h"

#include <cstdint>
#include <string>
#include <vector>

/// What endpoints say of themselves to the control instances.
namespace cuminslip::directory {

enum class NoticeState : std::uint8_t
{
  Ready,
  /// Leaving: running work goes on, none is to be added.
  Draining,
  /// Has left for good, or another endpoint has its address.
  Gone
};

/// One notice of an endpoint. The newest by incarnation, then sequence, counts.
struct EndpointNotice
{
  EndpointId mId;
  std::string mService;
  std::string mAddress;
  FailureDomainId mFailureDomain;
  std::int64_t mSlots = 1;
  NoticeState mState = NoticeState::Ready;
  /// Grows with each start of an endpoint that keeps its id.
  Incarnation mIncarnation = 0;
  /// Grows with each notice of one incarnation.
  std::uint64_t mSequence = 0;
  /// How much longer it is slow after its start.
  Millis mRemainingWarmUpTime{ 0 };

  auto operator==(const EndpointNotice&) const -> bool = default;
};

/// A notice with how long ago it was heard.
struct HeardNotice
{
  EndpointNotice mNotice;
  Millis mAge{ 0 };

  auto operator==(const HeardNotice&) const -> bool = default;
};

/// An endpoint as one control instance tells of it.
struct EndpointRow
{
  EndpointNotice mNotice;
  /// No heartbeat of it was heard for too long.
  bool mIsSilent = false;

  auto operator==(const EndpointRow&) const -> bool = default;
};

/// Endpoints of which a control instance told news.
struct EndpointsUpdate
{
  /// Address of the control instance.
  std::string mSource;
  /// The source told all that it knows: what it told before is void.
  bool mIsWhole = false;
  std::vector<EndpointRow> mRows;

  auto operator==(const EndpointsUpdate&) const -> bool = default;
};

} // namespace cuminslip::directory
