#pragma once

#include "endpoints/types/endpointcall.h"
#include "placement/placement.h"

#include <functional>
#include <set>
#include <string>

/// Runs the placement controller: holds the orderer's lease, sends the orders
/// and asks how they went. Not thread safe; belongs to one task.
namespace cuminslip::placement {

/// Acquires or renews the orderer's lease for aDuration. The reply comes once,
/// on the caller's task; mUntil counts from before the lease was asked for.
using AcquireFunction =
  std::function<void(Millis aDuration,
                     std::function<void(const OrdererLease&)> aReply)>;

struct OrdererPorts
{
  NowFunction mNow;
  endpoints::EndpointCaller mCall;
  AcquireFunction mAcquire;
};

struct Orderer
{
  Placement mPlacement;
  OrdererPorts mPorts;
  Millis mLeaseTime{ 30000 };
  OrdererLease mLease;
  bool mIsAcquiring = false;
  TimePoint mNextAcquire;
  TimePoint mNextStep;
  TimePoint mNextPoll;
  /// Orders whose status was asked for and has not come.
  std::set<std::string> mPendingPolls;
  std::vector<PlannedOrder> mPlan;
};

/// To be called a few times a second on every instance that may order.
/// aInput's lease is filled in here. Precondition: aOrderer outlives replies.
auto
TickOrderer(Orderer& aOrderer, PlacementInput aInput) -> void;

} // namespace cuminslip::placement
