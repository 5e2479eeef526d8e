#pragma once

#include "endpoints/membership.h"
#include "policy/prefixknowledge.h"
#include "policy/tokenbucket.h"
#include "policy/waitqueue.h"
#include "requests/front.h"
#include "requests/internal/fleet.h"
#include "requests/types/request.h"

#include <map>
#include <random>

namespace cuminslip::requests {

/// A cancel that an endpoint has not acknowledged yet.
struct OpenCancel
{
  AttemptId mAttempt;
  EndpointId mEndpoint;
  Incarnation mIncarnation = 0;
  wire::SocketAddress mAddress;
  int mTries = 0;
  wire::CallId mCall = 0;
  TimePoint mNextTry;
  /// The lease has run out by then, so the engine freed it by itself.
  TimePoint mGiveUp;
};

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
  std::map<AttemptId, OpenCancel> mCancels;
  TimePoint mNextRenewal;
  TimePoint mNextCallerCheck;
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
