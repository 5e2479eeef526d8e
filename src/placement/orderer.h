#pragma once

#include "endpoints/types/endpointcall.h"
#include "placement/placement.h"

#include <functional>
#include <set>
#include <string>

/// Drives the placement controller: keeps the orderer's lease, sends orders and
/// polls their status. Not thread safe; use from one task only.
namespace cuminslip::placement {

/// Acquires or renews the orderer's lease for aDuration. aReply is called once,
/// on the caller's task; mUntil is measured from before the request was sent.
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
  /// Orders with a status request in flight.
  std::set<std::string> mPendingPolls;
  std::vector<PlannedOrder> mPlan;
};

/// Advances the lease, status polls and orders. Call a few times a second on
/// every instance that may order. Overwrites the lease in aInput. Precondition:
/// aOrderer outlives all pending replies.
auto
TickOrderer(Orderer& aOrderer, PlacementInput aInput) -> void;

} // namespace cuminslip::placement
