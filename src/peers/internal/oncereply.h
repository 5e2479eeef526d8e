#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace cuminslip {

/// A reply that is given exactly once: by Send, else the fallback when the
/// last holder goes. Not thread safe.
template<class Value>
class OnceReply
{
public:
  OnceReply(std::function<void(const Value&)> aReply, Value aFallback)
    : mReply(std::move(aReply))
    , mFallback(std::move(aFallback))
  {
  }

  OnceReply(const OnceReply&) = delete;
  auto operator=(const OnceReply&) -> OnceReply& = delete;

  ~OnceReply() { Send(mFallback); }

  /// Replies unless that was done before.
  auto Send(const Value& aValue) -> void
  {
    auto reply = std::exchange(mReply, nullptr);
    if (reply) {
      reply(aValue);
    }
  }

  auto IsSent() const -> bool { return !mReply; }

private:
  std::function<void(const Value&)> mReply;
  Value mFallback;
};

template<class Value>
using OnceReplyPointer = std::shared_ptr<OnceReply<Value>>;

template<class Value>
auto
MakeOnceReply(std::function<void(const Value&)> aReply, Value aFallback)
  -> OnceReplyPointer<Value>
{
  return std::make_shared<OnceReply<Value>>(std::move(aReply),
                                            std::move(aFallback));
}

} // namespace cuminslip
