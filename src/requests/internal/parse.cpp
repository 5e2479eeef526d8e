#include "requests/completions.h"
#include "requests/internal/delivery.h"
#include "requests/internal/filters.h"

namespace cuminslip::requests {

namespace {

constexpr auto kCompletionsPath = std::string_view("/v1/completions");
constexpr auto kChatPath = std::string_view("/v1/chat/completions");
constexpr auto kServicesPath = std::string_view("/v1/services/");

auto
ReadCompletion(Front& aFront, Request& aRequest, CompletionForm aForm)
  -> FilterResult
{
  auto outcome = CollectOutcome<CompletionRequest>(
    [&] { return ParseCompletion(aForm, aRequest.mHttp.mBody); });
  if (!outcome.mValue) {
    RefuseRequest(aFront,
                  aRequest,
                  { RefusalType::InvalidRequest,
                    FormatFindings(outcome.mFindings),
                    Ran::No });
    return FilterResult::Done;
  }
  aRequest.mCompletion = std::move(*outcome.mValue);
  // NOTE: the prompt is in mCompletion now; the body is released so that a long
  // prompt is not stored twice. ClaimRun needs the body for its fingerprint.
  aRequest.mFacts.mBodyBytes =
    static_cast<std::int64_t>(aRequest.mHttp.mBody.size());
  if (!wire::FindHeader(aRequest.mHttp.mHeaders, "idempotency-key")) {
    aRequest.mHttp.mBody = {};
  }
  return FilterResult::Continue;
}

auto
ReadServiceCall(Front& aFront, Request& aRequest) -> FilterResult
{
  const auto rest = aRequest.mHttp.mPath.substr(kServicesPath.size());
  const auto slash = rest.find('/');
  const auto name = rest.substr(0, slash);
  if (name.empty()) {
    RefuseRequest(
      aFront,
      aRequest,
      { RefusalType::UnknownService, "the path names no service", Ran::No });
    return FilterResult::Done;
  }
  aRequest.mFacts.mService = name;
  aRequest.mServicePath = slash == std::string::npos ? "/" : rest.substr(slash);
  aRequest.mFacts.mBodyBytes =
    static_cast<std::int64_t>(aRequest.mHttp.mBody.size());
  return FilterResult::Continue;
}

} // namespace

auto
ParseRequest(Front& aFront, Request& aRequest) -> FilterResult
{
  const auto& path = aRequest.mHttp.mPath;
  if (path.starts_with(kServicesPath)) {
    return ReadServiceCall(aFront, aRequest);
  }
  if (aRequest.mHttp.mMethod == "POST" && path == kCompletionsPath) {
    return ReadCompletion(aFront, aRequest, CompletionForm::Completion);
  }
  if (aRequest.mHttp.mMethod == "POST" && path == kChatPath) {
    return ReadCompletion(aFront, aRequest, CompletionForm::Chat);
  }
  RefuseRequest(aFront,
                aRequest,
                { RefusalType::NotFound, "no such path or method", Ran::No });
  return FilterResult::Done;
}

} // namespace cuminslip::requests
