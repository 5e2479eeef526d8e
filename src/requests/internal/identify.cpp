#include "requests/internal/delivery.h"
#include "requests/internal/filters.h"

namespace cuminslip::requests {

namespace {

constexpr auto kNotReadyRetry = Millis(1000);
constexpr auto kStoppingRetry = Millis(100);

} // namespace

auto
IdentifyCaller(Front& aFront, Request& aRequest) -> FilterResult
{
  const auto key = wire::BearerKey(aRequest.mHttp.mHeaders);
  const auto account = aFront.mPorts.mIdentify(key);
  if (!account) {
    RefuseRequest(aFront,
                  aRequest,
                  { RefusalType::Unauthorized, "unknown caller key", Ran::No });
    return FilterResult::Done;
  }
  aRequest.mFacts.mAccount = *account;
  return FilterResult::Continue;
}

auto
CheckReadiness(Front& aFront, Request& aRequest) -> FilterResult
{
  if (aFront.mIsStopping) {
    RefuseRequest(
      aFront,
      aRequest,
      { RefusalType::Stopping,
        "this instance is stopping; resend through the load balancer",
        Ran::No,
        kStoppingRetry });
    return FilterResult::Done;
  }
  if (!aFront.mPorts.mControl.mStanding().mIsReady) {
    RefuseRequest(aFront,
                  aRequest,
                  { RefusalType::NotReady,
                    "this instance has not loaded the active templates yet",
                    Ran::No,
                    kNotReadyRetry });
    return FilterResult::Done;
  }
  const auto it = aFront.mTemplates.find(aRequest.mFacts.mAccount);
  if (it == aFront.mTemplates.end()) {
    RefuseRequest(aFront,
                  aRequest,
                  { RefusalType::NotPermitted,
                    "this client account has no active template",
                    Ran::No });
    return FilterResult::Done;
  }
  aRequest.mTemplate = it->second;
  return FilterResult::Continue;
}

} // namespace cuminslip::requests
