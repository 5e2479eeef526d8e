#include "forwarding/internal/forwarderstate.h"
#include "forwarding/internal/harmfulrequests.h"
#include "forwarding/internal/relaying.h"
#include "forwarding/internal/statements.h"
#include "forwarding/internal/stopping.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>
#include <cmath>

namespace cuminslip::forwarding {

namespace {

/// Retry-after time when no endpoint is available: slightly longer than the
/// latency of an endpoint's heartbeat, plus a random spread so that callers
/// refused together do not return together.
constexpr auto kRetryAfter = Millis(400);
constexpr auto kRetrySpread = Millis(600);

/// With more entry instances in a group than this, load notices are so rare
/// that all instances would choose the same best engine at the same time.
constexpr auto kMaxEntriesForFullComparison = std::size_t{ 16 };
/// Number of engines compared for a short prompt in that case.
constexpr auto kSampledEngines = std::size_t{ 3 };
/// Fill level of packed engines in that case, lower to leave room for requests
/// that instances place without knowing of each other.
constexpr auto kReducedPackShare = 0.5;
/// Fill level where instances claim the last free slots of an engine first.
/// Prompts on fewer engines leave more of them to long prompts.
constexpr auto kClaimedPackShare = 0.75;

struct Candidate
{
  EndpointId mId;
  const directory::EndpointNotice* mNotice = nullptr;
  /// Allows a request now.
  SendCheck mCheck;
};

struct CandidateList
{
  std::vector<Candidate> mEndpoints;
  /// Number of endpoints left out because of what they stated.
  std::size_t mExhausted = 0;
  /// Shortest time until this instance may send to one of them, if it ever may.
  std::optional<Millis> mUntilSend;
};

/// The choice among the engines of one group.
struct GroupChoice
{
  LoadGroup mGroup;
  std::vector<Candidate> mCandidates;
  std::vector<EngineCandidate> mEngines;
  LaneChoice mChoice;
};

auto
AddSpread(Forwarder& aForwarder, Millis aTime) -> Millis
{
  auto spread =
    std::uniform_int_distribution<std::int64_t>(0, kRetrySpread.count());
  return aTime + Millis(spread(aForwarder.mRandom));
}

auto
IsEjected(const Forwarder& aForwarder, const EndpointId& aEndpoint) -> bool
{
  const auto it = aForwarder.mHealth.find(aEndpoint);
  return it != aForwarder.mHealth.end() &&
         aForwarder.mPorts.mNow() < it->second.mEjectedUntil;
}

auto
MayServe(const directory::EndpointNotice& aNotice, const Flight& aFlight)
  -> bool
{
  return aNotice.mState == directory::NoticeState::Ready &&
         aNotice.mService == aFlight.mService->mName &&
         !aFlight.mTried.contains(aNotice.mId);
}

/// Returns the ready endpoints of the flight's service that were not tried yet
/// and that accept a request, by what they stated. Ejected and silent ones are
/// returned only when there are no others.
auto
ListCandidates(Forwarder& aForwarder, const Flight& aFlight) -> CandidateList
{
  auto healthy = CandidateList{};
  auto suspect = std::vector<Candidate>{};
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& [id, entry] : aForwarder.mView.mEntries) {
    if (!MayServe(entry.mNotice, aFlight) ||
        IsInEvacuatedDomain(aForwarder, entry.mNotice)) {
      continue;
    }
    const auto check = CheckSend(aForwarder, entry.mNotice);
    if (!MaySendNow(check)) {
      ++healthy.mExhausted;
      const auto wait = check.mUntilSend;
      if (wait && *wait < healthy.mUntilSend.value_or(Millis::max())) {
        healthy.mUntilSend = wait;
      }
      continue;
    }
    const auto isSuspect = IsEjected(aForwarder, id) ||
                           directory::IsSilent(aForwarder.mView, entry, now);
    (isSuspect ? suspect : healthy.mEndpoints)
      .push_back({ id, &entry.mNotice, check });
  }
  if (healthy.mEndpoints.empty()) {
    healthy.mEndpoints = std::move(suspect);
  }
  return healthy;
}

/// Returns an endpoint to try, to learn if its limit has ended, or null.
auto
FindTrial(const std::vector<Candidate>& aCandidates) -> const Candidate*
{
  const auto it =
    std::find_if(aCandidates.begin(), aCandidates.end(), [](const auto& aItem) {
      return aItem.mCheck.mIsLimited && aItem.mCheck.mIsTrialDue;
    });
  return it == aCandidates.end() ? nullptr : &*it;
}

auto
RefuseWithoutEndpoint(Forwarder& aForwarder,
                      Flight& aFlight,
                      const CandidateList& aList) -> void
{
  if (aList.mExhausted > 0) {
    ++aForwarder.mCounters.mLimitRefusals;
    LogEvent(
      kLimitsExhaustedEvent,
      { { "request", aFlight.mRequest.mId.mValue },
        { "service", aFlight.mService->mName },
        { "endpoints", aList.mExhausted },
        { "until_send_ms", aList.mUntilSend ? aList.mUntilSend->count() : -1 },
        { "instances", aForwarder.mRoster.mInstances.size() } });
  }
  const auto retryAfter = aList.mUntilSend.value_or(kRetryAfter);
  FailFlight(aForwarder,
             aFlight,
             { FailureKind::NoCapacity, AddSpread(aForwarder, retryAfter) });
}

auto
ToMicros(double aMillis) -> Micros
{
  constexpr auto kMicrosPerMilli = 1e3;
  return Micros(static_cast<std::int64_t>(aMillis * kMicrosPerMilli));
}

auto
ListEngines(Forwarder& aForwarder, const std::vector<Candidate>& aCandidates)
  -> std::vector<EngineCandidate>
{
  const auto own = OwnWorkByEngine(aForwarder);
  auto engines = std::vector<EngineCandidate>{};
  for (const auto& it : aCandidates) {
    auto engine = EngineCandidate{};
    const auto work = own.find(it.mId);
    engine.mWork = AddWork(work == own.end() ? EngineWork{} : work->second,
                           RemoteWorkOn(aForwarder, it.mId));
    engine.mOrder = Checksum(it.mId.mValue);
    engine.mRandomKey = aForwarder.mRandom();
    engine.mMayHelp = MayHelp(aForwarder, it.mId);
    engine.mIsInOwnFailureDomain =
      it.mNotice->mFailureDomain == aForwarder.mSettings.mFailureDomain;
    engines.push_back(engine);
  }
  return engines;
}

/// Returns the endpoint with the fewest requests of this instance per slot,
/// preferring this instance's failure domain when the load is similar.
auto
ChoosePlain(Forwarder& aForwarder, const std::vector<Candidate>& aCandidates)
  -> const Candidate&
{
  const auto cost = [&](const Candidate& aItem) {
    auto own = 0;
    for (const auto& [id, flight] : aForwarder.mFlights) {
      own += flight->mAttempt.mEndpoint == aItem.mId ? 1 : 0;
    }
    const auto isFar =
      aItem.mNotice->mFailureDomain != aForwarder.mSettings.mFailureDomain;
    constexpr auto kRemoteDomainCost = 0.1;
    return static_cast<double>(own) /
             static_cast<double>(
               std::max<std::int64_t>(aItem.mNotice->mSlots, 1)) +
           (isFar ? kRemoteDomainCost : 0.0);
  };
  return *std::min_element(aCandidates.begin(),
                           aCandidates.end(),
                           [&](const auto& aLeft, const auto& aRight) {
                             return cost(aLeft) < cost(aRight);
                           });
}

/// Creates the attempt at the chosen engine with the work of each helper.
auto
MakeAttempt(const Forwarder& aForwarder, const GroupChoice& aChosen) -> Attempt
{
  const auto now = aForwarder.mPorts.mNow();
  const auto& choice = aChosen.mChoice;
  const auto& first = aChosen.mCandidates[*choice.mEngine];
  auto attempt = Attempt{};
  attempt.mEndpoint = first.mId;
  attempt.mAddress = first.mNotice->mAddress;
  attempt.mWork.push_back({ first.mId,
                            attempt.mAddress,
                            aChosen.mGroup,
                            false,
                            now + ToMicros(choice.mFirstEventMillis),
                            {},
                            0,
                            false });
  for (const auto& helper : choice.mHelpers) {
    const auto& it = aChosen.mCandidates[helper.mEngine];
    attempt.mWork.push_back({ it.mId,
                              it.mNotice->mAddress,
                              aChosen.mGroup,
                              true,
                              now + ToMicros(helper.mReadMillis),
                              {},
                              helper.mHoldTokens,
                              false });
  }
  return attempt;
}

/// Returns the request limit of an endpoint and the age of that knowledge, for
/// logs; -1 for none.
auto
StatedRate(const Forwarder& aForwarder, const EndpointId& aEndpoint)
  -> std::pair<double, std::int64_t>
{
  const auto it = aForwarder.mStated.find(Checksum(aEndpoint.mValue));
  if (it == aForwarder.mStated.end() || !it->second.mLimit.mRate) {
    return { -1, -1 };
  }
  const auto age =
    MillisBetween(it->second.mLearnedAt, aForwarder.mPorts.mNow());
  return { *it->second.mLimit.mRate, age.count() };
}

auto
LogPlacement(const Forwarder& aForwarder,
             const Flight& aFlight,
             const Attempt& aAttempt,
             const GroupChoice& aChosen) -> void
{
  const auto& choice = aChosen.mChoice;
  const auto& work = aChosen.mEngines[*choice.mEngine].mWork;
  const auto [rate, rateAge] = StatedRate(aForwarder, aAttempt.mEndpoint);
  auto helperNames = std::string{};
  for (const auto& assigned : aAttempt.mWork) {
    if (assigned.mIsHelper) {
      helperNames += (helperNames.empty() ? "" : " ") + assigned.mEngine.mValue;
    }
  }
  LogEvent(
    kForwardPlacedEvent,
    { { "request", aFlight.mRequest.mId.mValue },
      { "route", aFlight.mRoute->mName },
      { "account", aFlight.mAccount.mValue },
      { "endpoint", aAttempt.mEndpoint.mValue },
      { "reason", ToText(choice.mReason) },
      { "prompt_tokens",
        aFlight.mRequest.mPrompt.value_or(PromptFacts{}).mPromptTokens },
      { "output_tokens",
        aFlight.mRequest.mPrompt.value_or(PromptFacts{}).mMaxOutputTokens },
      { "helpers", choice.mHelpers.size() },
      { "helper_ids", helperNames },
      { "first_event_ms", std::lround(choice.mFirstEventMillis) },
      { "engine_streams", work.mStreams },
      { "engine_read_ms", std::lround(work.mReadMillis) },
      { "limit_per_s", rate },
      { "limit_age_ms", rateAge },
      { "candidates", aChosen.mCandidates.size() },
      { "group", aChosen.mGroup.mFailureDomain.mValue },
      { "group_part", aChosen.mGroup.mPart },
      { "version", aFlight.mTable->mDocument.mVersion },
      { "send", aFlight.mSends + 1 } });
}

/// Returns true if a forecast decides how long the flight waits for engines. A
/// refusal must be true, so that a flight that may have run waits as without
/// it.
auto
UsesForecast(const Forwarder& aForwarder, const Flight& aFlight) -> bool
{
  return aForwarder.mSettings.mOrder && !aFlight.mHasStarted &&
         !aFlight.mMayHaveRun &&
         IsLongPrompt(*aFlight.mService->mEngine,
                      ToPromptWork(aForwarder, aFlight));
}

auto
ChooseInGroup(Forwarder& aForwarder,
              const Flight& aFlight,
              const LoadGroup& aGroup,
              std::vector<Candidate> aCandidates) -> GroupChoice
{
  auto rules = aForwarder.mSettings.mLanes;
  if (GroupSize(aForwarder, aGroup) > kMaxEntriesForFullComparison) {
    rules.mSample = kSampledEngines;
    rules.mPackShare =
      aForwarder.mSettings.mDeferral ? kClaimedPackShare : kReducedPackShare;
  }
  if (UsesForecast(aForwarder, aFlight)) {
    rules.mWaitShare = 1;
  }
  // NOTE: a limit counts requests, not the parts that an engine prefills for
  // others, so a long prompt on a limited engine gets no other engines.
  const auto isLimited =
    std::any_of(aCandidates.begin(), aCandidates.end(), [](const auto& aItem) {
      return aItem.mCheck.mIsLimited;
    });
  if (isLimited) {
    rules.mMaxReaders = 1;
  }
  auto engines = ListEngines(aForwarder, aCandidates);
  auto choice = ChooseEngines(*aFlight.mService->mEngine,
                              ToPromptWork(aForwarder, aFlight),
                              engines,
                              rules);
  return {
    aGroup, std::move(aCandidates), std::move(engines), std::move(choice)
  };
}

/// Returns true if the first event is predicted to meet its target.
auto
IsInTime(const PromptWork& aPrompt, const LaneChoice& aChoice) -> bool
{
  const auto left = aPrompt.mAnswerTarget - aPrompt.mWaited;
  return aChoice.mFirstEventMillis <= static_cast<double>(left.count());
}

/// Chooses engines of the own group, or of the best other group if the own one
/// would be late.
auto
ChooseAmongGroups(Forwarder& aForwarder,
                  const Flight& aFlight,
                  const std::vector<Candidate>& aCandidates) -> GroupChoice
{
  auto groups = std::map<LoadGroup, std::vector<Candidate>>{};
  for (const auto& it : aCandidates) {
    groups[GroupOfEngine(aForwarder, *it.mNotice)].push_back(it);
  }
  const auto& own = aForwarder.mOwnGroup;
  auto best = ChooseInGroup(aForwarder, aFlight, own, std::move(groups[own]));
  groups.erase(own);
  const auto& rules = aForwarder.mSettings.mBorrowing;
  const auto prompt = ToPromptWork(aForwarder, aFlight);
  if (!ShouldBorrow(prompt, best.mChoice, rules)) {
    return best;
  }
  for (auto& [group, candidates] : groups) {
    auto other =
      ChooseInGroup(aForwarder, aFlight, group, std::move(candidates));
    if (IsBetterBorrowed(best.mChoice, other.mChoice, rules)) {
      best = std::move(other);
    }
  }
  return best;
}

/// Chooses engines. Limited ones serve no long prompts while there are others;
/// one that is due for a trial comes first for a short prompt if it is in time.
auto
ChooseWithinLimits(Forwarder& aForwarder,
                   const Flight& aFlight,
                   const std::vector<Candidate>& aCandidates) -> GroupChoice
{
  const auto prompt = ToPromptWork(aForwarder, aFlight);
  if (IsLongPrompt(*aFlight.mService->mEngine, prompt)) {
    auto others = std::vector<Candidate>{};
    std::copy_if(aCandidates.begin(),
                 aCandidates.end(),
                 std::back_inserter(others),
                 [](const auto& aItem) { return !aItem.mCheck.mIsLimited; });
    return ChooseAmongGroups(
      aForwarder, aFlight, others.empty() ? aCandidates : others);
  }
  if (const auto* trial = FindTrial(aCandidates)) {
    auto chosen = ChooseAmongGroups(aForwarder, aFlight, { *trial });
    if (chosen.mChoice.mEngine && IsInTime(prompt, chosen.mChoice)) {
      return chosen;
    }
  }
  return ChooseAmongGroups(aForwarder, aFlight, aCandidates);
}

auto
ToLatePrompt(const Flight& aFlight,
             const PromptWork& aPrompt,
             double aFirstEventMillis,
             bool aHasFreeSlot) -> LatePrompt
{
  return { aPrompt.mAnswerTarget,
           aFlight.mRoute->mPauseTarget,
           aFlight.mRoute->mTimeout,
           aPrompt.mWaited,
           aPrompt.mAllowance,
           aFirstEventMillis,
           aHasFreeSlot };
}

/// Returns true if the choice is for a short prompt that would be late or find
/// no free slot.
auto
MayDefer(const Forwarder& aForwarder,
         const Flight& aFlight,
         const GroupChoice& aChosen) -> bool
{
  const auto& choice = aChosen.mChoice;
  const auto isShort = choice.mReason == LaneReason::Packed ||
                       choice.mReason == LaneReason::Spilled;
  if (!aForwarder.mSettings.mDeferral || !isShort || aFlight.mHasStarted) {
    return false;
  }
  const auto isFull = aChosen.mEngines[*choice.mEngine].mWork.mStreams >=
                      aFlight.mService->mEngine->mSlots;
  return isFull || !IsInTime(ToPromptWork(aForwarder, aFlight), choice);
}

/// Sends, defers or refuses a short prompt that is late on every engine.
/// Returns true if it was deferred or refused; aChosen is the choice to send
/// it.
auto
DeferFlight(Forwarder& aForwarder, Flight& aFlight, GroupChoice& aChosen)
  -> bool
{
  const auto& rules = *aForwarder.mSettings.mDeferral;
  const auto& timing = *aFlight.mService->mEngine;
  const auto prompt = ToPromptWork(aForwarder, aFlight);
  auto free = ChooseFreeEngine(
    timing, prompt, aChosen.mEngines, 0, aForwarder.mSettings.mLanes);
  if (!free.mEngine || !IsInTime(prompt, free)) {
    free = ChooseFreeEngine(timing,
                            prompt,
                            aChosen.mEngines,
                            ReservedSlots(timing.mSlots, rules),
                            aForwarder.mSettings.mLanes);
  }
  const auto hasFreeSlot = free.mEngine.has_value();
  if (hasFreeSlot) {
    aChosen.mChoice = std::move(free);
  }
  const auto late = ToLatePrompt(
    aFlight, prompt, aChosen.mChoice.mFirstEventMillis, hasFreeSlot);
  const auto verdict = DecideDeferral(late, rules);
  if (verdict == DeferralVerdict::Send) {
    return false;
  }
  if (verdict == DeferralVerdict::Defer) {
    aForwarder.mCounters.mDeferred += aFlight.mIsDeferred ? 0 : 1;
    aFlight.mIsDeferred = true;
    WaitForEngine(aForwarder, aFlight, aChosen.mCandidates.size());
    return true;
  }
  ++aForwarder.mCounters.mDeferredRefused;
  auto draw = std::uniform_real_distribution<double>(0, 1);
  FailFlight(aForwarder,
             aFlight,
             { FailureKind::NoCapacity,
               ReturnTime(late, draw(aForwarder.mRandom), rules) });
  return true;
}

/// Returns true if the chosen engine has free slots, but so few that other
/// instances may be about to take them.
auto
IsSlotScarce(const Forwarder& aForwarder,
             const Flight& aFlight,
             const GroupChoice& aChosen) -> bool
{
  const auto& rules = aForwarder.mSettings.mDeferral;
  const auto streams =
    aChosen.mEngines[*aChosen.mChoice.mEngine].mWork.mStreams;
  const auto slots = aFlight.mService->mEngine->mSlots;
  return rules && streams < slots && IsNearlyFull(streams, slots, *rules) &&
         GroupSize(aForwarder, aChosen.mGroup) > 1;
}

/// Lets a long prompt that finds no engines now wait for them, or refuses it.
auto
WaitByForecast(Forwarder& aForwarder,
               Flight& aFlight,
               const std::vector<Candidate>& aCandidates,
               const GroupChoice& aChosen) -> void
{
  // NOTE: the own group may have no engines for the prompt.
  const auto all = aChosen.mEngines.empty()
                     ? ListEngines(aForwarder, aCandidates)
                     : std::vector<EngineCandidate>{};
  const auto forecast =
    ForecastRoom(aForwarder, aFlight, all.empty() ? aChosen.mEngines : all);
  auto draw = std::uniform_real_distribution<double>(0, 1);
  const auto decision = DecideWait(ToWaitingPrompt(aForwarder, aFlight),
                                   forecast,
                                   *aForwarder.mSettings.mOrder,
                                   draw(aForwarder.mRandom));
  if (decision.mVerdict == WaitVerdict::Wait ||
      MayWaitForEndpoints(aForwarder, aFlight)) {
    WaitForEngine(aForwarder, aFlight, aCandidates.size());
    return;
  }
  aFlight.mForecast = forecast;
  aFlight.mStartByMillis = decision.mStartByMillis;
  ++(aFlight.mHasWaited ? aForwarder.mCounters.mRefusedWaiting
                        : aForwarder.mCounters.mRefusedAtOnce);
  FailFlight(
    aForwarder, aFlight, { FailureKind::NoCapacity, decision.mRetryAfter });
}

auto
PlaceOnEngines(Forwarder& aForwarder,
               Flight& aFlight,
               const std::vector<Candidate>& aCandidates) -> void
{
  const auto prompt = ToPromptWork(aForwarder, aFlight);
  auto chosen = ChooseWithinLimits(aForwarder, aFlight, aCandidates);
  const auto& choice = chosen.mChoice;
  if (!choice.mEngine && UsesForecast(aForwarder, aFlight)) {
    WaitByForecast(aForwarder, aFlight, aCandidates, chosen);
    return;
  }
  if (choice.mReason == LaneReason::Wait) {
    WaitForEngine(aForwarder, aFlight, aCandidates.size());
    return;
  }
  if (!IsInTime(prompt, choice) && MayWaitForEndpoints(aForwarder, aFlight)) {
    aFlight.mIsWaiting = true;
    return;
  }
  if (!choice.mEngine) {
    FailFlight(aForwarder,
               aFlight,
               { FailureKind::NoCapacity, AddSpread(aForwarder, kRetryAfter) });
    return;
  }
  if (MayDefer(aForwarder, aFlight, chosen) &&
      DeferFlight(aForwarder, aFlight, chosen)) {
    return;
  }
  const auto answerMillis =
    ForecastAnswerMillis(aForwarder,
                         aFlight,
                         chosen.mEngines[*choice.mEngine].mWork,
                         choice.mFirstEventMillis);
  if (const auto failure = CheckStop(aForwarder, aFlight, answerMillis)) {
    FailFlight(aForwarder, aFlight, *failure);
    return;
  }
  auto attempt = MakeAttempt(aForwarder, chosen);
  LogPlacement(aForwarder, aFlight, attempt, chosen);
  const auto isLong = choice.mReason == LaneReason::Together ||
                      choice.mReason == LaneReason::Alone;
  if (isLong) {
    BeginClaim(aForwarder, aFlight, std::move(attempt));
    return;
  }
  if (IsSlotScarce(aForwarder, aFlight, chosen)) {
    BeginSlotClaim(aForwarder, aFlight, std::move(attempt));
    return;
  }
  SendFlight(aForwarder, aFlight, std::move(attempt));
}

} // namespace

