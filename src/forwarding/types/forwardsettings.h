#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "policy/enginelanes.h"
#include "policy/retrybudget.h"

#include <string>

namespace cuminslip::forwarding {

struct ForwardSettings
{
  FailureDomainId mFailureDomain;
  /// Peer address of this instance; load notices come from there.
  std::string mPeerAddress;
  Incarnation mIncarnation = 0;
  RetryBudgetRules mRetryBudget;
  LaneRules mLanes;
  /// Longest time to wait for an endpoint to accept a connection.
  Millis mConnectTimeout{ 500 };
  /// It is not made shorter than this for a short answer target: a connection
  /// to a busy endpoint in another region still comes in that time.
  Millis mMinConnectTimeout{ 100 };
  /// How often callers that have left are looked for, while requests run.
  Millis mCallerCheckInterval{ 100 };
  /// Shortest pause between load notices that no long prompt asks for, for each
  /// entry instance that there is: so the notices that one receives stay under
  /// 800 a second however many send them.
  Micros mNoticeIntervalPerInstance{ 1250 };
  /// A long prompt's engines are claimed for this long before it is sent, for
  /// each other entry instance: about what a notice to one more of them takes
  /// on a link of 20 Mbit/s and a tenth of a core.
  Micros mClaimTimePerInstance{ 200 };
  /// What another instance told of its load counts for this long.
  Millis mMaxNoticeAge{ 3000 };
  /// First pause after a failed call to an endpoint; doubles with each in a
  /// row, up to the longest.
  Millis mFirstEjection{ 500 };
  Millis mMaxEjection{ 8000 };

  auto operator==(const ForwardSettings&) const -> bool = default;
};

} // namespace cuminslip::forwarding
