#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "directory/endpointview.h"
#include "policy/borrowing.h"
#include "policy/crashevidence.h"
#include "policy/deferral.h"
#include "policy/enginelanes.h"
#include "policy/instanceroster.h"
#include "policy/loadgroups.h"
#include "policy/reach.h"
#include "policy/requestlimits.h"
#include "policy/retrybudget.h"
#include "policy/stopping.h"
#include "policy/workorder.h"

#include <optional>
#include <string>

namespace cuminslip::forwarding {

/// How this instance keeps the bound for cold endpoints; see policy/warmup.h.
struct WarmUpRules
{
  double mOvershoot = 1;
  double mSlack = 0;
  /// Interval at which endpoints state in heartbeats how long they stay cold.
  Millis mHeartbeat{ 1200 };

  auto operator==(const WarmUpRules&) const -> bool = default;
};

struct ForwardSettings
{
  FailureDomainId mFailureDomain;
  /// Peer address of this instance, stated as sender of its load notices.
  std::string mPeerAddress;
  Incarnation mIncarnation = 0;
  directory::ViewSettings mView;
  RetryBudgetRules mRetryBudget;
  LaneRules mLanes;
  /// Empty: short prompts are sent in the order of arrival.
  std::optional<DeferralRules> mDeferral;
  /// Empty: prompts wait in the order of arrival, and are refused after
  /// LaneRules::mWaitShare of their time.
  std::optional<WorkOrderRules> mOrder;
  GroupRules mGroups;
  BorrowRules mBorrowing;
  LimitRules mLimits;
  /// Empty: cold endpoints get requests like others.
  std::optional<WarmUpRules> mWarmUp;
  RosterRules mRoster;
  CrashRules mCrashes;
  ReachRules mReach;
  RelayRules mRelay;
  StopRules mStop;
  /// Port at which all entry instances serve requests for those that reach no
  /// endpoint; 0 for none.
  int mRelayPort = 0;
  /// Shown by instances to each other with such requests.
  std::string mRelayKey;
  /// Maximum time for an endpoint to accept a connection.
  Millis mConnectTimeout{ 500 };
  /// Lower bound of the connect timeout for routes with a short answer target.
  /// A busy endpoint in another region still accepts a connection in this time.
  Millis mMinConnectTimeout{ 100 };
  /// Interval between checks for disconnected callers while requests are in
  /// flight.
  Millis mCallerCheckInterval{ 100 };
  /// Minimum interval between load notices that are not urgent, multiplied by
  /// the number of instances in the group. An instance then receives at most
  /// 800 of them per second, however many instances send.
  Micros mNoticeIntervalPerInstance{ 1250 };
  /// Duration of the claim of a long prompt's engines before it is sent,
  /// multiplied by the number of other instances in the group. About the time
  /// to send a notice to one more instance on a link of 20 Mbit/s and a tenth
  /// of a core.
  Micros mClaimTimePerInstance{ 200 };
  /// Minimum interval between summaries of the group's load for other groups.
  Millis mSummaryInterval{ 500 };
  /// Load notices of other instances are ignored after this time.
  Millis mMaxNoticeAge{ 3000 };
  /// Longest answer that is not streamed, and longest event of a stream.
  std::size_t mMaxAnswerBytes = std::size_t{ 8 } * 1024 * 1024;
  std::size_t mMaxEventBytes = std::size_t{ 1024 } * 1024;
  /// A stream is aborted when its caller leaves more than this unread.
  std::size_t mMaxUnsentBytes = std::size_t{ 4 } * 1024 * 1024;
  /// Ejection time after a failed call to an endpoint. Doubles with each
  /// consecutive failure, up to mMaxEjection.
  Millis mFirstEjection{ 500 };
  Millis mMaxEjection{ 8000 };

  auto operator==(const ForwardSettings&) const -> bool = default;
};

} // namespace cuminslip::forwarding
