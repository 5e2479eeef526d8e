#include "forwarding/internal/limits.h"

#include "base/digest.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>
#include <cstdio>

namespace cuminslip::forwarding {

namespace {

constexpr auto kMaxLimits = std::size_t{ 4096 };
/// Keeps a notice within one packet.
constexpr auto kMaxReportedLimits = std::size_t{ 32 };
/// A limit that has ended is reported for this long. An instance that missed it
/// learns of it from a holder's next notice.
constexpr auto kEndedReportTime = Millis(30000);
constexpr auto kReportInterval = Millis(1000);
constexpr auto kNoRate = -1.0;

/// Returns the endpoint's id, or its checksum while it is unknown here.
auto
NameOf(const Forwarder& aForwarder, std::uint64_t aKey) -> std::string
{
  for (const auto& [id, entry] : aForwarder.mView.mEntries) {
    if (Checksum(id.mValue) == aKey) {
      return id.mValue;
    }
  }
  return "checksum " + std::to_string(aKey);
}

/// Replaces the known limit of an endpoint. aSource is the instance that
/// reported it, or "answer".
auto
SetLimit(Forwarder& aForwarder,
         std::uint64_t aKey,
         const RequestLimit& aLimit,
         std::string_view aSource) -> void
{
  auto& state = aForwarder.mLimits[aKey];
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

/// Returns the state of an endpoint's limit, a new one if aIncarnation is newer
/// than the known one, or null if it is older or the number of limits is
/// exhausted.
auto
OpenState(Forwarder& aForwarder, std::uint64_t aKey, Incarnation aIncarnation)
  -> LimitState*
{
  const auto it = aForwarder.mLimits.find(aKey);
  if (it == aForwarder.mLimits.end()) {
    if (aForwarder.mLimits.size() >= kMaxLimits) {
      return nullptr;
    }
    auto& state = aForwarder.mLimits[aKey];
    state.mIncarnation = aIncarnation;
    return &state;
  }
  if (aIncarnation < it->second.mIncarnation) {
    return nullptr;
  }
  if (aIncarnation > it->second.mIncarnation) {
    it->second = {};
    it->second.mIncarnation = aIncarnation;
  }
  return &it->second;
}

/// Returns the limit in force at an endpoint, or null.
auto
FindLimit(Forwarder& aForwarder, const directory::EndpointNotice& aEndpoint)
  -> LimitState*
{
  if (aForwarder.mLimits.empty()) {
    return nullptr;
  }
  const auto it = aForwarder.mLimits.find(Checksum(aEndpoint.mId.mValue));
  const auto isInForce = it != aForwarder.mLimits.end() &&
                         it->second.mIncarnation >= aEndpoint.mIncarnation &&
                         it->second.mLimit.mRate;
  return isInForce ? &it->second : nullptr;
}

auto
ShareOf(Forwarder& aForwarder,
        LimitState& aState,
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

auto
AddSends(Forwarder& aForwarder, const EndpointId& aEndpoint, double aRequests)
  -> bool
{
  if (aForwarder.mLimits.empty()) {
    return false;
  }
  const auto it = aForwarder.mLimits.find(Checksum(aEndpoint.mValue));
  if (it == aForwarder.mLimits.end() || !it->second.mLimit.mRate) {
    return false;
  }
  it->second.mAllowance.mRequests += aRequests;
  return true;
}

auto
IsReportable(const LimitState& aState, TimePoint aNow) -> bool
{
  return aState.mLimit.mRate || aNow < aState.mLearnedAt + kEndedReportTime;
}

} // namespace

auto
MaySendNow(const LimitCheck& aCheck) -> bool
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
    return;
  }
  const auto entry = aForwarder.mView.mEntries.find(aSource.mEndpoint);
  const auto isPresent =
    entry != aForwarder.mView.mEntries.end() &&
    entry->second.mNotice.mIncarnation == aSource.mIncarnation;
  const auto key = Checksum(aSource.mEndpoint.mValue);
  const auto saysNothing =
    !aStatement.mRequestRate &&
    (!aSource.mIsServed || !aForwarder.mLimits.contains(key));
  if (!isPresent || saysNothing) {
    return;
  }
  auto* state = OpenState(aForwarder, key, aSource.mIncarnation);
  if (state == nullptr) {
    return;
  }
  aForwarder.mCounters.mLimitedAnswers += aStatement.mRequestRate ? 1 : 0;
  const auto now = aForwarder.mPorts.mNow();
  const auto isNewer = aSource.mSentAt > state->mLearnedAt;
  const auto limit =
    ApplyAnswer(state->mLimit, aStatement.mRequestRate, isNewer);
  if (limit != state->mLimit) {
    SetLimit(aForwarder, key, limit, "answer");
    SendLoadNotice(aForwarder, true);
    SchedulePlacement(aForwarder, true);
  }
  state->mAnsweredAt = now;
  if (aStatement.mRequestRate) {
    state->mLearnedAt = now;
  }
}

auto
CheckLimit(Forwarder& aForwarder, const directory::EndpointNotice& aEndpoint)
  -> LimitCheck
{
  auto* state = FindLimit(aForwarder, aEndpoint);
  if (state == nullptr) {
    return {};
  }
  const auto now = aForwarder.mPorts.mNow();
  const auto& rules = aForwarder.mSettings.mLimits;
  const auto share = ShareOf(aForwarder, *state, aEndpoint);
  state->mAllowance = Replenish(state->mAllowance, share, now, rules);
  return { true,
           TimeUntilSend(state->mAllowance, share),
           now >= state->mAnsweredAt + rules.mTrialInterval };
}

auto
CheckLimit(Forwarder& aForwarder, const Attempt& aAttempt) -> LimitCheck
{
  const auto it = aForwarder.mView.mEntries.find(aAttempt.mEndpoint);
  return it == aForwarder.mView.mEntries.end()
           ? LimitCheck{}
           : CheckLimit(aForwarder, it->second.mNotice);
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
ForgetLimit(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void
{
  aForwarder.mLimits.erase(Checksum(aEndpoint.mValue));
}

auto
ReportLimits(Forwarder& aForwarder) -> std::vector<ReportedLimit>
{
  auto all = std::vector<ReportedLimit>{};
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& [key, state] : aForwarder.mLimits) {
    if (IsReportable(state, now)) {
      all.push_back({ key, state.mIncarnation, state.mLimit });
    }
  }
  if (all.size() <= kMaxReportedLimits) {
    return all;
  }
  const auto first = aForwarder.mNextReportedLimit % all.size();
  std::rotate(
    all.begin(), all.begin() + static_cast<std::ptrdiff_t>(first), all.end());
  all.resize(kMaxReportedLimits);
  aForwarder.mNextReportedLimit = first + kMaxReportedLimits;
  return all;
}

auto
ApplyReportedLimits(Forwarder& aForwarder,
                    const std::string& aInstance,
                    const std::vector<ReportedLimit>& aLimits) -> void
{
  for (const auto& it : aLimits) {
    // NOTE: the end of a limit that was never known here changes nothing.
    if (!it.mLimit.mRate && !aForwarder.mLimits.contains(it.mEndpoint)) {
      continue;
    }
    const auto* state = OpenState(aForwarder, it.mEndpoint, it.mIncarnation);
    if (state == nullptr) {
      continue;
    }
    const auto limit = MergeLimits(state->mLimit, it.mLimit);
    if (limit != state->mLimit) {
      SetLimit(aForwarder, it.mEndpoint, limit, aInstance);
    }
  }
}

auto
CountLimitedEndpoints(const Forwarder& aForwarder) -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    aForwarder.mLimits.begin(),
    aForwarder.mLimits.end(),
    [](const auto& aItem) { return aItem.second.mLimit.mRate.has_value(); }));
}

auto
RepeatLimits(Forwarder& aForwarder) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  aForwarder.mIsNoticeDue |=
    now >= aForwarder.mNoticeSentAt + kReportInterval &&
    std::any_of(
      aForwarder.mLimits.begin(),
      aForwarder.mLimits.end(),
      [&](const auto& aItem) { return IsReportable(aItem.second, now); });
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
