#pragma once

#include "fakes/engine/enginecore.h"
#include "fakes/engine/types/enginefaults.h"

#include <boost/json.hpp>

#include <deque>
#include <random>

/// The documents of the endpoint protocol, from and to the engine's values.
namespace cuminslip::fakes {

/// The load member of an announcement, without its age.
auto
LoadDocument(const Engine& aEngine, const EngineFaults& aFaults)
  -> boost::json::object;

/// Models, role and holdings of an announcement.
auto
StateDocument(const Engine& aEngine) -> boost::json::object;

/// Counters with the memory in use.
auto
CountersDocument(const Engine& aEngine, bool aIsDetailed)
  -> boost::json::object;

/// Reads a stream request without its digest and length.
auto
ReadStreamRequest(const boost::json::object& aObject) -> StreamRequest;

/// Reads the members that all holdings have; the id stands under aIdKey.
auto
ReadHoldRequest(const boost::json::object& aObject,
                std::string_view aIdKey,
                std::string_view aKind) -> HoldRequest;

auto
ReadOrder(const boost::json::object& aObject) -> OrderRequest;

/// Changes aFaults by the members that are present; "clear" resets all first.
auto
ReadFaults(const boost::json::object& aObject, EngineFaults& aFaults) -> void;

/// Cache events on their way to an instance: late, and with gaps.
struct CacheEventLog
{
  std::deque<CacheEvent> mEvents;
  std::uint64_t mNextToSend = 1;
  /// Events below this were asked for again and are sent without loss.
  std::uint64_t mResendBelow = 1;
  std::mt19937_64 mRandom;
};

/// The cache_events member: events older than aDelay, each left out with
/// probability aLoss. Advances the log.
auto
TakeCacheEvents(CacheEventLog& aLog,
                TimePoint aNow,
                Millis aDelay,
                double aLoss) -> boost::json::object;

/// Goes back to event aFrom.
auto
ResendCacheEvents(CacheEventLog& aLog, std::uint64_t aFrom) -> void;

} // namespace cuminslip::fakes
