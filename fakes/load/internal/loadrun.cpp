#include "fakes/load/loadrun.h"

#include "base/digest.h"
#include "fakes/engine/answertext.h"
#include "fakes/load/internal/flight.h"
#include "fakes/load/loadplan.h"

#include <sys/resource.h>

#include <algorithm>

namespace cuminslip::fakes {

using namespace wire;

namespace {

constexpr auto kMicrosPerSecond = 1e6;
/// How long after its allowance a request is waited for.
constexpr auto kGrace = Millis(3000);
constexpr auto kRound = Millis(20);

struct LoadRun
{
  EventLoop* mLoop = nullptr;
  const LoadSettings* mSettings = nullptr;
  std::string mLabel;
  std::vector<SocketAddress> mTargets;
  std::vector<PlannedRequest> mPlan;
  HttpClientPtr mClient;
  TimePoint mStart;
  std::size_t mNextPlanned = 0;
  std::size_t mNextTarget = 0;
  std::size_t mOpen = 0;
  std::vector<RequestRecord> mRecords;
};

using FlightPtr = std::shared_ptr<Flight>;

auto
SendFlight(LoadRun& aRun, const FlightPtr& aFlight) -> void;

auto
EndFlight(LoadRun& aRun, const FlightPtr& aFlight, CallEnd aEnd) -> void
{
  const auto verdict =
    JudgeEnd(*aFlight, aEnd, aRun.mSettings->mMaxAttempts, MonotonicNow());
  if (verdict.mIsResent) {
    StartTimer(*aRun.mLoop, verdict.mResendAfter, [&aRun, aFlight] {
      SendFlight(aRun, aFlight);
    });
    return;
  }
  aRun.mRecords.push_back(std::move(aFlight->mRecord));
  aRun.mOpen -= 1;
}

auto
SendFlight(LoadRun& aRun, const FlightPtr& aFlight) -> void
{
  ResetFlight(*aFlight);
  const auto now = MonotonicNow();
  const auto end = aFlight->mPlannedAt + aFlight->mPlanned.mAllowance;
  const auto remaining = std::max(MillisBetween(now, end), Millis(1));
  auto call = HttpCall{};
  call.mAddress = aRun.mTargets[aRun.mNextTarget++ % aRun.mTargets.size()];
  call.mTimeout = remaining + kGrace;
  call.mRequest = MakeHttpRequest(*aRun.mSettings, *aFlight, remaining);
  auto handlers = CallHandlers{};
  handlers.mOnHead = [aFlight](int aStatus, const Headers&) {
    aFlight->mStatus = aStatus;
  };
  handlers.mOnPiece = [aFlight](std::string_view aPiece) {
    TakeBytes(*aFlight, aPiece, MonotonicNow());
  };
  handlers.mOnEnd = [&aRun, aFlight](CallEnd aEnd) {
    EndFlight(aRun, aFlight, aEnd);
  };
  StartCall(*aRun.mClient, call, std::move(handlers));
}

auto
KindName(const LoadSettings& aSettings, const PlannedRequest& aPlanned)
  -> const std::string&
{
  return aPlanned.mIsService ? aSettings.mServices[aPlanned.mKind].mKind
                             : aSettings.mKinds[aPlanned.mKind].mName;
}

auto
MakeFlight(const LoadRun& aRun, const PlannedRequest& aPlanned) -> FlightPtr
{
  const auto& settings = *aRun.mSettings;
  const auto& account = settings.mAccounts[aPlanned.mAccount];
  auto flight = std::make_shared<Flight>();
  flight->mPlanned = aPlanned;
  flight->mPlannedAt = aRun.mStart + aPlanned.mAt;
  auto& record = flight->mRecord;
  record.mLabel = aRun.mLabel;
  record.mSeed = settings.mSeed;
  record.mIndex = aPlanned.mIndex;
  record.mPhase = settings.mPhases[aPlanned.mPhase].mName;
  record.mAccount = account.mName;
  record.mKind = KindName(settings, aPlanned);
  record.mIsService = aPlanned.mIsService;
  record.mPromptTokens = aPlanned.mPromptTokens;
  record.mAnswerTokens = aPlanned.mAnswerTokens;
  record.mAtMs =
    std::chrono::duration<double, std::milli>(aPlanned.mAt).count();
  if (aPlanned.mIsService) {
    return flight;
  }
  flight->mPrompt = MakePrompt(aPlanned);
  flight->mCheck.mDigest = AnswerDigest(
    ExtendDigest(0, flight->mPrompt), account.mModel, account.mVersion);
  flight->mCheck.mExpected = aPlanned.mAnswerTokens;
  return flight;
}

/// Sends all that is due and sets a timer for the next one.
auto
SendDue(LoadRun& aRun) -> void
{
  while (aRun.mNextPlanned < aRun.mPlan.size()) {
    const auto& planned = aRun.mPlan[aRun.mNextPlanned];
    const auto wait = aRun.mStart + planned.mAt - MonotonicNow();
    if (wait > Micros(0)) {
      StartTimer(*aRun.mLoop, wait, [&aRun] { SendDue(aRun); });
      return;
    }
    aRun.mNextPlanned += 1;
    const auto flight = MakeFlight(aRun, planned);
    const auto lag = MonotonicNow() - flight->mPlannedAt;
    flight->mRecord.mLagMs =
      std::chrono::duration<double, std::milli>(lag).count();
    aRun.mOpen += 1;
    SendFlight(aRun, flight);
  }
}

auto
CpuSeconds() -> double
{
  auto usage = rusage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           (static_cast<double>(aTime.tv_usec) / kMicrosPerSecond);
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

} // namespace

auto
RunLoad(EventLoop& aLoop,
        const LoadSettings& aSettings,
        const std::string& aLabel) -> LoadOutcome
{
  auto run = LoadRun{};
  run.mLoop = &aLoop;
  run.mSettings = &aSettings;
  run.mLabel = aLabel;
  run.mPlan = MakePlan(aSettings);
  // NOTE: runs of one plan must not find each other's prompts in the caches.
  const auto salt = Checksum(aLabel, aSettings.mSeed);
  for (auto& planned : run.mPlan) {
    planned.mTextSeed ^= salt;
    planned.mPrefixSeed ^= salt;
  }
  if (aSettings.mIsDirect) {
    std::erase_if(run.mPlan, [](const auto& aIt) { return aIt.mIsService; });
  }
  for (const auto& target : aSettings.mTargets) {
    run.mTargets.push_back(ParseAddress(target).value());
  }
  run.mClient = CreateHttpClient(aLoop);
  const auto cpu = CpuSeconds();
  run.mStart = MonotonicNow();
  SendDue(run);
  while (run.mOpen > 0 || run.mNextPlanned < run.mPlan.size()) {
    RunLoopOnce(aLoop, kRound);
  }
  const auto wall = MonotonicNow() - run.mStart;
  std::sort(run.mRecords.begin(),
            run.mRecords.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mIndex < aRight.mIndex;
            });
  return { std::move(run.mRecords),
           std::chrono::duration<double>(wall).count(),
           CpuSeconds() - cpu };
}

} // namespace cuminslip::fakes
