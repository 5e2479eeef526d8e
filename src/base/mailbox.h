#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace cuminslip {

/// Queue of messages to one task. Any thread may post; only the owning task
/// takes. The wake function runs on the posting thread, outside the lock, once
/// for each post that found the queue empty.
template<class Message>
class Mailbox
{
public:
  explicit Mailbox(std::function<void()> aWake)
    : mWake(std::move(aWake))
  {
  }

  /// Appends aMessage and wakes the owner. Thread safe.
  auto Post(Message aMessage) -> void
  {
    if (Append(std::move(aMessage))) {
      mWake();
    }
  }

  /// Removes and returns all messages in posting order. Thread safe.
  auto TakeAll() -> std::deque<Message>
  {
    const auto lock = std::lock_guard(mMutex);
    return std::exchange(mMessages, {});
  }

private:
  auto Append(Message aMessage) -> bool
  {
    const auto lock = std::lock_guard(mMutex);
    const auto wasEmpty = mMessages.empty();
    mMessages.push_back(std::move(aMessage));
    return wasEmpty;
  }

  std::mutex mMutex;
  std::deque<Message> mMessages;
  std::function<void()> mWake;
};

} // namespace cuminslip
