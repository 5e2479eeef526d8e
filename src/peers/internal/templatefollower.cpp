#include "peers/internal/templatefollower.h"

#include "peers/internal/rpcparts.h"
#include "peers/types/peersevents.h"

#include <algorithm>

namespace cuminslip {

namespace {

/// How long a source keeps a pull open without news.
constexpr auto kPullWait = Millis(4000);
constexpr auto kPullLimit = Millis(6000);
/// Pause between sources that are out of touch themselves.
constexpr auto kStalePause = Millis(300);
constexpr auto kFailurePause = Millis(200);
constexpr auto kIdlePause = Millis(1000);
/// After this long on another source the first one is tried again.
constexpr auto kPreferInterval = Seconds(30);
constexpr auto kReadinessPause = Millis(50);
constexpr auto kDomainLimit = Millis(1000);
/// A control instance relies on its own disk after this long without quorum.
constexpr auto kOwnDiskAfter = Millis(10000);

using PullResponse = capnp::Response<schema::Session::PullResults>;

} // namespace

TemplateFollower::TemplateFollower(PeerContext& aContext)
  : mContext(aContext)
{
}

auto
TemplateFollower::Start() -> void
{
  mContext.mTasks.add(Follow());
  mContext.mTasks.add(CheckReadiness());
}

auto
TemplateFollower::Pause(Millis aTime) -> kj::Promise<void>
{
  return mContext.mTimer.afterDelay(aTime.count() * kj::MILLISECONDS);
}

auto
TemplateFollower::Sources() const -> std::vector<std::string>
{
  auto sources = std::vector<std::string>{};
  if (!TakesPartInControl(mContext)) {
    sources = OtherControls(mContext);
  }
  if (IsIsolatedNow(mContext)) {
    for (auto& it : OtherDomainInstances(mContext)) {
      if (std::count(sources.begin(), sources.end(), it) == 0) {
        sources.push_back(std::move(it));
      }
    }
  }
  return sources;
}

auto
TemplateFollower::Follow() -> kj::Promise<void>
{
  const auto sources = Sources();
  if (sources.empty()) {
    return Pause(kIdlePause).then([this] { return Follow(); });
  }
  if (mSource != 0 && mContext.mNow() >= mPreferAgainAt) {
    mSource = 0;
    mPages.clear();
  }
  mSource %= sources.size();
  return PullFrom(sources[mSource])
    .then([this]() -> kj::Promise<void> {
      return mIsFresh ? kj::Promise<void>(kj::READY_NOW) : Pause(kStalePause);
    })
    .catch_([this](kj::Exception&&) -> kj::Promise<void> {
      UseNextSource("the source did not answer");
      return Pause(kFailurePause);
    })
    .then([this] { return Follow(); });
}

auto
TemplateFollower::UseNextSource(const char* aReason) -> void
{
  if (mSource == 0) {
    mPreferAgainAt = mContext.mNow() + kPreferInterval;
  }
  if (mIsFresh) {
    LogEvent(kTemplateSourceEvent, { { "reason", aReason } });
  }
  ++mSource;
  mIsFresh = false;
  mPages.clear();
}

auto
TemplateFollower::PullFrom(const std::string& aAddress) -> kj::Promise<void>
{
  auto request = mContext.mLinks.SessionAt(aAddress).pullRequest();
  const auto have =
    mPages.empty() ? mContext.mCache.mRevision : mPages.back().mRevision;
  request.setHave(have);
  request.setWaitMillis(mIsFresh ? static_cast<std::uint32_t>(kPullWait.count())
                                 : 0);
  kj::Promise<PullResponse> sent = request.send();
  return mContext.mLinks.WithLimit(aAddress, kPullLimit, kj::mv(sent))
    .then([this, aAddress, sentAt = mContext.mNow()](PullResponse aResponse) {
      TakePull(aAddress, aResponse, sentAt);
    });
}

auto
TemplateFollower::TakePull(const std::string& aAddress,
                           PullResponse& aResponse,
                           TimePoint aSentAt) -> void
{
  for (auto& it : ReadPulled(aResponse.getTemplates())) {
    mPages.push_back(std::move(it));
  }
  if (!aResponse.getMore()) {
    PutInForce(mContext, std::exchange(mPages, {}));
  }
  const auto age = Millis(aResponse.getQuorumAgeMillis());
  const auto wasFresh = mIsFresh;
  const auto isFresh = IsFreshAge(age);
  TakeQuorumAge(mContext, age, aSentAt);
  if (!isFresh) {
    UseNextSource("the source lost touch with the quorum");
    return;
  }
  mIsFresh = true;
  if (!wasFresh) {
    LogEvent(
      kTemplateSourceEvent,
      { { "reason", "in touch with the quorum" }, { "address", aAddress } });
  }
}

auto
TemplateFollower::HasSource() const -> bool
{
  if (mHasReadyMate) {
    return true;
  }
  if (!TakesPartInControl(mContext)) {
    return mIsFresh && mPages.empty();
  }
  const auto& core = mContext.mControl->Core();
  const auto age = QuorumAge(core, mContext.mNow());
  const auto hasCaughtUp =
    core.mApplied >= core.mLeaderCommit &&
    mContext.mCache.mRevision >= TemplateRevision(mContext.mControl->State());
  if (age && IsFreshAge(*age) && hasCaughtUp) {
    return true;
  }
  const auto isLongAlone =
    MillisBetween(mContext.mStarted, mContext.mNow()) > kOwnDiskAfter;
  return isLongAlone && core.mVote.mCluster != 0;
}

auto
TemplateFollower::AskDomain() -> kj::Promise<void>
{
  auto calls = kj::Vector<kj::Promise<void>>();
  for (const auto& address : OtherDomainInstances(mContext)) {
    auto request = mContext.mLinks.SessionAt(address).pullRequest();
    request.setHave(mContext.mCache.mRevision);
    request.setWaitMillis(0);
    kj::Promise<PullResponse> sent = request.send();
    calls.add(
      mContext.mLinks.WithLimit(address, kDomainLimit, kj::mv(sent))
        .then(
          [this, sentAt = mContext.mNow()](PullResponse aResponse) {
            // NOTE: ready by this answer but isolated, the instance would
            // refuse work that needs the quorum.
            TakeQuorumAge(
              mContext, Millis(aResponse.getQuorumAgeMillis()), sentAt);
            mHasReadyMate |= aResponse.getReady() && !aResponse.getMore();
            if (!aResponse.getMore()) {
              PutInForce(mContext, ReadPulled(aResponse.getTemplates()));
            }
          },
          // NOTE: who does not answer can't be waited for.
          [](kj::Exception&&) {}));
  }
  return kj::joinPromises(calls.releaseAsArray());
}

auto
TemplateFollower::CheckReadiness() -> kj::Promise<void>
{
  return AskDomain().then([this]() -> kj::Promise<void> {
    if (HasSource()) {
      BecomeReady(mContext);
      return kj::READY_NOW;
    }
    mHasReadyMate = false;
    return Pause(kReadinessPause).then([this] { return CheckReadiness(); });
  });
}

} // namespace cuminslip
