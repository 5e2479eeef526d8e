#pragma once

#include "endpoints/holdings.h"
#include "endpoints/membership.h"
#include "endpoints/orphancollector.h"
#include "placement/orderer.h"
#include "policy/prefixknowledge.h"
#include "policy/tokenbucket.h"
#include "policy/waitqueue.h"
#include "requests/front.h"
#include "requests/internal/fleet.h"
#include "requests/types/request.h"

#include <map>
#include <random>
#include <set>

namespace cuminslip::requests {

struct Front
{
  FrontSettings mSettings;
  FrontPorts mPorts;
  std::mt19937_64 mRandom;

  std::map<AccountId, std::shared_ptr<const TemplateInForce>> mTemplates;
  std::map<AccountId, TokenBucket> mBuckets;
  Fleet mFleet;
  endpoints::Membership mMembership;
  PrefixKnowledge mPrefixes;
  ChoiceState mChoice;
  WaitQueue mQueue;
  RetryBudget mRetryBudget;
  OverloadState mOverload;

  std::map<RequestId, std::unique_ptr<Request>> mRequests;
  /// Ended requests; freed at the next tick, as callers up the stack may still
  /// refer to them.
  std::vector<std::unique_ptr<Request>> mEnded;
  endpoints::Ledger mLedger;
  /// Holdings whose release was sent and not answered yet.
  std::set<HoldingId> mReleasing;
  endpoints::OrphanCollector mOrphans;
  placement::Orderer mOrderer;
  TimePoint mNextOrdering;
  /// Prompt tokens admitted by client account and length class, in the present
  /// and in the last window.
  std::map<std::pair<AccountId, std::string>, std::int64_t> mCurrentDemand;
  std::map<std::pair<AccountId, std::string>, std::int64_t> mPreviousDemand;
  TimePoint mDemandWindowEnd;
  TimePoint mNextCallerCheck;
  TimePoint mNextViewRefresh;
  std::uint64_t mNextNumber = 1;
  bool mIsStopping = false;
  bool mIsPumping = false;
  FrontCounters mCounters;
};

/// The open request aId, or null.
auto
FindRequest(Front& aFront, const RequestId& aId) -> Request*;

/// An identifier that no other instance or incarnation makes.
auto
MakeUniqueId(Front& aFront, std::string_view aPrefix) -> std::string;

} // namespace cuminslip::requests
