#include "requests/internal/holdings.h"

#include "endpoints/protocol.h"
#include "requests/types/requestsevents.h"

namespace cuminslip::requests {

namespace {

constexpr auto kReleaseTimeout = Millis(1000);
constexpr auto kMaxAnswerBytes = std::size_t{ 1 } << 20U;
constexpr auto kStatusOk = 200;

/// Collects the answer to a controller's call.
struct PendingCall
{
  endpoints::EndpointAnswer mAnswer;
  endpoints::EndpointReply mReply;
};

auto
SendRelease(Front& aFront, const endpoints::ReleaseAction& aAction) -> void
{
  if (!aFront.mReleasing.insert(aAction.mId).second) {
    return;
  }
  endpoints::LogRelease(aAction);
  auto call = endpoints::EndpointCall{};
  call.mAddress = aAction.mAddress;
  call.mPath = endpoints::PathOf(aAction);
  call.mBody = "{}";
  call.mTimeout = kReleaseTimeout;
  CallEndpoint(
    aFront,
    std::move(call),
    [&aFront, id = aAction.mId](
      const std::optional<endpoints::EndpointAnswer>& aAnswer) {
      aFront.mReleasing.erase(id);
      endpoints::NoteReleaseAnswer(
        aFront.mLedger, id, aAnswer && aAnswer->mStatus == kStatusOk);
    });
}

auto
SendRenewal(Front& aFront, const endpoints::RenewAction& aAction) -> void
{
  auto call = endpoints::EndpointCall{};
  call.mAddress = aAction.mAddress;
  call.mPath = endpoints::kRenewPath;
  call.mBody = endpoints::EncodeRenewRequest(aAction.mRequest);
  CallEndpoint(
    aFront,
    std::move(call),
    [&aFront, ids = aAction.mRequest.mIds, sent = aFront.mPorts.mNow()](
      const std::optional<endpoints::EndpointAnswer>& aAnswer) {
      if (aAnswer && aAnswer->mStatus == kStatusOk) {
        endpoints::NoteRenewed(aFront.mLedger, ids, sent);
      }
    });
}

auto
IsOwnHolding(const Front& aFront, const HoldingId& aHolding) -> bool
{
  return aFront.mLedger.mEntries.contains(aHolding);
}

} // namespace

auto
StartHoldings(Front& aFront) -> void
{
  auto& settings = aFront.mLedger.mSettings;
  settings.mOwner = { aFront.mSettings.mInstance,
                      aFront.mSettings.mIncarnation };
  settings.mLease = aFront.mSettings.mLease;
  settings.mRenewBefore =
    aFront.mSettings.mLease - aFront.mSettings.mRenewInterval;
}

auto
HoldStream(Front& aFront, const Request& aRequest, const Attempt& aAttempt)
  -> void
{
  auto holding = endpoints::Holding{};
  holding.mId = HoldingId{ aAttempt.mId.mValue };
  holding.mEndpoint = aAttempt.mEndpoint;
  holding.mEndpointIncarnation = aAttempt.mIncarnation;
  holding.mAddress = wire::FormatAddress(aAttempt.mAddress);
  holding.mTokens = aRequest.mFacts.mPromptTokens + aRequest.mFacts.mMaxTokens;
  holding.mDeadline = aRequest.mFacts.mDeadline;
  endpoints::AddHolding(
    aFront.mLedger, std::move(holding), aFront.mPorts.mNow());
}

auto
ReleaseStream(Front& aFront,
              const AttemptId& aAttempt,
              endpoints::ReleaseReason aReason) -> void
{
  endpoints::ReleaseHolding(aFront.mLedger,
                            HoldingId{ aAttempt.mValue },
                            aReason,
                            aFront.mPorts.mNow());
}

auto
DropStream(Front& aFront, const AttemptId& aAttempt) -> void
{
  endpoints::DropHolding(aFront.mLedger, HoldingId{ aAttempt.mValue });
}

auto
TickHoldings(Front& aFront) -> void
{
  const auto now = aFront.mPorts.mNow();
  for (const auto& [id, entry] : aFront.mFleet.mRegistry.mEntries) {
    endpoints::NoteEndpointIncarnation(
      aFront.mLedger, id, entry.mLatest.mIncarnation);
  }
  const auto actions = endpoints::TickLedger(aFront.mLedger, now);
  for (const auto& action : actions.mReleases) {
    SendRelease(aFront, action);
  }
  for (const auto& action : actions.mRenewals) {
    SendRenewal(aFront, action);
  }
  const auto context = endpoints::OrphanContext{
    aFront.mMembership,
    aFront.mFleet.mRegistry,
    [&aFront](const HoldingId& aHolding) {
      return IsOwnHolding(aFront, aHolding);
    },
    [&aFront](endpoints::EndpointCall aCall, endpoints::EndpointReply aReply) {
      CallEndpoint(aFront, std::move(aCall), std::move(aReply));
    }
  };
  endpoints::TickOrphanCollector(aFront.mOrphans, context, now);
}

auto
CallEndpoint(Front& aFront,
             endpoints::EndpointCall aCall,
             endpoints::EndpointReply aReply) -> void
{
  const auto pending = std::make_shared<PendingCall>();
  pending->mReply = std::move(aReply);
  const auto address = wire::ParseAddress(aCall.mAddress);
  if (!address) {
    pending->mReply(std::nullopt);
    return;
  }
  auto call = wire::HttpCall{};
  call.mAddress = *address;
  call.mTimeout = aCall.mTimeout;
  call.mRequest = { aCall.mMethod,
                    aCall.mPath,
                    "",
                    { { "content-type", "application/json" } },
                    std::move(aCall.mBody) };
  if (!aFront.mSettings.mEndpointKey.empty()) {
    call.mRequest.mHeaders.push_back(
      { "authorization", "Bearer " + aFront.mSettings.mEndpointKey });
  }
  auto handlers = wire::CallHandlers{};
  handlers.mOnHead = [pending](int aStatus, const wire::Headers&) {
    pending->mAnswer.mStatus = aStatus;
  };
  handlers.mOnPiece = [pending](std::string_view aPiece) {
    if (pending->mAnswer.mBody.size() < kMaxAnswerBytes) {
      pending->mAnswer.mBody += aPiece;
    }
  };
  handlers.mOnEnd = [pending](wire::CallEnd aEnd) {
    const auto isWhole = aEnd == wire::CallEnd::Complete;
    pending->mReply(isWhole ? std::optional(pending->mAnswer) : std::nullopt);
  };
  aFront.mPorts.mEndpoints.mStart(std::move(call), std::move(handlers));
}

} // namespace cuminslip::requests
