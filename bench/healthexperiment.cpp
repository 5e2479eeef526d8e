#include "bench/healthexperiment.h"

#include "bench/fleetreport.h"
#include "bench/guards.h"

#include <cstdio>
#include <map>
#include <queue>

namespace cuminslip::bench {

namespace {

constexpr std::uint64_t kSeeds = 5;
constexpr std::size_t kEndpoints = 12;
constexpr Micros kCallTime{ 200000 };
constexpr TimePoint kBegin{ Seconds(1000) };
constexpr Micros kFaultAt{ Seconds(60) };
constexpr Micros kRepairAt{ Seconds(360) };
constexpr Micros kEnd{ Seconds(720) };

/// How the first mFaulty endpoints behave between fault and repair.
struct Fault
{
  std::string mName;
  std::size_t mInstances = 8;
  double mRequestsPerSecond = 40;
  std::size_t mFaulty = 1;
  double mFailShare = 1.0;
  Micros mFailTime{ 10000 };
};

struct PendingCall
{
  TimePoint mEnds;
  std::size_t mInstance = 0;
  std::size_t mEndpoint = 0;
  bool mHasFailed = false;
  bool mIsTrial = false;
  Micros mDuration{ 0 };

  auto operator>(const PendingCall& aOther) const -> bool
  {
    return mEnds > aOther.mEnds;
  }
};

struct HealthFigures
{
  double mFailedShare = 0;
  double mLostSeconds = 0;
  double mMostCallsInASecond = 0;
  double mRefused = 0;
  double mHalfUseAfter = 0;
};

using PendingCalls =
  std::priority_queue<PendingCall, std::vector<PendingCall>, std::greater<>>;

class HealthRun
{
public:
  HealthRun(const Fault& aFault,
            const GuardSettings& aSettings,
            std::uint64_t aSeed)
    : mFault(aFault)
    , mRandom(aSeed)
  {
    for (auto i = std::size_t{ 0 }; i < aFault.mInstances; ++i) {
      mGuards.push_back(CreateGuard(aSettings, kEndpoints, aSeed * 1000 + i));
    }
  }

  auto Run() -> HealthFigures
  {
    auto gap = std::exponential_distribution<double>(mFault.mRequestsPerSecond);
    while (mNow < kBegin + kEnd) {
      mNow += Micros(static_cast<std::int64_t>(gap(mRandom) * 1e6));
      EndCalls();
      Arrive();
    }
    return Figures();
  }

private:
  auto IsFaulty() const -> bool
  {
    return mNow >= kBegin + kFaultAt && mNow < kBegin + kRepairAt;
  }

  auto EndCalls() -> void
  {
    while (!mPending.empty() && mPending.top().mEnds <= mNow) {
      const auto call = mPending.top();
      mPending.pop();
      EndGuardedCall(mGuards[call.mInstance],
                     call.mEndpoint,
                     call.mHasFailed,
                     call.mIsTrial,
                     call.mDuration,
                     call.mEnds);
    }
  }

  auto Pick(Guard& aGuard) -> std::size_t
  {
    auto open = std::vector<std::size_t>{};
    for (auto i = std::size_t{ 0 }; i < kEndpoints; ++i) {
      if (MayCallEndpoint(aGuard, i, mNow)) {
        open.push_back(i);
      }
    }
    if (open.empty()) {
      return kEndpoints;
    }
    auto draw = std::uniform_int_distribution<std::size_t>(0, open.size() - 1);
    return open[draw(mRandom)];
  }

  auto Arrive() -> void
  {
    auto draw =
      std::uniform_int_distribution<std::size_t>(0, mGuards.size() - 1);
    const auto instance = draw(mRandom);
    const auto endpoint = Pick(mGuards[instance]);
    mFaultCalls += IsFaulty() ? 1 : 0;
    if (endpoint == kEndpoints) {
      ++mRefused;
      return;
    }
    auto unit = std::uniform_real_distribution<double>(0, 1);
    const auto isSick = endpoint < mFault.mFaulty && IsFaulty();
    const auto hasFailed = isSick && unit(mRandom) < mFault.mFailShare;
    const auto duration = hasFailed ? mFault.mFailTime : kCallTime;
    if (hasFailed) {
      ++mFailed;
      mLost += duration;
    }
    Count(endpoint, isSick);
    const auto isTrial = BeginGuardedCall(mGuards[instance], endpoint);
    mPending.push(
      { mNow + duration, instance, endpoint, hasFailed, isTrial, duration });
  }

  /// Calls to the first endpoint by second: while it is sick after a minute,
  /// and after its repair.
  auto Count(std::size_t aEndpoint, bool aIsSick) -> void
  {
    if (aEndpoint >= mFault.mFaulty) {
      return;
    }
    const auto since = mNow - kBegin;
    const auto second = std::chrono::duration_cast<Seconds>(since).count();
    if (aIsSick && since > kFaultAt + Seconds(60)) {
      ++mSickCalls[second];
    }
    if (since >= kRepairAt) {
      ++mRepairedCalls[second];
    }
  }

