#include "bench/queueexperiment.h"

#include "bench/fleetreport.h"
#include "policy/admission.h"
#include "policy/waitqueue.h"

#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <unordered_set>

namespace cuminslip::bench {

namespace {

constexpr std::uint64_t kSeeds = 5;
constexpr std::size_t kEngines = 10;
constexpr double kTokensPerSecond = 50000;
constexpr double kLow = 1000;
constexpr double kHigh = 100000;
constexpr Micros kStep{ 10000 };
constexpr TimePoint kBegin{ Seconds(1000) };
constexpr std::size_t kAccounts = 10;
constexpr int kMostAttempts = 5;

struct QueueSettings
{
  /// Fair shares and urgency; else first come, first served.
  bool mIsFair = true;
  /// Expiry and refusal of what can't make its time.
  bool mRefusesLate = true;
  bool mSheds = true;
  /// Hints that spread the return; else callers come back after a second.
  bool mSpreadsHints = true;
  /// Load by time since the begin.
  std::function<double(Micros)> mLoad;
  Seconds mDuration{ 120 };
};

struct Call
{
  RequestFacts mFacts;
  int mAttempt = 1;
  std::int64_t mFirstSecond = 0;
};

struct Return
{
  TimePoint mAt;
  Call mCall;

  auto operator>(const Return& aOther) const -> bool
  {
    return mAt > aOther.mAt;
  }
};

struct Finished
{
  Call mCall;
  bool mIsInTime = false;
  Micros mWaited{ 0 };
};

class QueueRun
{
public:
  QueueRun(const QueueSettings& aSettings, std::uint64_t aSeed)
    : mSettings(aSettings)
    , mRandom(aSeed)
    , mFreeAt(kEngines, kBegin)
  {
  }

  auto Run() -> void
  {
    while (mNow < kBegin + mSettings.mDuration) {
      mNow += kStep;
      Arrive();
      while (!mReturns.empty() && mReturns.top().mAt <= mNow) {
        auto call = mReturns.top().mCall;
        mReturns.pop();
        Offer(std::move(call));
      }
      Expire();
      Serve();
      if (mNow >= mNextSecond) {
        mNextSecond = mNow + Seconds(1);
        GiveUp();
        UpdateOverload(mOverload, {}, OldestWait(mQueue, mNow), mNow);
      }
    }
  }

  std::vector<Finished> mFinished;
  std::map<std::int64_t, std::int64_t> mOfferedBySecond;

private:
  auto Second() const -> std::int64_t
  {
    return std::chrono::duration_cast<Seconds>(mNow - kBegin).count();
  }

  auto Arrive() -> void
  {
    const auto mean = (kHigh - kLow) / std::log(kHigh / kLow);
    const auto rate = mSettings.mLoad(mNow - kBegin) * kTokensPerSecond *
                      static_cast<double>(kEngines) / mean;
    const auto step = std::chrono::duration<double>(kStep).count();
    auto arrivals = std::poisson_distribution<int>(rate * step)(mRandom);
    for (; arrivals > 0; --arrivals) {
      ++mOfferedBySecond[Second()];
      Offer(Draw());
    }
  }

  auto Draw() -> Call
  {
    auto unit = std::uniform_real_distribution<double>(0, 1);
    auto call = Call{};
    auto& facts = call.mFacts;
    facts.mPromptTokens =
      static_cast<std::int64_t>(kLow * std::pow(kHigh / kLow, unit(mRandom)));
    const auto isShort = facts.mPromptTokens < 10000;
    facts.mPriority = isShort ? Priority::Urgent : Priority::Normal;
    const auto isLarge = unit(mRandom) < 0.7;
    auto account = std::uniform_int_distribution<std::size_t>(
      isLarge ? 0 : 2, isLarge ? 1 : kAccounts - 1);
    facts.mAccount = { std::to_string(account(mRandom)) };
    call.mFirstSecond = Second();
    return call;
  }

