#pragma once

#include "endpoints/orphansweep.h"
#include "endpoints/types/endpointcall.h"

#include <cstdint>
#include <set>

/// Runs the orphan sweep: asks endpoints what they hold and frees what no one
/// owns. Not thread safe; belongs to the task that owns the registry.
namespace cuminslip::endpoints {

struct OrphanCollector
{
  OrphanSweep mSweep;
  /// Endpoints whose state has been asked for and not come.
  std::set<EndpointId> mPendingStates;
  std::size_t mMaxPendingStates = 4;
  /// Until then an instance may have left holdings behind.
  TimePoint mUrgentUntil;
  TimePoint mNextSweep;
  std::int64_t mReleased = 0;
};

/// What a tick works on. All of it must outlive the replies of mCall.
struct OrphanContext
{
  const Membership& mMembership;
  Registry& mRegistry;
  IsHeldFunction mIsHeld;
  EndpointCaller mCall;
};

/// Takes in that an instance went silent, stopped or restarted: for a minute
/// endpoints are asked more often.
auto
NoteInstanceChange(OrphanCollector& aCollector,
                   const InstanceChange& aChange,
                   TimePoint aNow) -> void;

/// To be called a few times a second. Precondition: aCollector and what
/// aContext refers to outlive the replies.
auto
TickOrphanCollector(OrphanCollector& aCollector,
                    const OrphanContext& aContext,
                    TimePoint aNow) -> void;

} // namespace cuminslip::endpoints
