#include "wire/eventloop.h"

#include "wire/internal/eventloopstate.h"

#include <algorithm>
#include <csignal>

namespace cuminslip::wire {

namespace {

constexpr auto kLongestWait = Millis(1000);

/// True when there was an action.
auto
RunPostedActions(EventLoop& aLoop) -> bool
{
  const auto actions = aLoop.mActions->TakeAll();
  for (const auto& action : actions) {
    action();
  }
  return !actions.empty();
}

/// True when a timer was due.
auto
RunDueTimers(EventLoop& aLoop) -> bool
{
  const auto now = MonotonicNow();
  auto hasRun = false;
  while (!aLoop.mTimers.empty()) {
    const auto it = aLoop.mTimers.begin();
    if (it->first.first > now) {
      return hasRun;
    }
    hasRun = true;
    const auto action = std::move(it->second);
    aLoop.mDueTimes.erase(it->first.second);
    aLoop.mTimers.erase(it);
    action();
  }
  return hasRun;
}

auto
TimeToNextTimer(const EventLoop& aLoop, Millis aLongest) -> Millis
{
  if (aLoop.mTimers.empty()) {
    return aLongest;
  }
  const auto wait = aLoop.mTimers.begin()->first.first - MonotonicNow();
  const auto millis = std::chrono::ceil<Millis>(wait);
  return std::clamp(millis, Millis(0), aLongest);
}

} // namespace

auto
EventLoopDeleter::operator()(EventLoop* aLoop) const -> void
{
  h2o_multithread_unregister_receiver(aLoop->mQueue, &aLoop->mReceiver);
  h2o_multithread_destroy_queue(aLoop->mQueue);
  h2o_evloop_destroy(aLoop->mLoop);
  delete aLoop;
}

auto
CreateEventLoop() -> EventLoopPtr
{
  // NOTE: a write to a connection that the peer has closed must be an error
  // code, not a signal that ends the process.
  std::signal(SIGPIPE, SIG_IGN);
  auto loop = EventLoopPtr(new EventLoop);
  loop->mLoop = h2o_evloop_create();
  loop->mQueue = h2o_multithread_create_queue(loop->mLoop);
  h2o_multithread_register_receiver(
    loop->mQueue,
    &loop->mReceiver,
    [](h2o_multithread_receiver_t*, h2o_linklist_t*) {});
  auto* receiver = &loop->mReceiver;
  loop->mActions = std::make_unique<Mailbox<std::function<void()>>>(
    [receiver] { h2o_multithread_send_message(receiver, nullptr); });
  return loop;
}

auto
RunLoopOnce(EventLoop& aLoop, Millis aLongest) -> void
{
  const auto hasRunAction = RunPostedActions(aLoop);
  const auto hasRunTimer = RunDueTimers(aLoop);
  // NOTE: h2o polls before it runs the callbacks of writes that an action
  // began, and an action may have stopped the loop, so don't wait here.
  const auto wait =
    hasRunAction || hasRunTimer ? Millis(0) : TimeToNextTimer(aLoop, aLongest);
  h2o_evloop_run(aLoop.mLoop, static_cast<std::int32_t>(wait.count()));
}

auto
RunLoop(EventLoop& aLoop) -> void
{
  while (!aLoop.mIsStopping) {
    RunLoopOnce(aLoop, kLongestWait);
  }
  aLoop.mIsStopping = false;
}

auto
StopLoop(EventLoop& aLoop) -> void
{
  PostToLoop(aLoop, [&aLoop] { aLoop.mIsStopping = true; });
}

auto
PostToLoop(EventLoop& aLoop, std::function<void()> aAction) -> void
{
  aLoop.mActions->Post(std::move(aAction));
}

auto
StartTimer(EventLoop& aLoop, Micros aDelay, std::function<void()> aAction)
  -> TimerId
{
  const auto id = aLoop.mNextTimer++;
  const auto due = MonotonicNow() + std::max(aDelay, Micros(0));
  aLoop.mTimers.emplace(std::pair(due, id), std::move(aAction));
  aLoop.mDueTimes.emplace(id, due);
  return id;
}

auto
StopTimer(EventLoop& aLoop, TimerId aTimer) -> void
{
  const auto it = aLoop.mDueTimes.find(aTimer);
  if (it == aLoop.mDueTimes.end()) {
    return;
  }
  aLoop.mTimers.erase(std::pair(it->second, aTimer));
  aLoop.mDueTimes.erase(it);
}

} // namespace cuminslip::wire
