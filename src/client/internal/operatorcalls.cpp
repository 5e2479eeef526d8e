#include "client/internal/operatorcalls.h"

#include "wire/httpclient.h"

#include <boost/json.hpp>

namespace cuminslip::client {

namespace {

constexpr auto kMaxAnswerBytes = std::size_t{ 64 } * 1024 * 1024;
constexpr auto kUnavailableStatus = 503;
constexpr auto kLoopRound = Millis(20);
constexpr auto kLongestDelay = Millis(2000);

struct Attempt
{
  wire::CallEnd mEnd = wire::CallEnd::NotConnected;
  wire::HttpResponse mResponse;
  bool mIsDone = false;
};

auto
RunAttempt(wire::EventLoop& aLoop,
           wire::HttpClient& aClient,
           const wire::HttpCall& aCall) -> Attempt
{
  auto attempt = Attempt{};
  wire::FetchResponse(
    aClient,
    aCall,
    kMaxAnswerBytes,
    [&](wire::CallEnd aEnd, const wire::HttpResponse& aResponse) {
      attempt = { aEnd, aResponse, true };
    });
  while (!attempt.mIsDone) {
    wire::RunLoopOnce(aLoop, kLoopRound);
  }
  return attempt;
}

auto
WaitBeforeNext(wire::EventLoop& aLoop, const RetryLimits& aLimits, int aAttempt)
  -> void
{
  const auto delay =
    std::min(aLimits.mFirstDelay * (1 << aAttempt), kLongestDelay);
  auto isDone = false;
  wire::StartTimer(aLoop, delay, [&] { isDone = true; });
  while (!isDone) {
    wire::RunLoopOnce(aLoop, kLoopRound);
  }
}

/// True when the answer states that nothing was done.
auto
StatesNotRun(const wire::HttpResponse& aResponse) -> bool
{
  auto ec = boost::system::error_code{};
  const auto body = boost::json::parse(aResponse.mBody, ec);
  if (ec) {
    return false;
  }
  const auto* ran = body.find_pointer("/error/ran", ec);
  return ran != nullptr && ran->is_string() && ran->get_string() == "no";
}

auto
IsFinal(const Attempt& aAttempt) -> bool
{
  return aAttempt.mEnd == wire::CallEnd::Complete &&
         aAttempt.mResponse.mStatus != kUnavailableStatus;
}

auto
MayHaveRun(const Attempt& aAttempt) -> bool
{
  if (aAttempt.mEnd == wire::CallEnd::NotConnected) {
    return false;
  }
  return aAttempt.mEnd != wire::CallEnd::Complete ||
         !StatesNotRun(aAttempt.mResponse);
}

} // namespace

auto
CallOperator(const Options& aOptions,
             const std::string& aMethod,
             const std::string& aPath,
             const std::string& aBody) -> OperatorAnswer
{
  const auto loop = wire::CreateEventLoop();
  const auto client = wire::CreateHttpClient(*loop);
  wire::SetTls(*client, aOptions.mTls);
  const auto headers = wire::Headers{
    { "authorization", "Bearer " + aOptions.mKey },
    { "content-type", "application/json" },
  };
  auto answer = OperatorAnswer{};
  for (auto i = 0; i < aOptions.mRetry.mMaxAttempts; ++i) {
    if (i > 0) {
      WaitBeforeNext(*loop, aOptions.mRetry, i - 1);
    }
    const auto& instances = aOptions.mInstances;
    const auto& address =
      instances[static_cast<std::size_t>(i) % instances.size()];
    auto call =
      wire::HttpCall{ address, { aMethod, aPath, "", headers, aBody } };
    call.mTimeout = aOptions.mRetry.mAttemptTimeout;
    const auto attempt = RunAttempt(*loop, *client, call);
    if (IsFinal(attempt)) {
      return { CallOutcome::Answered, attempt.mResponse };
    }
    if (attempt.mEnd == wire::CallEnd::Complete) {
      answer.mResponse = attempt.mResponse;
    }
    if (MayHaveRun(attempt)) {
      answer.mOutcome = CallOutcome::Unknown;
    }
  }
  return answer;
}

} // namespace cuminslip::client
