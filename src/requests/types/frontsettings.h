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

/// How to determine whether an engine rejects orders with an old fencing
/// number.
enum class FencingRule : std::uint8_t
{
  /// As announced by the engine; unset is treated as no.
  Announced,
  /// Assumed to reject them, whatever the engine announces.
  Checked,
  /// Assumed to execute them, whatever the engine announces.
  Unchecked
};

/// Whether an engine that announced aAnnounced is assumed to check fencing
/// numbers. Thread safe.
auto
ChecksFencing(FencingRule aRule, std::optional<bool> aAnnounced) -> bool;

struct FrontSettings
{
  InstanceId mInstance;
  Incarnation mIncarnation = 0;
  OwnPlace mPlace;
  /// Address at which other instances reach this one, and the addresses of the
  /// other instances of the failure domain.
  std::string mPeerAddress;
  std::vector<std::string> mDomainPeers;
  /// Key for authentication to endpoints; may be empty.
  std::string mEndpointKey;
  std::int64_t mMaxWaitingRequests = 2000;
  std::int64_t mMaxWaitingBytes = std::int64_t{ 512 } * 1024 * 1024;
  /// Lease duration of memory held at engines, and its renewal interval.
  Millis mLease{ 15000 };
  Millis mRenewInterval{ 5000 };
  /// Maximum time without any byte from an engine that runs an attempt. Before
  /// the response head, a shorter limit from the predicted times may apply.
  Millis mSilenceLimit{ 5000 };
  /// Maximum unsent bytes of an answer to a slow caller.
  std::size_t mMaxUnsentBytes = std::size_t{ 4 } * 1024 * 1024;
  /// Maximum size of the record of a non-idempotent run. The control log
  /// accepts at most 64 KiB.
  std::size_t mMaxRecordedBytes = std::size_t{ 60 } * 1024;
  FencingRule mEngineFencing = FencingRule::Announced;
  /// Maximum number of concurrent transfers from the weight store in this
  /// failure domain.
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