  auto Figures() const -> HealthFigures
  {
    auto figures = HealthFigures{};
    figures.mFailedShare =
      static_cast<double>(mFailed) / static_cast<double>(mFaultCalls);
    figures.mLostSeconds = std::chrono::duration<double>(mLost).count();
    figures.mRefused = static_cast<double>(mRefused);
    for (const auto& [second, calls] : mSickCalls) {
      figures.mMostCallsInASecond =
        std::max(figures.mMostCallsInASecond, static_cast<double>(calls));
    }
    figures.mHalfUseAfter = HalfUseAfter();
    return figures;
  }

  /// Seconds from the repair until a window of 20 s has half of the usual
  /// calls.
  auto HalfUseAfter() const -> double
  {
    constexpr auto kWindow = 20;
    const auto usual = mFault.mRequestsPerSecond *
                       static_cast<double>(mFault.mFaulty) / kEndpoints;
    const auto repaired =
      std::chrono::duration_cast<Seconds>(kRepairAt).count();
    const auto last = std::chrono::duration_cast<Seconds>(kEnd).count();
    for (auto second = repaired; second + kWindow < last; ++second) {
      auto calls = 0.0;
      for (auto i = 0; i < kWindow; ++i) {
        const auto it = mRepairedCalls.find(second + i);
        calls += it == mRepairedCalls.end() ? 0 : it->second;
      }
      if (calls >= usual * kWindow / 2) {
        return static_cast<double>(second - repaired);
      }
    }
    return static_cast<double>(last - repaired);
  }

  Fault mFault;
  std::mt19937_64 mRandom;
  std::vector<Guard> mGuards;
  PendingCalls mPending;
  TimePoint mNow = kBegin;
  std::int64_t mFailed = 0;
  std::int64_t mFaultCalls = 0;
  std::int64_t mRefused = 0;
  Micros mLost{ 0 };
  std::map<std::int64_t, int> mSickCalls;
  std::map<std::int64_t, int> mRepairedCalls;
};

auto
PrintGuard(const std::string& aName,
           const Fault& aFault,
           const GuardSettings& aSettings) -> void
{
  auto failed = std::vector<double>{};
  auto lost = std::vector<double>{};
  auto most = std::vector<double>{};
  auto refused = std::vector<double>{};
  auto half = std::vector<double>{};
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    const auto figures = HealthRun(aFault, aSettings, seed).Run();
    failed.push_back(100 * figures.mFailedShare);
    lost.push_back(figures.mLostSeconds);
    most.push_back(figures.mMostCallsInASecond);
    refused.push_back(figures.mRefused);
    half.push_back(figures.mHalfUseAfter);
  }
  const auto print = [](const std::vector<double>& aValues, int aDigits) {
    std::printf(" | %.*f (%.*f-%.*f)",
                aDigits,
                Quantile(aValues, 0.5),
                aDigits,
                Quantile(aValues, 0),
                aDigits,
                Quantile(aValues, 1));
  };
  std::printf("| %s", aName.c_str());
  print(failed, 2);
  print(lost, 0);
  print(most, 0);
  print(half, 0);
  print(refused, 0);
  std::printf(" |\n");
}

auto
PrintFault(const Fault& aFault) -> void
{
  std::printf("\n%s\n\n", aFault.mName.c_str());
  std::printf("| rule | failed %% | seconds lost in failed calls | most calls "
              "in a second to sick ones | s until half used after repair | "
              "refused |\n| --- | --- | --- | --- | --- | --- |\n");
  auto settings = GuardSettings{};
  PrintGuard("none", aFault, settings);
  settings.mKind = GuardKind::CircuitBreaker;
  PrintGuard("breaker, 80% of 100 samples, 120 s", aFault, settings);
  settings.mBreakerLeastSamples = 10;
  settings.mBreakerInterval = Seconds(10);
  PrintGuard("breaker, 80% of 10 samples, 10 s", aFault, settings);
  settings.mBreakerShare = 0.3;
  PrintGuard("breaker, 30% of 10 samples, 10 s", aFault, settings);
  settings.mKind = GuardKind::ConcurrencyLimit;
  PrintGuard("concurrency limit", aFault, settings);
  settings.mKind = GuardKind::OutlierEjection;
  PrintGuard("outlier ejection", aFault, settings);
  settings.mHealth.mFailuresInRow = 3;
  settings.mHealth.mFailureShare = 0.5;
  PrintGuard("outlier ejection, 3 in a row or half", aFault, settings);
}

} // namespace

auto
RunHealth() -> void
{
  PrintFault({ "1 of 12 endpoints refuses connections" });
  PrintFault({ "1 of 12 accepts and is silent: 2 s lost a call",
               8,
               40,
               1,
               1.0,
               Seconds(2) });
  PrintFault({ "1 of 12 fails half of its calls late, after 2 s",
               8,
               40,
               1,
               0.5,
               Seconds(2) });
  PrintFault({ "1 of 12 silent, 8 instances with 30 requests a minute in all",
               8,
               0.5,
               1,
               1.0,
               Seconds(2) });
  PrintFault({ "4 of 12 silent: a failure domain", 8, 40, 4, 1.0, Seconds(2) });
  PrintFault({ "all fail one call in 20", 8, 200, 12, 0.05, Micros(10000) });
  PrintFault({ "all fail half of their calls", 8, 40, 12, 0.5, Micros(10000) });
  PrintFault({ "1 of 12 silent, 350 instances", 350, 400, 1, 1.0, Seconds(2) });
}

} // namespace cuminslip::bench
