#pragma once

#include <functional>
#include <future>
#include <memory>

/// Runs blocking calls beside a test.
namespace cuminslip::wire::testing {

/// Runs aWork on one of a few threads that last until the process ends: h2o
/// keeps memory for each thread that is not given back when the thread ends.
/// More works than threads wait for each other.
auto
PostToBackground(std::function<void()> aWork) -> void;

/// The result of aFunction, run by PostToBackground.
template<class Function>
auto
RunInBackground(Function aFunction) -> std::future<decltype(aFunction())>
{
  using Result = decltype(aFunction());
  auto task =
    std::make_shared<std::packaged_task<Result()>>(std::move(aFunction));
  auto result = task->get_future();
  PostToBackground([task] { (*task)(); });
  return result;
}

} // namespace cuminslip::wire::testing
