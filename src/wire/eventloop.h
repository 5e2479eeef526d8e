#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <memory>

/// One h2o event loop, run by one thread: the task that owns its sockets.
namespace cuminslip::wire {

struct EventLoop;

/// Number of a started timer; 0 is never one.
using TimerId = std::uint64_t;

struct EventLoopDeleter
{
  auto operator()(EventLoop* aLoop) const -> void;
};
using EventLoopPtr = std::unique_ptr<EventLoop, EventLoopDeleter>;

/// Creates a loop. Destroy servers and clients on it first.
auto
CreateEventLoop() -> EventLoopPtr;

/// Runs until StopLoop. Call on the thread that owns the loop, once at a time.
auto
RunLoop(EventLoop& aLoop) -> void;

/// Runs one round and waits at most aLongest for something to happen. Owner
/// thread only.
auto
RunLoopOnce(EventLoop& aLoop, Millis aLongest) -> void;

/// Makes RunLoop return after its current round. Thread safe.
auto
StopLoop(EventLoop& aLoop) -> void;

/// Runs aAction on the owner thread, in posting order. Thread safe.
auto
PostToLoop(EventLoop& aLoop, std::function<void()> aAction) -> void;

/// Runs aAction once after aDelay. Owner thread only.
auto
StartTimer(EventLoop& aLoop, Micros aDelay, std::function<void()> aAction)
  -> TimerId;

/// Forgets a timer; one that has fired, or 0, is ignored. Owner thread only.
auto
StopTimer(EventLoop& aLoop, TimerId aTimer) -> void;

} // namespace cuminslip::wire
