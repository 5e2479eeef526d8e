#include "client/tests/fakeoperator.h"

namespace cuminslip::client::testing {

FakeOperator::FakeOperator(Answer aAnswer)
  : mAnswer(std::move(aAnswer))
  , mLoop(wire::CreateEventLoop())
{
  auto outcome = CollectOutcome<wire::HttpServerPtr>([&] {
    return wire::StartHttpServer(
      *mLoop,
      { "127.0.0.1", 0 },
      {},
      [this](const auto& aRequest, const auto& aResponder) {
        Handle(aRequest, aResponder);
      });
  });
  mServer = std::move(outcome.mValue.value());
  mThread = std::thread([this] { wire::RunLoop(*mLoop); });
}

FakeOperator::~FakeOperator()
{
  wire::StopLoop(*mLoop);
  mThread.join();
  mServer.reset();
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
