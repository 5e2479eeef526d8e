#include "client/tests/fakeoperator.h"

#include <future>
#include <thread>

namespace cuminslip::client::testing {

namespace {

/// Runs for the life of the process, since h2o keeps memory for each thread
/// that is lost when the thread ends.
auto
SharedLoop() -> wire::EventLoop&
{
  static auto& loop = []() -> wire::EventLoop& {
    auto* created = wire::CreateEventLoop().release();
    std::thread([created] { wire::RunLoop(*created); }).detach();
    return *created;
  }();
  return loop;
}

auto
RunOnSharedLoop(const std::function<void()>& aAction) -> void
{
  const auto done = std::make_shared<std::promise<void>>();
  wire::PostToLoop(SharedLoop(), [&aAction, done] {
    aAction();
    done->set_value();
  });
  done->get_future().wait();
}

} // namespace

FakeOperator::FakeOperator(Answer aAnswer)
  : mAnswer(std::move(aAnswer))
{
  RunOnSharedLoop([this] {
    auto outcome = CollectOutcome<wire::HttpServerPtr>([&] {
      return wire::StartHttpServer(
        SharedLoop(),
        { "127.0.0.1", 0 },
        {},
        [this](const auto& aRequest, const auto& aResponder) {
          Handle(aRequest, aResponder);
        });
    });
    mServer = std::move(outcome.mValue.value());
  });
}

FakeOperator::~FakeOperator()
{
  RunOnSharedLoop([this] { mServer.reset(); });
}

auto
FakeOperator::Address() const -> std::string
{
  return wire::FormatAddress(wire::ListenAddress(*mServer));
}

auto
FakeOperator::Seen() -> std::vector<wire::HttpRequest>
{
  const auto lock = std::lock_guard(mMutex);
  return mSeen;
}

auto
FakeOperator::Handle(const wire::HttpRequest& aRequest,
                     const wire::ResponderPtr& aResponder) -> void
{
  {
    const auto lock = std::lock_guard(mMutex);
    mSeen.push_back(aRequest);
  }
  const auto response = mAnswer(aRequest);
  if (response.mStatus == 0) {
    wire::StartStream(aResponder, 200, {});
    wire::AbortStream(aResponder);
    return;
  }
  wire::SendResponse(aResponder, response);
}

} // namespace cuminslip::client::testing
