#include "bench/fakefleet.h"

#include "base/digest.h"
#include "policy/prefixhashes.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace cuminslip::bench {

namespace {

constexpr Micros kStep{ 1000 };
constexpr std::int64_t kAnswerTokens = 64;
constexpr double kShortShare = 0.7;
constexpr double kMiddleShare = 0.28;

/// A prompt on its way through an engine.
struct Job
{
  RequestFacts mFacts;
  std::size_t mGroup = 0;
  std::int64_t mUnread = 0;
  std::int64_t mRead = 0;
  std::size_t mInstance = 0;
  PredictedTimes mPredicted;
  TimePoint mSentAt;
  int mEnginePriority = 0;
  bool mIsBegun = false;
};

struct Engine
{
  double mRate = 0;
  double mBudget = 0;
  std::deque<Job> mWaiting;
  std::vector<TimePoint> mDecodeEnds;
  std::list<std::size_t> mCachedGroups;
  std::vector<CacheEvent> mEvents;
};

struct Sent
{
  TimePoint mAt;
  std::int64_t mTokens = 0;
};

struct Instance
{
  std::vector<EndpointView> mViews;
  std::vector<std::deque<Sent>> mSent;
  std::vector<TimePoint> mTaken;
  PrefixKnowledge mPrefixes;
  WaitQueue mQueue;
  std::unordered_map<RequestId, Job> mWaiting;
  ChoiceState mState;
};

struct Report
{
  TimePoint mTaken;
  std::size_t mEngine = 0;
  LoadReport mLoad;
  std::vector<CacheEvent> mEvents;
};

class Fleet
{
public:
  explicit Fleet(const FleetSettings& aSettings);
  auto Run() -> FleetResult;

private:
  auto BuildView(std::size_t aIndex) const -> EndpointView;
  auto DrawTokens() -> std::int64_t;
  auto DrawJob() -> Job;
  auto Arrive() -> void;
  auto TryStart(Instance& aInstance, Job& aJob) -> bool;
  auto StartWaiting(Instance& aInstance) -> void;
  auto RefreshView(Instance& aInstance, std::size_t aEngine) -> void;
  auto TakeReports() -> void;
  auto DeliverReports() -> void;
  auto FindNextJob(Engine& aEngine) const -> std::deque<Job>::iterator;
  auto Advance(std::size_t aEngine) -> void;
  auto FinishRead(std::size_t aEngine, Job& aJob) -> void;
  auto MeasureImbalance() -> void;

