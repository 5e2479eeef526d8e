#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "policy/admission.h"
#include "policy/endpointchoice.h"
#include "policy/endpointhealth.h"
#include "policy/overload.h"
#include "policy/retries.h"
#include "policy/types/requestfacts.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminslip::requests {

/// Time between two calls of TickFront.
inline constexpr auto kFrontTick = Millis(20);

/// Whether engines are taken to refuse orders with an old fencing number.
enum class FencingRule : std::uint8_t
{
  /// As each announces; none counts as no.
  Announced,
  Checked,
  Unchecked
};

/// What an engine that announces aAnnounced is taken to do. Thread safe.
auto
ChecksFencing(FencingRule aRule, std::optional<bool> aAnnounced) -> bool;

struct FrontSettings
{
  InstanceId mInstance;
  Incarnation mIncarnation = 0;
  OwnPlace mPlace;
  /// Where other instances reach this one, and where it reaches them.
  std::string mPeerAddress;
  std::vector<std::string> mDomainPeers;
  /// Key shown to endpoints; may be empty.
  std::string mEndpointKey;
  std::int64_t mMaxWaitingRequests = 2000;
  std::int64_t mMaxWaitingBytes = std::int64_t{ 512 } * 1024 * 1024;
  /// Lease of memory held at engines, and how often it is renewed.
  Millis mLease{ 15000 };
  Millis mRenewInterval{ 5000 };
  /// Longest time without any byte from an endpoint that reads or answers.
  Millis mSilenceLimit{ 5000 };
  /// Bytes of an answer that may wait for a slow caller.
  std::size_t mMaxUnsentBytes = std::size_t{ 4 } * 1024 * 1024;
  /// Largest record of a non-idempotent run; the control log takes 64 KiB.
  std::size_t mMaxRecordedBytes = std::size_t{ 60 } * 1024;
  FencingRule mEngineFencing = FencingRule::Announced;
  /// Transfers from the weight store at one time, in this failure domain.
  std::size_t mMaxTransfers = 2;
  bool mIsFirstComeFirstServed = false;
  AdmissionSettings mAdmission;
  ChoiceSettings mChoice;
  HealthSettings mHealth;
  RetrySettings mRetries;
  OverloadSettings mOverload;

  auto operator==(const FrontSettings&) const -> bool = default;
};

} // namespace cuminslip::requests