auto
MayHelp(const Forwarder& aForwarder, const EndpointId& aEndpoint) -> bool
{
  const auto it = aForwarder.mView.mEntries.find(aEndpoint);
  return it != aForwarder.mView.mEntries.end() &&
         directory::HoldsAddress(
           aForwarder.mView, it->second, aForwarder.mPorts.mNow());
}

auto
PlaceFlight(Forwarder& aForwarder, Flight& aFlight) -> void
{
  if (const auto failure = CheckSuspects(aForwarder, aFlight)) {
    FailFlight(aForwarder, aFlight, *failure);
    return;
  }
  if (const auto failure = CheckStop(
        aForwarder, aFlight, LeastAnswerMillis(aForwarder, aFlight))) {
    FailFlight(aForwarder, aFlight, *failure);
    return;
  }
  if (RelayFlight(aForwarder, aFlight)) {
    return;
  }
  const auto list = ListCandidates(aForwarder, aFlight);
  const auto& candidates = list.mEndpoints;
  if (candidates.empty() && MayWaitForEndpoints(aForwarder, aFlight)) {
    aFlight.mIsWaiting = true;
    return;
  }
  if (candidates.empty()) {
    RefuseWithoutEndpoint(aForwarder, aFlight, list);
    return;
  }
  if (aFlight.mService->mEngine) {
    PlaceOnEngines(aForwarder, aFlight, candidates);
    return;
  }
  const auto* trial = FindTrial(candidates);
  const auto& chosen = trial ? *trial : ChoosePlain(aForwarder, candidates);
  const auto [rate, rateAge] = StatedRate(aForwarder, chosen.mId);
  auto attempt = Attempt{};
  attempt.mEndpoint = chosen.mId;
  attempt.mAddress = chosen.mNotice->mAddress;
  LogEvent(kForwardPlacedEvent,
           { { "request", aFlight.mRequest.mId.mValue },
             { "route", aFlight.mRoute->mName },
             { "account", aFlight.mAccount.mValue },
             { "endpoint", chosen.mId.mValue },
             { "reason", "least_loaded" },
             { "candidates", candidates.size() },
             { "limit_per_s", rate },
             { "limit_age_ms", rateAge },
             { "version", aFlight.mTable->mDocument.mVersion },
             { "send", aFlight.mSends + 1 } });
  SendFlight(aForwarder, aFlight, std::move(attempt));
}

auto
PlaceAgain(Forwarder& aForwarder, Flight& aFlight) -> void
{
  aFlight.mAttempt = {};
  aForwarder.mIsNoticeDue = true;
  PlaceFlight(aForwarder, aFlight);
  // NOTE: a flight that now waits or has ended no longer claims its engines,
  // and other instances must know.
  SendLoadNotice(aForwarder, true);
}

} // namespace cuminslip::forwarding
