#pragma once

#include "base/mailbox.h"
#include "wire/eventloop.h"

#include <h2o.h>
#include <h2o/http1client.h>

#include <atomic>
#include <map>
#include <utility>

namespace cuminslip::wire {

struct EventLoop
{
  h2o_loop_t* mLoop = nullptr;
  h2o_multithread_queue_t* mQueue = nullptr;
  h2o_multithread_receiver_t mReceiver{};
  std::unique_ptr<Mailbox<std::function<void()>>> mActions;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> mTimers;
  std::map<TimerId, TimePoint> mDueTimes;
  TimerId mNextTimer = 1;
  std::atomic<bool> mIsStopping = false;
};

} // namespace cuminslip::wire
