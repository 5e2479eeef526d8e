#include "peers/internal/controlwatcher.h"

#include "peers/internal/rpcparts.h"
#include "peers/types/peersevents.h"
#include "peers/types/watchtimes.h"

namespace cuminslip {

namespace {

/// How long a source keeps a watch open without news.
constexpr auto kWatchWait = Millis(1500);
/// Pause between looks for sources that are not watched yet.
constexpr auto kLookPause = Millis(500);

} // namespace

ControlWatcher::ControlWatcher(PeerContext& aContext)
  : mContext(aContext)
{
}

auto
ControlWatcher::Start() -> void
{
  mContext.mTasks.add(WatchNew());
}

auto
ControlWatcher::Pause(Millis aTime) -> kj::Promise<void>
{
  return mContext.mTimer.afterDelay(aTime.count() * kj::MILLISECONDS);
}

auto
ControlWatcher::WatchNew() -> kj::Promise<void>
{
  // NOTE: a control instance has the control log and shares endpoints with the
  // others itself.
  if (!mContext.mControl) {
    for (const auto& address : OtherControls(mContext)) {
      if (mSources.emplace(address, Source{}).second) {
        mContext.mTasks.add(Watch(address));
      }
    }
  }
  return Pause(kLookPause).then([this] { return WatchNew(); });
}

auto
ControlWatcher::Watch(const std::string& aAddress) -> kj::Promise<void>
{
  auto& source = mSources[aAddress];
  auto request = mContext.mLinks.SessionAt(aAddress).watchRequest();
  request.setHaveRevision(source.mPages.empty()
                            ? mContext.mCache.mRevision
                            : source.mPages.back().mRevision);
  request.setEpoch(source.mEpoch);
  request.setHaveChange(source.mChange);
  request.setEntriesDigest(source.mEntriesDigest);
  request.setWaitMillis(
    source.mIsReached ? static_cast<std::uint32_t>(kWatchWait.count()) : 0);
  request.setAddress(ToText(mContext.mSettings.mAddress));
  kj::Promise<WatchResponse> sent = request.send();
  const auto times = WatchTimesAfter(source.mFailures, source.mWasReached);
  return mContext.mLinks.WithLimit(aAddress, times.mLimit, kj::mv(sent))
    .then(
      [this, aAddress, sentAt = mContext.mNow()](
        WatchResponse aResponse) -> kj::Promise<void> {
        TakeResponse(aAddress, aResponse, sentAt);
        return kj::READY_NOW;
      },
      [this, aAddress, pause = times.mPause](
        kj::Exception&& aException) -> kj::Promise<void> {
        LoseSource(aAddress, aException);
        ++mSources[aAddress].mFailures;
        return Pause(pause);
      })
    .then([this, aAddress] { return Watch(aAddress); });
}

auto
ControlWatcher::LoseSource(const std::string& aAddress,
                           const kj::Exception& aReason) -> void
{
  auto& source = mSources[aAddress];
  source.mPages.clear();
  if (!std::exchange(source.mIsReached, false)) {
    return;
  }
  LogEvent(
    kControlLostEvent,
    { { "address", aAddress }, { "reason", aReason.getDescription().cStr() } });
  if (mContext.mCallbacks.mOnSourceLost) {
    mContext.mCallbacks.mOnSourceLost(aAddress);
  }
  source.mEntries.clear();
  source.mEntriesDigest = 0;
  PassOnEntries();
}

auto
ControlWatcher::TakeResponse(const std::string& aAddress,
                             const WatchResponse& aResponse,
                             TimePoint aSentAt) -> void
{
  auto& source = mSources[aAddress];
  source.mFailures = 0;
  source.mWasReached = true;
  const auto isBack = !std::exchange(source.mIsReached, true);
  if (isBack) {
    LogEvent(kControlWatchedEvent,
             { { "address", aAddress },
               { "quorum_age_ms", aResponse.getQuorumAgeMillis() } });
  }
  for (auto& it : ReadPulled(aResponse.getTemplates())) {
    source.mPages.push_back(std::move(it));
  }
  if (!aResponse.getMore()) {
    PutInForce(mContext, std::exchange(source.mPages, {}));
  }
  TakeEndpoints(aAddress, aResponse, isBack);
  TakeInstances(aAddress, aResponse);
  const auto age = Millis(aResponse.getQuorumAgeMillis());
  TakeQuorumAge(mContext, age, aSentAt);
  const auto isFresh = IsFreshAge(age);
  if (isFresh && !aResponse.getMore()) {
    BecomeReady(mContext);
  }
}

auto
ControlWatcher::TakeEndpoints(const std::string& aAddress,
                              const WatchResponse& aResponse,
                              bool aIsBack) -> void
{
  auto& source = mSources[aAddress];
  auto update = directory::EndpointsUpdate{};
  update.mSource = aAddress;
  update.mIsWhole = source.mEpoch != aResponse.getEpoch();
  source.mEpoch = aResponse.getEpoch();
  source.mChange = aResponse.getChange();
  for (const auto it : aResponse.getEndpoints()) {
    if (auto row = ReadRow(it)) {
      update.mRows.push_back(std::move(*row));
    }
  }
  // NOTE: what a source said before it was lost holds again once it is back.
  const auto hasNews = aIsBack || update.mIsWhole || !update.mRows.empty();
  if (hasNews && mContext.mCallbacks.mOnEndpoints) {
    mContext.mCallbacks.mOnEndpoints(update);
  }
  source.mEntriesDigest = aResponse.getEntriesDigest();
}

auto
ControlWatcher::TakeInstances(const std::string& aAddress,
                              const WatchResponse& aResponse) -> void
{
  for (const auto it : aResponse.getControls()) {
    const auto control = ReadJoiner(it).mInstance;
    mContext.mLearntControls[control.mAddress] = control;
  }
  const auto addresses = aResponse.getEntries();
  const auto domains = aResponse.getEntryDomains();
  if (addresses.size() == 0) {
    return;
  }
  auto& entries = mSources[aAddress].mEntries;
  entries.clear();
  for (auto i = 0U; i < addresses.size(); ++i) {
    const auto domain =
      i < domains.size() ? FromText(domains[i]) : std::string{};
    entries.push_back({ FromText(addresses[i]), { domain } });
  }
  PassOnEntries();
}

auto
ControlWatcher::PassOnEntries() -> void
{
  auto entries = std::set<directory::EntryInstance>{};
  for (const auto& [address, source] : mSources) {
    entries.insert(source.mEntries.begin(), source.mEntries.end());
  }
  // NOTE: without any source the last known instances are kept.
  if (entries.empty() || entries == mEntries) {
    return;
  }
  mEntries = std::move(entries);
  if (mContext.mCallbacks.mOnEntries) {
    mContext.mCallbacks.mOnEntries({ mEntries.begin(), mEntries.end() });
  }
}

} // namespace cuminslip
