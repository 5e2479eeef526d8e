#include "wire/testing/background.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace cuminslip::wire::testing {

namespace {

constexpr auto kThreads = 8;

struct Background
{
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<std::function<void()>> mWorks;
};

auto
TakeWork(Background& aBackground) -> std::function<void()>
{
  auto lock = std::unique_lock(aBackground.mMutex);
  aBackground.mChanged.wait(lock, [&] { return !aBackground.mWorks.empty(); });
  auto work = std::move(aBackground.mWorks.front());
  aBackground.mWorks.pop_front();
  return work;
}

/// Never destroyed, as its threads go on until the process ends.
auto
GlobalBackground() -> Background&
{
  static auto* const sBackground = [] {
    auto* background = new Background;
    for (auto i = 0; i < kThreads; ++i) {
      std::thread([background] {
        for (;;) {
          TakeWork (*background)();
        }
      }).detach();
    }
    return background;
  }();
  return *sBackground;
}

} // namespace

auto
PostToBackground(std::function<void()> aWork) -> void
{
  auto& background = GlobalBackground();
  const auto lock = std::lock_guard(background.mMutex);
  background.mWorks.push_back(std::move(aWork));
  background.mChanged.notify_one();
}

} // namespace cuminslip::wire::testing
