#pragma once

#include "endpoints/orphansweep.h"
#include "endpoints/types/endpointcall.h"

#include <cstdint>
#include <set>

/// Runs the orphan sweep: asks endpoints what they hold and frees what no one
/// owns. Not thread safe; belongs to the task that owns the registry.
namespace cuminslip::endpoints {

struct OrphanKeeper
{
  OrphanSweep mSweep;
  /// Endpoints whose state has been asked for and not come.
  std::set<EndpointId> mAsked;
  std::size_t mMaxAsked = 4;
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
NoteInstanceChange(OrphanKeeper& aKeeper,
                   const InstanceChange& aChange,
                   TimePoint aNow) -> void;

/// To be called a few times a second. Precondition: aKeeper and what aContext
/// refers to outlive the replies.
auto
TickOrphanKeeper(OrphanKeeper& aKeeper,
                 const OrphanContext& aContext,
                 TimePoint aNow) -> void;

} // namespace cuminslip::endpoints