  auto Offer(Call aCall) -> void
  {
    auto& facts = aCall.mFacts;
    const auto isUrgent = facts.mPriority == Priority::Urgent;
    facts.mId = { std::to_string(mNextId++) };
    facts.mArrived = mNow;
    facts.mDeadline = mNow + (isUrgent ? Seconds(8) : Seconds(30));
    facts.mQueueTime = isUrgent ? Seconds(8) : Seconds(30);
    auto choice = EndpointChoice{};
    choice.mIndex = 0;
    choice.mReason = ChoiceReason::LeastCost;
    choice.mConsidered = { ConsideredEndpoint{} };
    choice.mConsidered.front().mTimes.mPrefill = Duration(facts);
    auto entry = BuildWaitEntry(facts, 1.0, {}, Duration(facts), mNow);
    if (mSettings.mRefusesLate) {
      auto input = AdmissionInput{ facts, kLimits, choice };
      input.mNow = mNow;
      input.mWait.mPredictedWait = PredictWait(mQueue, entry);
      input.mOverloadLevel = mSettings.mSheds ? mOverload.mLevel : 0;
      input.mIsOverShare = IsOverShare(mQueue, facts.mAccount);
      const auto decision =
        DecideAdmission(input, {}, mBuckets[facts.mAccount], mRandom);
      if (!IsAdmitted(decision)) {
        Refuse(std::move(aCall), decision.mRetryAfter);
        return;
      }
    } else {
      entry.mExpires = mNow + Seconds(100000);
    }
    if (!mSettings.mIsFair) {
      entry.mAccount = { "all" };
      entry.mPriority = Priority::Normal;
      entry.mLatestStart = mNow + Seconds(50000);
    }
    Enqueue(mQueue, entry, kLimits, mNow);
    mWaiting.emplace(facts.mId, std::move(aCall));
  }

  auto Refuse(Call aCall, std::optional<Millis> aHint) -> void
  {
    if (aCall.mAttempt >= kMostAttempts) {
      mFinished.push_back({ std::move(aCall), false, Micros(0) });
      return;
    }
    ++aCall.mAttempt;
    const auto hint =
      mSettings.mSpreadsHints ? aHint.value_or(Millis(1000)) : Millis(1000);
    mReturns.push({ mNow + hint, std::move(aCall) });
  }

  auto Expire() -> void
  {
    for (const auto& entry : TakeExpired(mQueue, mNow)) {
      auto node = mWaiting.extract(entry.mId);
      Refuse(std::move(node.mapped()), Millis(2000));
    }
  }

  /// Callers give up, but their requests stay and are served.
  auto GiveUp() -> void
  {
    if (mSettings.mRefusesLate) {
      return;
    }
    for (auto& [id, call] : mWaiting) {
      if (call.mFacts.mDeadline <= mNow && mGivenUp.insert(id).second) {
        Refuse(call, std::nullopt);
      }
    }
  }

  auto Serve() -> void
  {
    for (auto& free : mFreeAt) {
      if (free > mNow) {
        continue;
      }
      auto started =
        TakeNext(mQueue, mNow, [](const WaitEntry&) { return true; });
      if (!started) {
        return;
      }
      RecordWait(mOverload, started->mWaited);
      auto call = mWaiting.extract(started->mEntry.mId).mapped();
      free = mNow + Duration(call.mFacts);
      const auto isInTime = free <= call.mFacts.mDeadline;
      if (!mGivenUp.contains(call.mFacts.mId)) {
        mFinished.push_back({ std::move(call), isInTime, started->mWaited });
      }
    }
  }

  static auto Duration(const RequestFacts& aFacts) -> Micros
  {
    return Micros(static_cast<std::int64_t>(
      1e6 * static_cast<double>(aFacts.mPromptTokens) / kTokensPerSecond));
  }

  static inline const auto kLimits =
    AccountLimits{ 1e9, 1e12, 1000000, std::int64_t{ 1 } << 50, 1.0 };

