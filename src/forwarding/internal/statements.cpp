#include "forwarding/internal/statements.h"

#include "base/digest.h"
#include "forwarding/internal/warmup.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>
#include <cstdio>

namespace cuminslip::forwarding {

namespace {

/// Keeps a notice within one packet.
constexpr auto kMaxReported = std::size_t{ 32 };
/// A limit that has ended is reported for this long. An instance that missed it
/// learns of it from a holder's next notice.
constexpr auto kEndedReportTime = Millis(30000);
constexpr auto kReportInterval = Millis(1000);
constexpr auto kNoRate = -1.0;

auto
NameOf(const Forwarder& aForwarder, std::uint64_t aKey) -> std::string
{
  const auto it = aForwarder.mEndpointsByKey.find(aKey);
  return it == aForwarder.mEndpointsByKey.end() ? std::string{}
                                                : it->second.mValue;
}

/// Replaces the known limit of an endpoint. aSource is the instance that
/// reported it, or "answer".
auto
SetLimit(Forwarder& aForwarder,
         std::uint64_t aKey,
         const RequestLimit& aLimit,
         std::string_view aSource) -> void
{
  auto& state = aForwarder.mStated[aKey];
  const auto now = aForwarder.mPorts.mNow();
  LogEvent(kRequestLimitEvent,
           { { "endpoint", NameOf(aForwarder, aKey) },
             { "limit_per_s", aLimit.mRate.value_or(kNoRate) },
             { "former_per_s", state.mLimit.mRate.value_or(kNoRate) },
             { "limit_version", aLimit.mVersion },
             { "incarnation", state.mIncarnation },
             { "source", aSource } });
  if (!state.mLimit.mRate) {
    state.mAllowance = { 0, now };
    state.mAnsweredAt = now;
  }
  state.mLimit = aLimit;
  state.mLearnedAt = now;
  state.mShareVersion = 0;
  aForwarder.mIsNoticeDue = true;
}

/// Ends the use of an endpoint that leaves, for its present incarnation.
/// Returns true if that is news.
auto
SetLeaving(Forwarder& aForwarder, std::uint64_t aKey, std::string_view aSource)
  -> bool
{
  auto& state = aForwarder.mStated[aKey];
  if (std::exchange(state.mIsLeaving, true)) {
    return false;
  }
  LogEvent(kEndpointLeavingEvent,
           { { "endpoint", NameOf(aForwarder, aKey) },
             { "incarnation", state.mIncarnation },
             { "source", aSource } });
  aForwarder.mIsNoticeDue = true;
  return true;
}

auto
SetPause(Forwarder& aForwarder, std::uint64_t aKey, Millis aPause) -> void
{
  ++aForwarder.mCounters.mPausesAsked;
  auto& state = aForwarder.mStated[aKey];
  const auto until = aForwarder.mPorts.mNow() + aPause;
  if (until <= state.mPausedUntil) {
    return;
  }
  state.mPausedUntil = until;
  LogEvent(kEndpointPausedEvent,
           { { "endpoint", NameOf(aForwarder, aKey) },
             { "pause_ms", aPause.count() } });
}

/// Applies the limit that an answer states, or its absence. Returns true if
/// the known limit changed.
auto
NoteLimit(Forwarder& aForwarder,
          std::uint64_t aKey,
          const StatementSource& aSource,
          const std::optional<double>& aStated) -> bool
{
  auto& state = aForwarder.mStated[aKey];
  if (!aStated && (!aSource.mIsServed || !state.mLimit.mRate)) {
    return false;
  }
  aForwarder.mCounters.mLimitedAnswers += aStated ? 1 : 0;
  const auto isNewer = aSource.mSentAt > state.mLearnedAt;
  const auto limit = ApplyAnswer(state.mLimit, aStated, isNewer);
  const auto hasChanged = limit != state.mLimit;
  if (hasChanged) {
    SetLimit(aForwarder, aKey, limit, "answer");
  }
  const auto now = aForwarder.mPorts.mNow();
  state.mAnsweredAt = now;
  if (aStated) {
    state.mLearnedAt = now;
  }
  return hasChanged;
}

/// Returns the state of an endpoint, a new one if aIncarnation is newer than
/// the known one, or null if it is older.
auto
OpenState(Forwarder& aForwarder, std::uint64_t aKey, Incarnation aIncarnation)
  -> StatedEndpoint*
{
  auto& state = aForwarder.mStated[aKey];
  if (aIncarnation < state.mIncarnation) {
    return nullptr;
  }
  if (aIncarnation > state.mIncarnation) {
    state = {};
    state.mIncarnation = aIncarnation;
  }
  return &state;
}

/// Applies what an answer states about the present incarnation of its endpoint,
/// apart from its warm-up. Returns true if that is news.
auto
ApplyStatement(Forwarder& aForwarder,
               const StatementSource& aSource,
               const EndpointStatement& aStatement) -> bool
{
  const auto key = Checksum(aSource.mEndpoint.mValue);
  auto hasNews = false;
  if (aStatement.mIsLeaving) {
    hasNews |= SetLeaving(aForwarder, key, "answer");
  }
  if (aStatement.mPause) {
    SetPause(aForwarder, key, *aStatement.mPause);
  }
  if (aStatement.mRequestRate || !aStatement.mIsMalformed) {
    hasNews |= NoteLimit(aForwarder, key, aSource, aStatement.mRequestRate);
  }
  return hasNews;
}

/// Returns what the present incarnation of an endpoint has stated, or null.
auto
FindStated(Forwarder& aForwarder, const directory::EndpointNotice& aEndpoint)
  -> StatedEndpoint*
{
  if (aForwarder.mStated.empty()) {
    return nullptr;
  }
  const auto it = aForwarder.mStated.find(Checksum(aEndpoint.mId.mValue));
  const auto isPresent = it != aForwarder.mStated.end() &&
                         it->second.mIncarnation >= aEndpoint.mIncarnation;
  return isPresent ? &it->second : nullptr;
}

auto
ShareOf(Forwarder& aForwarder,
        StatedEndpoint& aState,
        const directory::EndpointNotice& aEndpoint) -> double
{
  const auto& roster = aForwarder.mRoster;
  if (!IsSettled(roster, aForwarder.mPorts.mNow())) {
    return 0;
  }
  if (aState.mShareVersion != roster.mVersion) {
    aState.mShareVersion = roster.mVersion;
    aState.mShare = ShareOfLimit({ Checksum(aEndpoint.mId.mValue),
                                   aEndpoint.mFailureDomain,
                                   *aState.mLimit.mRate },
                                 aForwarder.mSettings.mPeerAddress,
                                 roster.mInstances,
                                 aForwarder.mSettings.mLimits);
  }
  return aState.mShare;
}

/// Checks what the endpoint stated, apart from its warm-up.
auto
CheckStated(Forwarder& aForwarder, const directory::EndpointNotice& aEndpoint)
  -> SendCheck
{
  auto* state = FindStated(aForwarder, aEndpoint);
  if (state == nullptr) {
    return {};
  }
  if (state->mIsLeaving) {
    return { false, std::nullopt, false };
  }
  const auto now = aForwarder.mPorts.mNow();
  const auto pause =
    now < state->mPausedUntil
      ? std::max(MillisBetween(now, state->mPausedUntil), Millis(1))
      : Millis(0);
  if (!state->mLimit.mRate) {
    return { false, pause, false };
  }
  const auto& rules = aForwarder.mSettings.mLimits;
  const auto share = ShareOf(aForwarder, *state, aEndpoint);
  state->mAllowance = Replenish(state->mAllowance, share, now, rules);
  const auto untilSend = TimeUntilSend(state->mAllowance, share);
  return { true,
           untilSend ? std::optional(std::max(*untilSend, pause))
                     : std::nullopt,
           now >= state->mAnsweredAt + rules.mTrialInterval };
}

auto
AddSends(Forwarder& aForwarder, const EndpointId& aEndpoint, double aRequests)
  -> bool
{
  if (aForwarder.mStated.empty()) {
    return false;
  }
  const auto it = aForwarder.mStated.find(Checksum(aEndpoint.mValue));
  if (it == aForwarder.mStated.end() || !it->second.mLimit.mRate) {
    return false;
  }
  it->second.mAllowance.mRequests += aRequests;
  return true;
}

auto
IsReportable(const StatedEndpoint& aState, TimePoint aNow) -> bool
{
  return aState.mIsLeaving || aState.mLimit.mRate ||
         (aState.mLimit.mVersion > 0 &&
          aNow < aState.mLearnedAt + kEndedReportTime);
}

} // namespace

auto
MaySendNow(const SendCheck& aCheck) -> bool
{
  return aCheck.mUntilSend == Millis(0);
}

auto
NoteStatement(Forwarder& aForwarder,
              const StatementSource& aSource,
              const EndpointStatement& aStatement) -> void
{
  if (aStatement.mIsMalformed) {
    ++aForwarder.mCounters.mMalformedStatements;
    auto& health = aForwarder.mHealth[aSource.mEndpoint];
    if (!std::exchange(health.mHasMalformedStatement, true)) {
      LogEvent(kStatementIgnoredEvent,
               { { "endpoint", aSource.mEndpoint.mValue } });
    }
  }
  const auto entry = aForwarder.mView.mEntries.find(aSource.mEndpoint);
  const auto isPresent =
    entry != aForwarder.mView.mEntries.end() &&
    entry->second.mNotice.mIncarnation == aSource.mIncarnation;
  const auto key = Checksum(aSource.mEndpoint.mValue);
  if (!isPresent) {
    return;
  }
  auto hasNews = aStatement.mWarmUpTime &&
                 NoteStatedWarmUp(aForwarder, aSource, *aStatement.mWarmUpTime);
  const auto hasStatement =
    aStatement.mRequestRate || aStatement.mIsLeaving || aStatement.mPause;
  const auto isApplied =
    (hasStatement || aForwarder.mStated.contains(key)) &&
    OpenState(aForwarder, key, aSource.mIncarnation) != nullptr;
  if (isApplied) {
    hasNews |= ApplyStatement(aForwarder, aSource, aStatement);
  }
  if (hasNews) {
    SendLoadNotice(aForwarder, true);
    SchedulePlacement(aForwarder, true);
  }
}

auto
CheckSend(Forwarder& aForwarder, const directory::EndpointNotice& aEndpoint)
  -> SendCheck
{
  auto check = CheckStated(aForwarder, aEndpoint);
  if (const auto warmUp = CheckWarmUp(aForwarder, aEndpoint)) {
    // NOTE: the bound counts requests, not the parts that an engine prefills
    // for others, so that cold engines take long prompts like warm ones.
    check.mUntilSend =
      check.mUntilSend && warmUp->mUntilSend
        ? std::optional(std::max(*check.mUntilSend, *warmUp->mUntilSend))
        : std::nullopt;
  }
  return check;
}

auto
CheckSend(Forwarder& aForwarder, const Attempt& aAttempt) -> SendCheck
{
  const auto isUnusable = std::any_of(
    aAttempt.mWork.begin(), aAttempt.mWork.end(), [&](const auto& aItem) {
      const auto entry = aForwarder.mView.mEntries.find(aItem.mEngine);
      const auto isEvacuated =
        entry != aForwarder.mView.mEntries.end() &&
        IsInEvacuatedDomain(aForwarder, entry->second.mNotice);
      return isEvacuated ||
             (aItem.mIsHelper && !MayHelp(aForwarder, aItem.mEngine));
    });
  if (isUnusable) {
    return { false, std::nullopt, false };
  }
  const auto it = aForwarder.mView.mEntries.find(aAttempt.mEndpoint);
  return it == aForwarder.mView.mEntries.end()
           ? SendCheck{}
           : CheckSend(aForwarder, it->second.mNotice);
}

auto
DrawSend(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void
{
  if (AddSends(aForwarder, aEndpoint, -1)) {
    ++aForwarder.mCounters.mLimitedSends;
  }
}

auto
ReturnSend(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void
{
  AddSends(aForwarder, aEndpoint, 1);
}

auto
ForgetStatements(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void
{
  aForwarder.mStated.erase(Checksum(aEndpoint.mValue));
  aForwarder.mWarmUps.erase(Checksum(aEndpoint.mValue));
}

auto
ReportStatements(Forwarder& aForwarder) -> std::vector<ReportedStatement>
{
  auto all = std::vector<ReportedStatement>{};
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& [key, state] : aForwarder.mStated) {
    if (IsReportable(state, now)) {
      all.push_back(
        { key, state.mIncarnation, state.mLimit, state.mIsLeaving, Millis(0) });
    }
  }
  AddReportedWarmUps(aForwarder, all);
  if (all.size() <= kMaxReported) {
    return all;
  }
  const auto first = aForwarder.mNextReported % all.size();
  std::rotate(
    all.begin(), all.begin() + static_cast<std::ptrdiff_t>(first), all.end());
  all.resize(kMaxReported);
  aForwarder.mNextReported = first + kMaxReported;
  return all;
}

auto
ApplyReports(Forwarder& aForwarder,
             const std::string& aInstance,
             const std::vector<ReportedStatement>& aLimits) -> void
{
  for (const auto& it : aLimits) {
    // NOTE: an endpoint that left may still be reported by instances that have
    // not learned of it. The end of a limit that was never known here changes
    // nothing.
    const auto isKnown = aForwarder.mEndpointsByKey.contains(it.mEndpoint);
    const auto hasNews = it.mLimit.mRate || it.mIsLeaving ||
                         aForwarder.mStated.contains(it.mEndpoint);
    if (isKnown) {
      ApplyReportedWarmUp(aForwarder, it);
    }
    if (!isKnown || !hasNews) {
      continue;
    }
    const auto* state = OpenState(aForwarder, it.mEndpoint, it.mIncarnation);
    if (state == nullptr) {
      continue;
    }
    if (it.mIsLeaving) {
      SetLeaving(aForwarder, it.mEndpoint, aInstance);
    }
    const auto limit = MergeLimits(state->mLimit, it.mLimit);
    if (limit != state->mLimit) {
      SetLimit(aForwarder, it.mEndpoint, limit, aInstance);
    }
  }
}

auto
CountLeavingEndpoints(const Forwarder& aForwarder) -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(aForwarder.mStated.begin(),
                  aForwarder.mStated.end(),
                  [](const auto& aItem) { return aItem.second.mIsLeaving; }));
}

auto
CountLimitedEndpoints(const Forwarder& aForwarder) -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    aForwarder.mStated.begin(),
    aForwarder.mStated.end(),
    [](const auto& aItem) { return aItem.second.mLimit.mRate.has_value(); }));
}

auto
RepeatStatements(Forwarder& aForwarder) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  aForwarder.mIsNoticeDue |=
    now >= aForwarder.mNoticeSentAt + kReportInterval &&
    (HasReportedWarmUps(aForwarder) ||
     std::any_of(
       aForwarder.mStated.begin(),
       aForwarder.mStated.end(),
       [&](const auto& aItem) { return IsReportable(aItem.second, now); }));
}

auto
RefreshRoster(Forwarder& aForwarder) -> void
{
  auto listed = aForwarder.mEntries;
  listed.push_back(
    { aForwarder.mSettings.mPeerAddress, aForwarder.mSettings.mFailureDomain });
  aForwarder.mRoster = UpdateRoster(aForwarder.mRoster,
                                    listed,
                                    aForwarder.mPorts.mNow(),
                                    aForwarder.mSettings.mRoster);
}

} // namespace cuminslip::forwarding
