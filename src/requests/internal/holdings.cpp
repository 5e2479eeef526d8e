#include "requests/internal/holdings.h"

#include "endpoints/protocol.h"
#include "requests/types/requestsevents.h"

#include <algorithm>

namespace cuminslip::requests {

namespace {

constexpr auto kCancelTimeout = Millis(1000);
constexpr auto kFirstCancelDelay = Millis(200);
constexpr auto kGreatestCancelDelay = Millis(2000);
constexpr auto kGiveUpMargin = Millis(1000);
constexpr auto kStatusOk = 200;
constexpr auto kMaxBackoffSteps = 4;

auto
KeyHeaders(const Front& aFront) -> wire::Headers
{
  auto headers = wire::Headers{ { "content-type", "application/json" } };
  if (!aFront.mSettings.mEndpointKey.empty()) {
    headers.push_back(
      { "authorization", "Bearer " + aFront.mSettings.mEndpointKey });
  }
  return headers;
}

auto
CancelDelay(int aTries) -> Millis
{
  const auto steps = std::min(aTries, kMaxBackoffSteps);
  return std::min(kFirstCancelDelay * (1 << steps), kGreatestCancelDelay);
}

auto
OnCancelEnd(Front& aFront,
            const AttemptId& aAttempt,
            wire::CallEnd aEnd,
            int aStatus) -> void
{
  const auto it = aFront.mCancels.find(aAttempt);
  if (it == aFront.mCancels.end()) {
    return;
  }
  if (aEnd == wire::CallEnd::Complete && aStatus == kStatusOk) {
    aFront.mCancels.erase(it);
    return;
  }
  auto& cancel = it->second;
  cancel.mCall = 0;
  cancel.mNextTry = aFront.mPorts.mNow() + CancelDelay(cancel.mTries);
}

auto
SendCancel(Front& aFront, OpenCancel& aCancel) -> void
{
  ++aCancel.mTries;
  auto call = wire::HttpCall{};
  call.mAddress = aCancel.mAddress;
  call.mTimeout = kCancelTimeout;
  call.mRequest = { "POST",
                    endpoints::CancelPath(aCancel.mAttempt),
                    "",
                    KeyHeaders(aFront),
                    "{}" };
  const auto status = std::make_shared<int>(0);
  auto handlers = wire::CallHandlers{};
  handlers.mOnHead = [status](int aStatus, const wire::Headers&) {
    *status = aStatus;
  };
  handlers.mOnEnd =
    [&aFront, attempt = aCancel.mAttempt, status](wire::CallEnd aEnd) {
      OnCancelEnd(aFront, attempt, aEnd, *status);
    };
  aCancel.mCall =
    aFront.mPorts.mEndpoints.mStart(std::move(call), std::move(handlers));
}

/// True once the engine has freed the memory by itself: it was restarted, or
/// the lease has run out.
auto
IsMoot(const Front& aFront, const OpenCancel& aCancel) -> bool
{
  if (aFront.mPorts.mNow() >= aCancel.mGiveUp) {
    return true;
  }
  const auto& entries = aFront.mFleet.mRegistry.mEntries;
  const auto it = entries.find(aCancel.mEndpoint);
  return it != entries.end() &&
         it->second.mLatest.mIncarnation != aCancel.mIncarnation;
}

struct RenewalTarget
{
  wire::SocketAddress mAddress;
  std::vector<HoldingId> mIds;
};

} // namespace

auto
CancelAttempt(Front& aFront, const Attempt& aAttempt) -> void
{
  auto cancel = OpenCancel{};
  cancel.mAttempt = aAttempt.mId;
  cancel.mEndpoint = aAttempt.mEndpoint;
  cancel.mIncarnation = aAttempt.mIncarnation;
  cancel.mAddress = aAttempt.mAddress;
  cancel.mGiveUp =
    aFront.mPorts.mNow() + aFront.mSettings.mLease + kGiveUpMargin;
  auto& open = aFront.mCancels[aAttempt.mId] = cancel;
  SendCancel(aFront, open);
}

auto
RetryCancels(Front& aFront) -> void
{
  const auto now = aFront.mPorts.mNow();
  for (auto it = aFront.mCancels.begin(); it != aFront.mCancels.end();) {
    auto& cancel = it->second;
    if (IsMoot(aFront, cancel)) {
      LogEvent(kCancelFailedEvent,
               { { "attempt", cancel.mAttempt.mValue },
                 { "endpoint", cancel.mEndpoint.mValue },
                 { "tries", cancel.mTries } });
      aFront.mPorts.mEndpoints.mCancel(cancel.mCall);
      it = aFront.mCancels.erase(it);
      continue;
    }
    if (cancel.mCall == 0 && now >= cancel.mNextTry) {
      SendCancel(aFront, cancel);
    }
    ++it;
  }
}

auto
RenewLeases(Front& aFront) -> void
{
  auto targets = std::map<EndpointId, RenewalTarget>{};
  for (const auto& [id, request] : aFront.mRequests) {
    if (!request->mAttempt || !request->mCompletion) {
      continue;
    }
    auto& target = targets[request->mAttempt->mEndpoint];
    target.mAddress = request->mAttempt->mAddress;
    target.mIds.push_back(HoldingId{ request->mAttempt->mId.mValue });
  }
  for (auto& [endpoint, target] : targets) {
    const auto renewal =
      endpoints::RenewRequest{ { aFront.mSettings.mInstance,
                                 aFront.mSettings.mIncarnation },
                               aFront.mSettings.mLease,
                               std::move(target.mIds) };
    auto call = wire::HttpCall{};
    call.mAddress = target.mAddress;
    call.mTimeout = aFront.mSettings.mRenewInterval;
    call.mRequest = { "POST",
                      std::string(endpoints::kRenewPath),
                      "",
                      KeyHeaders(aFront),
                      endpoints::EncodeRenewRequest(renewal) };
    aFront.mPorts.mEndpoints.mStart(std::move(call), {});
  }
}

} // namespace cuminslip::requests