  QueueSettings mSettings;
  std::mt19937_64 mRandom;
  WaitQueue mQueue{ { 1000000, std::int64_t{ 1 } << 50 } };
  OverloadState mOverload;
  std::map<AccountId, TokenBucket> mBuckets;
  std::unordered_map<RequestId, Call> mWaiting;
  std::unordered_set<RequestId> mGivenUp;
  std::priority_queue<Return, std::vector<Return>, std::greater<>> mReturns;
  std::vector<TimePoint> mFreeAt;
  TimePoint mNow = kBegin;
  TimePoint mNextSecond = kBegin;
  std::uint64_t mNextId = 0;
};

auto
PrintCells(const std::vector<std::vector<double>>& aColumns, int aDigits)
  -> void
{
  for (const auto& column : aColumns) {
    std::printf(" | %.*f (%.*f-%.*f)",
                aDigits,
                Quantile(column, 0.5),
                aDigits,
                Quantile(column, 0),
                aDigits,
                Quantile(column, 1));
  }
  std::printf(" |\n");
}

/// 95th percentile of the waits of large and small accounts, by priority.
auto
PrintFairness(const std::string& aName, const QueueSettings& aSettings) -> void
{
  auto columns = std::vector<std::vector<double>>(4);
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    auto run = QueueRun(aSettings, seed);
    run.Run();
    auto waits = std::vector<std::vector<double>>(4);
    for (const auto& item : run.mFinished) {
      const auto& facts = item.mCall.mFacts;
      const auto isSmall = std::stoi(facts.mAccount.mValue) >= 2;
      const auto isUrgent = facts.mPriority == Priority::Urgent;
      waits[(isSmall ? 2U : 0U) + (isUrgent ? 0U : 1U)].push_back(
        std::chrono::duration<double>(item.mWaited).count());
    }
    for (auto i = std::size_t{ 0 }; i < columns.size(); ++i) {
      columns[i].push_back(waits[i].empty() ? 0 : Quantile(waits[i], 0.95));
    }
  }
  std::printf("| %s", aName.c_str());
  PrintCells(columns, 2);
  std::fflush(stdout);
}

/// Share of the requests of each phase that were answered in time.
auto
PrintBurst(const std::string& aName, const QueueSettings& aSettings) -> void
{
  constexpr auto kPhase = std::int64_t{ 60 };
  auto columns = std::vector<std::vector<double>>(4);
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    auto run = QueueRun(aSettings, seed);
    run.Run();
    auto offered = std::vector<double>(columns.size());
    auto answered = std::vector<double>(columns.size());
    for (const auto& [second, count] : run.mOfferedBySecond) {
      const auto phase = static_cast<std::size_t>(second / kPhase);
      if (phase < columns.size()) {
        offered[phase] += static_cast<double>(count);
      }
    }
    for (const auto& item : run.mFinished) {
      const auto phase =
        static_cast<std::size_t>(item.mCall.mFirstSecond / kPhase);
      if (phase < columns.size()) {
        answered[phase] += item.mIsInTime ? 1 : 0;
      }
    }
    for (auto i = std::size_t{ 0 }; i < columns.size(); ++i) {
      columns[i].push_back(100 * answered[i] / offered[i]);
    }
  }
  std::printf("| %s", aName.c_str());
  PrintCells(columns, 0);
  std::fflush(stdout);
}

} // namespace

auto
RunFairness() -> void
{
  std::printf("\n10 accounts, 2 large ones send 7 of 10 requests, load 1.1; 95 "
              "in 100 waited at most so many seconds\n\n");
  std::printf("| order | large urgent | large normal | small urgent | small "
              "normal |\n| --- | --- | --- | --- | --- |\n");
  auto settings = QueueSettings{};
  settings.mLoad = [](Micros) { return 1.1; };
  settings.mRefusesLate = false;
  settings.mSheds = false;
  settings.mIsFair = false;
  PrintFairness("first come, first served", settings);
  settings.mIsFair = true;
  PrintFairness("fair shares and urgency", settings);
  settings.mRefusesLate = true;
  PrintFairness("the same, with admission", settings);
}

auto
RunBurst() -> void
{
  std::printf("\nLoad 0.9, from 60 to 120 s 2.0, then 0.9; callers try 5 "
              "times; answered in time, in 100 requests of the phase\n\n");
  std::printf("| way | before | burst | next 60 s | last 60 s |\n"
              "| --- | --- | --- | --- | --- |\n");
  auto settings = QueueSettings{};
  settings.mDuration = Seconds(320);
  settings.mLoad = [](Micros aTime) {
    const auto isBurst = aTime >= Seconds(60) && aTime < Seconds(120);
    return isBurst ? 2.0 : 0.9;
  };
  settings.mIsFair = false;
  settings.mRefusesLate = false;
  settings.mSheds = false;
  settings.mSpreadsHints = false;
  PrintBurst("first come, first served, no refusals", settings);
  settings.mRefusesLate = true;
  PrintBurst("the same, refusing what is late", settings);
  settings.mIsFair = true;
  PrintBurst("fair, refusing what is late", settings);
  settings.mSheds = true;
  PrintBurst("the same, shedding", settings);
  settings.mSpreadsHints = true;
  PrintBurst("the same, spread hints", settings);
}

} // namespace cuminslip::bench