  FleetSettings mSettings;
  std::mt19937_64 mRandom;
  Template mTemplate;
  OwnPlace mPlace{ { "d" }, { "r" } };
  std::vector<Engine> mEngines;
  std::vector<Instance> mInstances;
  std::deque<Report> mReports;
  TimePoint mNow{ Seconds(1000) };
  double mRequestsPerSecond = 0;
  std::uint64_t mNextId = 0;
  double mImbalanceSum = 0;
  std::int64_t mImbalanceCount = 0;
  FleetResult mResult;
};

auto
GroupPrefix(std::size_t aGroup, std::int64_t aStep) -> PrefixHash
{
  return Checksum(std::to_string(aGroup) + "/" + std::to_string(aStep));
}

auto
NoteEvents(Engine& aEngine, CacheEventKind aKind, std::size_t aGroup) -> void
{
  constexpr auto kReportedSteps = std::int64_t{ 16 };
  for (auto i = std::int64_t{ 0 }; i < kReportedSteps; ++i) {
    aEngine.mEvents.push_back(
      { 0, aKind, GroupPrefix(aGroup, i), (i + 1) * kPrefixStepTokens });
  }
}

auto
MeanTokens(double aLongest) -> double
{
  const auto mean = [](double aLow, double aHigh) {
    return (aHigh - aLow) / std::log(aHigh / aLow);
  };
  return kShortShare * mean(1000, 4000) + kMiddleShare * mean(4000, 100000) +
         (1 - kShortShare - kMiddleShare) * mean(100000, aLongest);
}

Fleet::Fleet(const FleetSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
{
  mTemplate.mRegions = { mPlace.mRegion };
  mEngines.resize(aSettings.mEngines);
  for (auto i = std::size_t{ 0 }; i < mEngines.size(); ++i) {
    const auto isSlow = i < aSettings.mSlowEngines;
    mEngines[i].mRate =
      aSettings.mPrefillTokensPerSecond * (isSlow ? 0.2 : 1.0);
  }
  mInstances.resize(aSettings.mInstances);
  for (auto& instance : mInstances) {
    for (auto i = std::size_t{ 0 }; i < mEngines.size(); ++i) {
      instance.mViews.push_back(BuildView(i));
    }
    AssignLanes(instance.mViews, aSettings.mChoice.mLanes);
    instance.mPrefixes.mSettings.mHalfLife = aSettings.mHalfLife;
    instance.mSent.resize(mEngines.size());
    instance.mTaken.resize(mEngines.size(), mNow);
  }
  mRequestsPerSecond =
    aSettings.mLoad * aSettings.mPrefillTokensPerSecond *
    static_cast<double>(aSettings.mEngines) /
    MeanTokens(static_cast<double>(aSettings.mLongestPrompt));
}

auto
Fleet::BuildView(std::size_t aIndex) const -> EndpointView
{
  auto view = EndpointView{};
  view.mId = { "engine-" + std::to_string(aIndex) };
  view.mIncarnation = 1;
  view.mFailureDomain = mPlace.mFailureDomain;
  view.mRegion = mPlace.mRegion;
  view.mModels = { { { "m" }, { "1" } } };
  view.mLoad.mBatchSlots = mSettings.mSlots;
  view.mLoad.mPrefillTokensPerSecond = mSettings.mPrefillTokensPerSecond;
  view.mLoad.mDecodeTokensPerSecond = mSettings.mDecodeTokensPerSecond;
  return view;
}

auto
Fleet::DrawTokens() -> std::int64_t
{
  auto unit = std::uniform_real_distribution<double>(0, 1);
  const auto kind = unit(mRandom);
  const auto between = [&](double aLow, double aHigh) {
    return static_cast<std::int64_t>(aLow *
                                     std::pow(aHigh / aLow, unit(mRandom)));
  };
  if (kind < kShortShare) {
    return between(1000, 4000);
  }
  if (kind < kShortShare + kMiddleShare) {
    return between(4000, 100000);
  }
  return between(100000, static_cast<double>(mSettings.mLongestPrompt));
}

auto
Fleet::DrawJob() -> Job
{
  auto job = Job{};
  auto& facts = job.mFacts;
  facts.mId = { std::to_string(mNextId++) };
  facts.mAccount = { "account" };
  facts.mModel = { "m" };
  facts.mVersion = { "1" };
  facts.mPromptTokens = DrawTokens();
  facts.mMaxTokens = kAnswerTokens;
  facts.mArrived = mNow;
  facts.mQueueTime = Millis(600000);
  facts.mDeadline = mNow + Seconds(600);
  const auto isShort = facts.mPromptTokens <= 4000;
  facts.mPriority =
    mSettings.mHasPriorities && isShort ? Priority::Urgent : Priority::Normal;
  auto unit = std::uniform_real_distribution<double>(0, 1);
  if (unit(mRandom) >= mSettings.mGroupShare) {
    facts.mPrefixes.push_back(Checksum(facts.mId.mValue));
  } else {
    auto draw =
      std::uniform_int_distribution<std::size_t>(1, mSettings.mGroups);
    job.mGroup = draw(mRandom);
    const auto common = facts.mPromptTokens * 8 / 10 / kPrefixStepTokens;
    for (auto i = std::int64_t{ 0 }; i < common; ++i) {
      facts.mPrefixes.push_back(GroupPrefix(job.mGroup, i));
    }
  }
  return job;
}

auto
Fleet::Arrive() -> void
{
  const auto perStep =
    mRequestsPerSecond * std::chrono::duration<double>(kStep).count();
  auto arrivals = std::poisson_distribution<int>(perStep)(mRandom);
  auto pick =
    std::uniform_int_distribution<std::size_t>(0, mInstances.size() - 1);
  for (; arrivals > 0; --arrivals) {
    auto job = DrawJob();
    job.mInstance = pick(mRandom);
    auto& instance = mInstances[job.mInstance];
    const auto isLong =
      IsLongWork(job.mFacts.mPromptTokens, mSettings.mChoice.mLanes);
    auto entry =
      BuildWaitEntry(job.mFacts, 1.0, { 0, isLong }, Micros(0), mNow);
    if (MayStartAtOnce(instance.mQueue, entry) && TryStart(instance, job)) {
      continue;
    }
    Enqueue(
      instance.mQueue, entry, AccountLimits{ 0, 0, 1000000, 1 << 30 }, mNow);
    instance.mWaiting.emplace(job.mFacts.mId, std::move(job));
  }
}

auto
Fleet::RefreshView(Instance& aInstance, std::size_t aEngine) -> void
{
  auto& view = aInstance.mViews[aEngine];
  view.mReportAge =
    std::chrono::duration_cast<Millis>(mNow - aInstance.mTaken[aEngine]);
  view.mSent = {};
  if (!mSettings.mCountsSent) {
    return;
  }
  for (const auto& sent : aInstance.mSent[aEngine]) {
    view.mSent.mStreams += 1;
    view.mSent.mPrefillTokens += sent.mTokens;
  }
}

auto
Fleet::TryStart(Instance& aInstance, Job& aJob) -> bool
{
  for (auto i = std::size_t{ 0 }; i < mEngines.size(); ++i) {
    RefreshView(aInstance, i);
  }
  const auto input = ChoiceInput{
    aJob.mFacts, mTemplate,
    mPlace,      aInstance.mViews,
    {},          mSettings.mUsesPrefixes ? &aInstance.mPrefixes : nullptr,
    mNow
  };
  const auto choice =
    ChooseEndpoint(input, mSettings.mChoice, aInstance.mState, mRandom);
  if (!choice.mIndex) {
    return false;
  }
  const auto index = *choice.mIndex;
  auto& view = aInstance.mViews[index];
  const auto unread = aJob.mFacts.mPromptTokens -
                      ExpectedTokens(choice.mConsidered.front().mCached);
  aInstance.mSent[index].push_back({ mNow, unread });
  view.mOwnStreams += 1;
  view.mOwnLongPrefills += IsLongWork(unread, mSettings.mChoice.mLanes) ? 1 : 0;
  RecordSentPrompt(
    aInstance.mPrefixes, view.mId, 1, aJob.mFacts.mPrefixes, mNow);
  aJob.mPredicted = choice.mConsidered.front().mTimes;
  aJob.mSentAt = mNow;
  aJob.mEnginePriority = mSettings.mPriorityByLength
                           ? choice.mConsidered.front().mEnginePriority
                           : static_cast<int>(aJob.mFacts.mPriority);
  auto& engine = mEngines[index];
  const auto cached = std::find(
    engine.mCachedGroups.begin(), engine.mCachedGroups.end(), aJob.mGroup);
  const auto hasCached =
    aJob.mGroup != 0 && cached != engine.mCachedGroups.end();
  const auto common =
    static_cast<std::int64_t>(aJob.mFacts.mPrefixes.size()) * kPrefixStepTokens;
  aJob.mUnread = aJob.mFacts.mPromptTokens - (hasCached ? common : 0);
  aJob.mRead = aJob.mUnread;
  engine.mWaiting.push_back(std::move(aJob));
  return true;
}

auto
Fleet::StartWaiting(Instance& aInstance) -> void
{
  while (true) {
    auto started =
      TakeNext(aInstance.mQueue, mNow, [&](const WaitEntry& aEntry) {
        return TryStart(aInstance, aInstance.mWaiting.at(aEntry.mId));
      });
    if (!started) {
      return;
    }
    aInstance.mWaiting.erase(started->mEntry.mId);
  }
}

auto
Fleet::TakeReports() -> void
{
  const auto interval =
    std::chrono::duration_cast<Micros>(mSettings.mReportInterval);
  for (auto i = std::size_t{ 0 }; i < mEngines.size(); ++i) {
    // NOTE: engines report one after the other, not all at once.
    const auto phase = interval * static_cast<std::int64_t>(i) /
                       static_cast<std::int64_t>(mEngines.size());
    const auto since = mNow.time_since_epoch() + phase;
    if (since % interval >= kStep) {
      continue;
    }
    auto load = BuildView(i).mLoad;
    for (const auto& job : mEngines[i].mWaiting) {
      load.mQueuedPrefillTokens += job.mUnread;
    }
    load.mRunningStreams =
      static_cast<std::int64_t>(mEngines[i].mDecodeEnds.size());
    load.mWaitingStreams =
      static_cast<std::int64_t>(mEngines[i].mWaiting.size());
    mReports.push_back(
      { mNow, i, load, std::exchange(mEngines[i].mEvents, {}) });
  }
}

auto
Fleet::DeliverReports() -> void
{
  while (!mReports.empty() &&
         mReports.front().mTaken + mSettings.mReportDelay <= mNow) {
    const auto report = mReports.front();
    mReports.pop_front();
    auto unit = std::uniform_real_distribution<double>(0, 1);
    for (auto& instance : mInstances) {
      if (unit(mRandom) >= mSettings.mLostEvents) {
        ApplyCacheEvents(instance.mPrefixes,
                         instance.mViews[report.mEngine].mId,
                         1,
                         report.mEvents,
                         false,
                         mNow);
      }
      instance.mViews[report.mEngine].mLoad = report.mLoad;
      instance.mTaken[report.mEngine] = report.mTaken;
      auto& sent = instance.mSent[report.mEngine];
      while (!sent.empty() && sent.front().mAt <= report.mTaken) {
        sent.pop_front();
      }
    }
  }
}

auto
Fleet::FinishRead(std::size_t aEngine, Job& aJob) -> void
{
  auto& engine = mEngines[aEngine];
  const auto decode = Micros(static_cast<std::int64_t>(
    1e6 * kAnswerTokens / mSettings.mDecodeTokensPerSecond));
  engine.mDecodeEnds.push_back(mNow + decode);
  auto& view = mInstances[aJob.mInstance].mViews[aEngine];
  view.mOwnStreams -= 1;
  if (IsLongWork(aJob.mRead, mSettings.mChoice.mLanes)) {
    view.mOwnLongPrefills =
      std::max<std::int64_t>(0, view.mOwnLongPrefills - 1);
  }
  if (mSettings.mLearnsSlowness) {
    LearnSlowness(view.mHealth,
                  mNow - aJob.mSentAt,
                  aJob.mPredicted,
                  mSettings.mChoice.mPrediction);
  }
  if (aJob.mGroup != 0) {
    engine.mCachedGroups.remove(aJob.mGroup);
    engine.mCachedGroups.push_front(aJob.mGroup);
    NoteEvents(engine, CacheEventKind::Stored, aJob.mGroup);
    if (engine.mCachedGroups.size() > mSettings.mCachedGroups) {
      NoteEvents(engine, CacheEventKind::Evicted, engine.mCachedGroups.back());
      engine.mCachedGroups.pop_back();
    }
  }
  const auto unloaded = Micros(static_cast<std::int64_t>(
    1e6 * static_cast<double>(aJob.mFacts.mPromptTokens) /
    mSettings.mPrefillTokensPerSecond));
  mResult.mOutcomes.push_back({ aJob.mFacts.mPromptTokens,
                                aJob.mRead,
                                mNow - aJob.mFacts.mArrived,
                                unloaded });
}

auto
Fleet::FindNextJob(Engine& aEngine) const -> std::deque<Job>::iterator
{
  auto& jobs = aEngine.mWaiting;
  if (mSettings.mReadOrder == ReadOrder::FirstComeFirstServed) {
    return jobs.begin();
  }
  const auto isWhole = mSettings.mReadOrder == ReadOrder::Prompts;
  return std::min_element(
    jobs.begin(), jobs.end(), [&](const Job& aLeft, const Job& aRight) {
      if (isWhole && aLeft.mIsBegun != aRight.mIsBegun) {
        return aLeft.mIsBegun;
      }
      return aLeft.mEnginePriority < aRight.mEnginePriority;
    });
}

auto
Fleet::Advance(std::size_t aEngine) -> void
{
  auto& engine = mEngines[aEngine];
  std::erase_if(engine.mDecodeEnds,
                [&](TimePoint aEnd) { return aEnd <= mNow; });
  engine.mBudget += engine.mRate * std::chrono::duration<double>(kStep).count();
  while (!engine.mWaiting.empty() && engine.mBudget > 0) {
    const auto it = FindNextJob(engine);
    if (static_cast<std::int64_t>(engine.mDecodeEnds.size()) >=
        mSettings.mSlots) {
      break;
    }
    const auto read =
      std::min(static_cast<double>(it->mUnread), engine.mBudget);
    it->mIsBegun = true;
    engine.mBudget -= read;
    it->mUnread -= static_cast<std::int64_t>(std::ceil(read));
    if (it->mUnread > 0) {
      break;
    }
    auto job = std::move(*it);
    engine.mWaiting.erase(it);
    FinishRead(aEngine, job);
  }
  engine.mBudget = std::min(engine.mBudget, 0.0);
}

auto
Fleet::MeasureImbalance() -> void
{
  auto sum = 0.0;
  auto most = 0.0;
  for (const auto& engine : mEngines) {
    auto queued = 0.0;
    for (const auto& job : engine.mWaiting) {
      queued += static_cast<double>(job.mUnread);
    }
    sum += queued;
    most = std::max(most, queued);
  }
  if (sum > 0) {
    mImbalanceSum += most * static_cast<double>(mEngines.size()) / sum;
    ++mImbalanceCount;
  }
}

auto
Fleet::Run() -> FleetResult
{
  const auto end = mNow + mSettings.mDuration;
  const auto drained = end + Seconds(60);
  for (; mNow < drained; mNow += kStep) {
    TakeReports();
    DeliverReports();
    if (mNow < end) {
      Arrive();
    }
    for (auto& instance : mInstances) {
      if (!instance.mWaiting.empty()) {
        StartWaiting(instance);
      }
    }
    for (auto i = std::size_t{ 0 }; i < mEngines.size(); ++i) {
      Advance(i);
    }
    if (mNow.time_since_epoch() % Millis(100) < kStep) {
      MeasureImbalance();
    }
  }
  mResult.mUnanswered = mNextId - mResult.mOutcomes.size();
  mResult.mImbalance = mImbalanceCount > 0
                         ? mImbalanceSum / static_cast<double>(mImbalanceCount)
                         : 0;
  return mResult;
}

} // namespace

auto
RunFleet(const FleetSettings& aSettings) -> FleetResult
{
  return std::make_unique<Fleet>(aSettings)->Run();
}

} // namespace cuminslip::bench
