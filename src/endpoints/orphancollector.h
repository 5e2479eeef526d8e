#pragma once

#include "endpoints/orphansweep.h"
#include "endpoints/types/endpointcall.h"

#include <cstdint>
#include <set>

/// Runs the orphan sweep: requests the holdings of endpoints and frees those
/// without an owner. Not thread safe; used by the task that owns the registry.
namespace cuminslip::endpoints {

struct OrphanCollector
{
  OrphanSweep mSweep;
  /// Endpoints with an outstanding state request.
  std::set<EndpointId> mPendingStates;
  std::size_t mMaxPendingStates = 4;
  /// Time until which holdings are requested more often, since an instance that
  /// went silent, stopped or restarted may have left some behind.
  TimePoint mUrgentUntil;
  TimePoint mNextSweep;
  std::int64_t mReleased = 0;
};

/// Dependencies of a tick. All referenced objects must outlive the replies of
/// mCall.
struct OrphanContext
{
  const Membership& mMembership;
  Registry& mRegistry;
  IsHeldFunction mIsHeld;
  EndpointCaller mCall;
};

/// Handles a change of an instance. For a minute after one goes silent, stops
/// or restarts, holdings are requested more often.
auto
NoteInstanceChange(OrphanCollector& aCollector,
                   const InstanceChange& aChange,
                   TimePoint aNow) -> void;

/// Call it a few times a second. Precondition: aCollector and the objects that
/// aContext refers to outlive the replies.
auto
TickOrphanCollector(OrphanCollector& aCollector,
                    const OrphanContext& aContext,
                    TimePoint aNow) -> void;

} // namespace cuminslip::endpoints
