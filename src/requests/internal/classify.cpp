#include "policy/prefixhashes.h"
#include "policy/tokens.h"
#include "requests/internal/delivery.h"
#include "requests/internal/filters.h"

#include <algorithm>
#include <charconv>

namespace cuminslip::requests {

namespace {

auto
Refuse(Front& aFront,
       Request& aRequest,
       RefusalType aType,
       std::string aMessage) -> FilterResult
{
  RefuseRequest(aFront, aRequest, { aType, std::move(aMessage), Ran::No });
  return FilterResult::Done;
}

/// The kind of work that the caller named, else the first one that fits the
/// form of the request; null when there is none.
auto
SelectWorkKind(const Request& aRequest) -> const WorkKind*
{
  const auto named =
    wire::FindHeader(aRequest.mHttp.mHeaders, "x-cuminslip-kind");
  const auto& kinds = aRequest.mTemplate->mTemplate.mWorkKinds;
  const auto it =
    std::find_if(kinds.begin(), kinds.end(), [&](const auto& aKind) {
      return named ? aKind.mName.mValue == *named
                   : aKind.mService == aRequest.mFacts.mService;
    });
  return it == kinds.end() ? nullptr : &*it;
}

/// Time allowed by the caller's header; no value with mIsValid false when the
/// header makes no sense.
struct CallerAllowance
{
  bool mIsValid = true;
  std::optional<Millis> mAllowance;
};

auto
ReadAllowance(const Request& aRequest) -> CallerAllowance
{
  const auto text =
    wire::FindHeader(aRequest.mHttp.mHeaders, "x-cuminslip-allowance-ms");
  if (!text) {
    return {};
  }
  auto count = std::int64_t{ 0 };
  const auto* last = text->data() + text->size();
  const auto [end, ec] = std::from_chars(text->data(), last, count);
  if (ec != std::errc{} || end != last || count < 1) {
    return { false, std::nullopt };
  }
  return { true, Millis(count) };
}

auto
SetTimeLimits(Request& aRequest,
              const WorkKind& aKind,
              std::optional<Millis> aAllowance) -> void
{
  auto& facts = aRequest.mFacts;
  const auto allowance =
    std::min(aKind.mDeadline, aAllowance.value_or(aKind.mDeadline));
  facts.mKind = aKind.mName;
  facts.mPriority = aKind.mPriority;
  facts.mDeadline = facts.mArrived + allowance;
  facts.mQueueTime = std::min(aKind.mQueueTime, allowance);
  facts.mFirstTokenTarget = aKind.mFirstTokenTarget;
  facts.mValue = aKind.mValue;
  facts.mIsIdempotent = aKind.mIsIdempotent;
}

auto
SetPromptFacts(Request& aRequest) -> void
{
  auto& facts = aRequest.mFacts;
  const auto& completion = *aRequest.mCompletion;
  const auto& inForce = aRequest.mTemplate->mTemplate;
  facts.mModel = inForce.mModel;
  facts.mVersion = inForce.mVersion;
  facts.mMaxTokens = completion.mMaxTokens;
  facts.mPromptTokens =
    EstimateTokens(static_cast<std::int64_t>(completion.mPrompt.size()));
  facts.mLengthClass =
    ClassifyLength(facts.mPromptTokens, inForce.mLengthClasses);
  facts.mPrefixes = HashPrefixes(completion.mPrompt);
}

} // namespace

auto
ClassifyRequest(Front& aFront, Request& aRequest) -> FilterResult
{
  const auto* kind = SelectWorkKind(aRequest);
  if (kind == nullptr || kind->mService != aRequest.mFacts.mService) {
    return Refuse(aFront,
                  aRequest,
                  RefusalType::UnknownKind,
                  "the template has no such kind of work for this path");
  }
  const auto allowance = ReadAllowance(aRequest);
  if (!allowance.mIsValid) {
    return Refuse(aFront,
                  aRequest,
                  RefusalType::InvalidRequest,
                  "x-cuminslip-allowance-ms: not a whole number of at least 1");
  }
  SetTimeLimits(aRequest, *kind, allowance.mAllowance);
  if (!aRequest.mCompletion) {
    return FilterResult::Continue;
  }
  const auto& inForce = aRequest.mTemplate->mTemplate;
  if (aRequest.mCompletion->mModel != inForce.mModel.mValue) {
    return Refuse(aFront,
                  aRequest,
                  RefusalType::UnknownModel,
                  "the template serves model " + inForce.mModel.mValue);
  }
  SetPromptFacts(aRequest);
  return FilterResult::Continue;
}

auto
CheckIsolation(Front& aFront, Request& aRequest) -> FilterResult
{
  const auto standing = aFront.mPorts.mControl.mStanding();
  if (!standing.mIsIsolated) {
    return FilterResult::Continue;
  }
  const auto& rule = aRequest.mTemplate->mTemplate.mIsolation;
  if (!aRequest.mFacts.mIsIdempotent) {
    return Refuse(aFront,
                  aRequest,
                  RefusalType::NoQuorum,
                  "non-idempotent work needs the quorum, which is cut off");
  }
  if (!rule.mMayServe || standing.mIsolatedFor > rule.mLongest) {
    return Refuse(aFront,
                  aRequest,
                  RefusalType::Isolated,
                  "the template does not allow serving while isolated");
  }
  return FilterResult::Continue;
}

} // namespace cuminslip::requests
