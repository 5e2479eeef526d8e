#include "forwarding/internal/statements.h"

#include "base/digest.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>
#include <cstdio>

namespace cuminslip::forwarding {

namespace {

constexpr auto kMaxStated = std::size_t{ 4096 };
/// Keeps a notice within one packet.
constexpr auto kMaxReported = std::size_t{ 32 };
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

/// Returns the state of an endpoint's limit, a new one if aIncarnation is newer
/// than the known one, or null if it is older or the number of limits is
/// exhausted.
auto
OpenState(Forwarder& aForwarder, std::uint64_t aKey, Incarnation aIncarnation)
  -> StatedEndpoint*
{
  const auto it = aForwarder.mStated.find(aKey);
  if (it == aForwarder.mStated.end()) {
    if (aForwarder.mStated.size() >= kMaxStated) {
      return nullptr;
    }
    auto& state = aForwarder.mStated[aKey];
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
  -> StatedEndpoint*
{
  if (aForwarder.mStated.empty()) {
    return nullptr;
  }
  const auto it = aForwarder.mStated.find(Checksum(aEndpoint.mId.mValue));
  const auto isInForce = it != aForwarder.mStated.end() &&
                         it->second.mIncarnation >= aEndpoint.mIncarnation &&
                         it->second.mLimit.mRate;
  return isInForce ? &it->second : nullptr;
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
  return aState.mLimit.mRate || aNow < aState.mLearnedAt + kEndedReportTime;
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
    return;
  }
  const auto entry = aForwarder.mView.mEntries.find(aSource.mEndpoint);
  const auto isPresent =
    entry != aForwarder.mView.mEntries.end() &&
    entry->second.mNotice.mIncarnation == aSource.mIncarnation;
  const auto key = Checksum(aSource.mEndpoint.mValue);
  const auto saysNothing =
    !aStatement.mRequestRate &&
    (!aSource.mIsServed || !aForwarder.mStated.contains(key));
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
CheckSend(Forwarder& aForwarder, const directory::EndpointNotice& aEndpoint)
  -> SendCheck
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
CheckSend(Forwarder& aForwarder, const Attempt& aAttempt) -> SendCheck
{
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
}

auto
ReportStatements(Forwarder& aForwarder) -> std::vector<ReportedStatement>
{
  auto all = std::vector<ReportedStatement>{};
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& [key, state] : aForwarder.mStated) {
    if (IsReportable(state, now)) {
      all.push_back({ key, state.mIncarnation, state.mLimit });
    }
  }
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
    // NOTE: the end of a limit that was never known here changes nothing.
    if (!it.mLimit.mRate && !aForwarder.mStated.contains(it.mEndpoint)) {
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
    std::any_of(
      aForwarder.mStated.begin(),
      aForwarder.mStated.end(),
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
