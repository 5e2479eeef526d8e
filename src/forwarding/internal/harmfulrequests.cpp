#include "forwarding/internal/harmfulrequests.h"

#include "forwarding/types/forwardevents.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

constexpr auto kMaxSuspects = std::size_t{ 256 };
/// Ends of endpoints are remembered for this long, which is longer than reports
/// on suspects take to all instances.
constexpr auto kEndMemory = Millis(5000);
constexpr auto kMaxEnds = std::size_t{ 256 };
/// Keeps a notice within one packet: suspects of each of the two orders.
constexpr auto kMaxReportedPerOrder = std::size_t{ 6 };
constexpr auto kMaxReportedEnds = std::size_t{ 24 };
/// Sound answers are remembered for one to two of these spans, in which the
/// report of an earlier crash arrives from any instance.
constexpr auto kSoundSpan = Millis(2000);
constexpr auto kMaxSounds = std::size_t{ 8192 };
/// Longer than a notice takes. Subtracted from the times of sound answers that
/// others report, as these would grow with each relay between two instances.
constexpr auto kRelayTime = Millis(20);
/// A trial has ended after this time, whatever became of it.
constexpr auto kTrialTime = Millis(15000);
constexpr auto kJudgementInterval = Millis(50);
/// An answer that arrives so long after an end was under way no longer when a
/// cut reset all connections.
constexpr auto kSightDelay = Millis(50);
/// Without an answer, an end counts after this time: a cut would have failed
/// connections by then.
constexpr auto kSightTime = Millis(200);
constexpr auto kReportInterval = Millis(1000);

/// Returns true if the endpoint had run the request, wholly or for an event.
auto
HasRun(const Flight& aFlight) -> bool
{
  const auto& attempt = aFlight.mAttempt;
  return attempt.mHasEvents ||
         (attempt.mAnswer.mIsGenuine && !IsStream(aFlight));
}

/// Returns true if the endpoint had begun the answer, but not written any of
/// it.
auto
HasBegun(const Flight& aFlight) -> bool
{
  return aFlight.mAttempt.mAnswer.mIsGenuine && !HasRun(aFlight);
}

/// Returns when an endpoint last answered, by the answers to this instance.
auto
FindRecentSound(const SuspectKnowledge& aKnowledge, SuspectKey aSuspect)
  -> std::optional<TimePoint>
{
  for (const auto* sound : { &aKnowledge.mSound, &aKnowledge.mFormerSound }) {
    const auto it = sound->find(aSuspect);
    if (it != sound->end()) {
      return it->second;
    }
  }
  return std::nullopt;
}

auto
RememberSound(SuspectKnowledge& aKnowledge, SuspectKey aSuspect, TimePoint aNow)
  -> void
{
  const auto isOver = aNow >= aKnowledge.mSoundSince + kSoundSpan ||
                      aKnowledge.mSound.size() >= kMaxSounds;
  if (isOver) {
    aKnowledge.mFormerSound = std::exchange(aKnowledge.mSound, {});
    aKnowledge.mSoundSince = aNow;
  }
  aKnowledge.mSound[aSuspect] = aNow;
}

/// Lets the next notice carry evidence.
auto
MakeReportDue(Forwarder& aForwarder) -> void
{
  aForwarder.mSuspects.mHasNews = true;
  aForwarder.mIsNoticeDue = true;
}

/// Records the end of an endpoint, and forgets old ones. Returns true if it is
/// news.
auto
RememberEnd(SuspectKnowledge& aKnowledge,
            std::uint64_t aEndpoint,
            TimePoint aAt,
            TimePoint aNow) -> bool
{
  if (aNow - aAt > kEndMemory ||
      !aKnowledge.mEnds.emplace(aEndpoint, aAt).second) {
    return false;
  }
  std::erase_if(aKnowledge.mEnds, [&](const auto& aItem) {
    return aNow - aItem.second > kEndMemory;
  });
  if (aKnowledge.mEnds.size() > kMaxEnds) {
    aKnowledge.mEnds.erase(aEndpoint);
  }
  return true;
}

/// Lets the ends of which aIsConfirmed is true be reported.
template<class Predicate>
auto
ConfirmIf(Forwarder& aForwarder, const Predicate& aIsConfirmed) -> void
{
  if (std::erase_if(aForwarder.mSuspects.mUnconfirmed, aIsConfirmed) > 0) {
    MakeReportDue(aForwarder);
    SendLoadNotice(aForwarder, false);
  }
}

/// Counts for each recent suspect the endpoints that ended with its ones.
auto
RefreshCompany(Forwarder& aForwarder, TimePoint aNow) -> void
{
  auto& knowledge = aForwarder.mSuspects;
  for (auto& [suspect, evidence] : knowledge.mEvidence) {
    const auto isRecent = !evidence.mCrashes.empty() &&
                          aNow - evidence.mCrashes.back().mAt <= kEndMemory;
    if (isRecent) {
      evidence = CountCompany(
        std::move(evidence), knowledge.mEnds, aForwarder.mSettings.mCrashes);
    }
  }
}

auto
LogVerdict(const Event& aEvent,
           SuspectKey aSuspect,
           const EvidenceTable& aTable) -> void
{
  const auto it = aTable.find(aSuspect);
  const auto evidence = it == aTable.end() ? CrashEvidence{} : it->second;
  LogEvent(aEvent,
           { { "suspect", aSuspect },
             { "kind", evidence.mDepth == kRequestDepth ? "request" : "part" },
             { "depth", static_cast<std::int64_t>(evidence.mDepth) },
             { "crashes", evidence.mCrashes.size() } });
}

/// Judges all suspects anew, at most once per interval.
auto
RefreshVerdicts(Forwarder& aForwarder) -> void
{
  auto& knowledge = aForwarder.mSuspects;
  const auto now = aForwarder.mPorts.mNow();
  if (now < knowledge.mJudgedAt + kJudgementInterval) {
    return;
  }
  knowledge.mJudgedAt = now;
  RefreshCompany(aForwarder, now);
  auto harmful =
    FindHarmful(knowledge.mEvidence, now, aForwarder.mSettings.mCrashes);
  for (const auto it : harmful) {
    if (!knowledge.mHarmful.contains(it)) {
      LogVerdict(kHarmfulFoundEvent, it, knowledge.mEvidence);
    }
  }
  for (const auto it : knowledge.mHarmful) {
    if (!harmful.contains(it)) {
      LogVerdict(kHarmfulClearedEvent, it, knowledge.mEvidence);
    }
  }
  knowledge.mHarmful = std::move(harmful);
}

auto
Forget(Forwarder& aForwarder) -> void
{
  auto& knowledge = aForwarder.mSuspects;
  knowledge.mEvidence = ForgetEvidence(std::move(knowledge.mEvidence),
                                       kMaxSuspects,
                                       aForwarder.mPorts.mNow(),
                                       aForwarder.mSettings.mCrashes);
  std::erase_if(knowledge.mTrialEnds, [&](const auto& aItem) {
    return !knowledge.mEvidence.contains(aItem.first);
  });
}

/// Returns true if this instance tries the suspect. One instance does for the
/// fleet, so that one that is still harmful ends one endpoint.
auto
IsTrialHolder(const Forwarder& aForwarder, SuspectKey aSuspect) -> bool
{
  const auto& own = aForwarder.mSettings.mPeerAddress;
  const auto rank = Checksum(own, aSuspect);
  return std::none_of(aForwarder.mEntries.begin(),
                      aForwarder.mEntries.end(),
                      [&](const auto& aItem) {
                        return aItem.mPeerAddress != own &&
                               Checksum(aItem.mPeerAddress, aSuspect) < rank;
                      });
}

/// Returns true if a request with the harmful suspect may be sent to learn
/// whether it is harmful still.
auto
BeginTrial(Forwarder& aForwarder, SuspectKey aSuspect, TimePoint aDue) -> bool
{
  const auto now = aForwarder.mPorts.mNow();
  auto& end = aForwarder.mSuspects.mTrialEnds[aSuspect];
  if (now < aDue || now < end || !IsTrialHolder(aForwarder, aSuspect)) {
    return false;
  }
  end = now + kTrialTime;
  return true;
}

/// Adds the suspects to report that come first in the order of aIsBefore.
template<class Order>
auto
AddFirst(std::vector<const EvidenceTable::value_type*> aSuspects,
         const Order& aIsBefore,
         std::map<SuspectKey, const CrashEvidence*>& aChosen) -> void
{
  const auto n = std::min(aSuspects.size(), kMaxReportedPerOrder);
  std::partial_sort(aSuspects.begin(),
                    aSuspects.begin() + static_cast<std::ptrdiff_t>(n),
                    aSuspects.end(),
                    aIsBefore);
  for (auto i = std::size_t{ 0 }; i < n; ++i) {
    aChosen.emplace(aSuspects[i]->first, &aSuspects[i]->second);
  }
}

auto
LastChange(const CrashEvidence& aEvidence) -> TimePoint
{
  const auto sound = aEvidence.mSoundAt.value_or(TimePoint{});
  return aEvidence.mCrashes.empty()
           ? sound
           : std::max(sound, aEvidence.mCrashes.back().mAt);
}

/// Returns true if the evidence is worth repeating. A single crash is for a
/// while, in case that notices were lost.
auto
IsReported(const CrashEvidence& aEvidence, TimePoint aNow) -> bool
{
  return aEvidence.mCrashes.size() > 1 ||
         aNow - LastChange(aEvidence) <= kEndMemory;
}

auto
HasReports(const Forwarder& aForwarder) -> bool
{
  const auto now = aForwarder.mPorts.mNow();
  const auto& evidence = aForwarder.mSuspects.mEvidence;
  return std::any_of(evidence.begin(), evidence.end(), [&](const auto& aItem) {
    return IsReported(aItem.second, now);
  });
}

auto
ToReport(SuspectKey aSuspect,
         const CrashEvidence& aEvidence,
         const std::map<std::uint64_t, TimePoint>& aUnconfirmed,
         TimePoint aNow) -> ReportedSuspect
{
  const auto ageOf = [&](TimePoint aAt) {
    return std::max(MillisBetween(aAt, aNow), Millis(0));
  };
  auto report = ReportedSuspect{ aSuspect, aEvidence.mDepth, {}, std::nullopt };
  for (const auto& it : aEvidence.mCrashes) {
    if (!aUnconfirmed.contains(it.mEndpoint)) {
      report.mCrashes.push_back(
        { it.mEndpoint, ageOf(it.mAt), it.mHadBegun, it.mCompany, it.mRanFor });
    }
  }
  if (aEvidence.mSoundAt) {
    report.mSoundAge = ageOf(*aEvidence.mSoundAt);
  }
  return report;
}

} // namespace

auto
SuspectsOf(const Flight& aFlight) -> std::vector<SuspectKey>
{
  auto suspects = std::vector<SuspectKey>{};
  if (aFlight.mService->mEngine && aFlight.mRequest.mPrompt) {
    const auto service = Checksum(aFlight.mService->mName);
    for (const auto it : aFlight.mRequest.mPrompt->mSharedParts) {
      suspects.push_back(it ^ service);
    }
  }
  suspects.push_back(aFlight.mDigest);
  return suspects;
}

auto
NoteEndpointEnd(Forwarder& aForwarder, const Flight& aFlight) -> void
{
  const auto& attempt = aFlight.mAttempt;
  if (!attempt.mRelay.empty() || aForwarder.mReach.mIsLost) {
    return;
  }
  // NOTE: an answer that was cut behind its head says nothing of an end.
  if (HasRun(aFlight) && !attempt.mHasEvents) {
    return;
  }
  auto& knowledge = aForwarder.mSuspects;
  const auto& rules = aForwarder.mSettings.mCrashes;
  const auto now = aForwarder.mPorts.mNow();
  const auto endpoint = KeyOf(attempt.mEndpoint, attempt.mIncarnation);
  if (RememberEnd(knowledge, endpoint, now, now)) {
    knowledge.mUnconfirmed[endpoint] = now;
  }
  if (attempt.mHasEvents) {
    return;
  }
  const auto crash = EndpointCrash{
    endpoint, now, HasBegun(aFlight), 1, MillisBetween(attempt.mSentAt, now)
  };
  for (auto i = std::size_t{ 0 }; i < aFlight.mSuspects.size(); ++i) {
    const auto isRequest = i + 1 == aFlight.mSuspects.size();
    auto& evidence = knowledge.mEvidence[aFlight.mSuspects[i]];
    evidence.mDepth =
      std::max(evidence.mDepth,
               isRequest ? kRequestDepth : static_cast<std::uint32_t>(i));
    if (const auto sound = FindRecentSound(knowledge, aFlight.mSuspects[i])) {
      evidence = AddSoundAnswer(std::move(evidence), *sound);
    }
    evidence = AddCrash(std::move(evidence), crash, rules);
  }
  Forget(aForwarder);
  if (!knowledge.mUnconfirmed.contains(endpoint)) {
    MakeReportDue(aForwarder);
    SendLoadNotice(aForwarder, false);
  }
}

auto
ConfirmEnds(Forwarder& aForwarder, const Attempt& aAttempt) -> void
{
  if (aForwarder.mSuspects.mUnconfirmed.empty()) {
    return;
  }
  const auto now = aForwarder.mPorts.mNow();
  const auto answering = KeyOf(aAttempt.mEndpoint, aAttempt.mIncarnation);
  ConfirmIf(aForwarder, [&](const auto& aItem) {
    return aItem.first != answering && now >= aItem.second + kSightDelay;
  });
}

auto
DropUnconfirmedEnds(Forwarder& aForwarder) -> void
{
  auto& knowledge = aForwarder.mSuspects;
  const auto unconfirmed = std::exchange(knowledge.mUnconfirmed, {});
  for (const auto& [endpoint, at] : unconfirmed) {
    knowledge.mEnds.erase(endpoint);
  }
  for (auto& [suspect, evidence] : knowledge.mEvidence) {
    std::erase_if(evidence.mCrashes, [&](const auto& aItem) {
      return unconfirmed.contains(aItem.mEndpoint);
    });
  }
  knowledge.mJudgedAt = {};
}

auto
NoteSoundAnswer(Forwarder& aForwarder, const Flight& aFlight) -> void
{
  auto& knowledge = aForwarder.mSuspects;
  const auto now = aForwarder.mPorts.mNow();
  for (const auto suspect : aFlight.mSuspects) {
    RememberSound(knowledge, suspect, now);
    const auto it = knowledge.mEvidence.find(suspect);
    if (it == knowledge.mEvidence.end()) {
      continue;
    }
    const auto isNews = !it->second.mCrashes.empty();
    it->second = AddSoundAnswer(std::move(it->second), now);
    if (isNews) {
      knowledge.mJudgedAt = {};
      MakeReportDue(aForwarder);
    }
  }
  SendLoadNotice(aForwarder, false);
}

auto
IsSuspect(const Forwarder& aForwarder, const Flight& aFlight) -> bool
{
  // NOTE: an engine says by the head of its answer that it has begun, other
  // endpoints do not say so.
  const auto mayHaveBegun =
    aFlight.mService->mEngine ? HasBegun(aFlight) : !HasRun(aFlight);
  if (!mayHaveBegun) {
    return false;
  }
  const auto& evidence = aForwarder.mSuspects.mEvidence;
  const auto& rules = aForwarder.mSettings.mCrashes;
  return std::any_of(
    aFlight.mSuspects.begin(), aFlight.mSuspects.end(), [&](auto aSuspect) {
      const auto it = evidence.find(aSuspect);
      return it != evidence.end() &&
             CountEpisodes(it->second.mCrashes, it->second.mSoundAt, rules) >=
               rules.mSuspicion;
    });
}

auto
CheckSuspects(Forwarder& aForwarder, Flight& aFlight) -> std::optional<Failure>
{
  auto& knowledge = aForwarder.mSuspects;
  const auto isClear =
    knowledge.mEvidence.empty() && knowledge.mHarmful.empty();
  if (isClear || aFlight.mSuspects.empty()) {
    return std::nullopt;
  }
  RefreshVerdicts(aForwarder);
  const auto now = aForwarder.mPorts.mNow();
  for (const auto suspect : aFlight.mSuspects) {
    const auto it = knowledge.mEvidence.find(suspect);
    // NOTE: the evidence may have gone since the last judgement.
    if (!knowledge.mHarmful.contains(suspect) ||
        it == knowledge.mEvidence.end() || it->second.mCrashes.empty()) {
      continue;
    }
    const auto& rules = aForwarder.mSettings.mCrashes;
    const auto due = NextTrialAt(it->second, rules);
    const auto isTrial = aFlight.mTrial == suspect && aFlight.mSends == 0;
    if (isTrial || BeginTrial(aForwarder, suspect, due)) {
      aFlight.mTrial = suspect;
      continue;
    }
    aFlight.mHarmful = suspect;
    const auto wait = std::max(MillisBetween(now, due), kTrialTime);
    return Failure{ FailureKind::HarmfulRequest, wait };
  }
  return std::nullopt;
}

auto
ReportSuspects(const Forwarder& aForwarder) -> std::vector<ReportedSuspect>
{
  const auto now = aForwarder.mPorts.mNow();
  auto suspects = std::vector<const EvidenceTable::value_type*>{};
  for (const auto& it : aForwarder.mSuspects.mEvidence) {
    if (IsReported(it.second, now)) {
      suspects.push_back(&it);
    }
  }
  auto chosen = std::map<SuspectKey, const CrashEvidence*>{};
  AddFirst(
    suspects,
    [](const auto* aLeft, const auto* aRight) {
      return aLeft->second.mCrashes.size() > aRight->second.mCrashes.size();
    },
    chosen);
  AddFirst(
    suspects,
    [](const auto* aLeft, const auto* aRight) {
      return LastChange(aLeft->second) > LastChange(aRight->second);
    },
    chosen);
  auto reports = std::vector<ReportedSuspect>{};
  for (const auto& [suspect, evidence] : chosen) {
    auto report =
      ToReport(suspect, *evidence, aForwarder.mSuspects.mUnconfirmed, now);
    if (!report.mCrashes.empty() || report.mSoundAge) {
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

auto
ReportEnds(const Forwarder& aForwarder) -> std::vector<ReportedEnd>
{
  const auto now = aForwarder.mPorts.mNow();
  auto ends = std::vector<ReportedEnd>{};
  for (const auto& [endpoint, at] : aForwarder.mSuspects.mEnds) {
    const auto age = std::max(MillisBetween(at, now), Millis(0));
    const auto isConfirmed =
      !aForwarder.mSuspects.mUnconfirmed.contains(endpoint);
    if (age <= kEndMemory && isConfirmed) {
      ends.push_back({ endpoint, age });
    }
  }
  const auto n = std::min(ends.size(), kMaxReportedEnds);
  std::partial_sort(ends.begin(),
                    ends.begin() + static_cast<std::ptrdiff_t>(n),
                    ends.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.mAge < aRight.mAge;
                    });
  ends.resize(n);
  return ends;
}

auto
ApplyEnds(Forwarder& aForwarder, const std::vector<ReportedEnd>& aEnds) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& it : aEnds) {
    RememberEnd(aForwarder.mSuspects, it.mEndpoint, now - it.mAge, now);
    aForwarder.mSuspects.mUnconfirmed.erase(it.mEndpoint);
  }
}

auto
TakeDueReports(Forwarder& aForwarder) -> std::vector<ReportedSuspect>
{
  auto& knowledge = aForwarder.mSuspects;
  const auto now = aForwarder.mPorts.mNow();
  const auto isDue =
    knowledge.mHasNews || now >= knowledge.mReportedAt + kReportInterval;
  if (!isDue || !HasReports(aForwarder)) {
    return {};
  }
  knowledge.mHasNews = false;
  knowledge.mReportedAt = now;
  return ReportSuspects(aForwarder);
}

auto
ApplyEvidence(Forwarder& aForwarder,
              const std::vector<ReportedSuspect>& aSuspects) -> void
{
  if (aSuspects.empty()) {
    return;
  }
  auto& knowledge = aForwarder.mSuspects;
  const auto& rules = aForwarder.mSettings.mCrashes;
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& it : aSuspects) {
    auto reported = CrashEvidence{};
    reported.mDepth = it.mDepth;
    if (it.mSoundAge) {
      reported.mSoundAt = now - *it.mSoundAge - kRelayTime;
    }
    for (const auto& crash : it.mCrashes) {
      reported = AddCrash(std::move(reported),
                          { crash.mEndpoint,
                            now - crash.mAge,
                            crash.mHadBegun,
                            crash.mCompany,
                            crash.mRanFor },
                          rules);
      RememberEnd(knowledge, crash.mEndpoint, now - crash.mAge, now);
      knowledge.mUnconfirmed.erase(crash.mEndpoint);
    }
    const auto hadCrashes = !reported.mCrashes.empty();
    if (const auto sound = FindRecentSound(knowledge, it.mKey)) {
      reported = AddSoundAnswer(std::move(reported), *sound);
    }
    // NOTE: the other instances do not know yet what acquits it here.
    if (hadCrashes && reported.mCrashes.empty()) {
      MakeReportDue(aForwarder);
    }
    auto& evidence = knowledge.mEvidence[it.mKey];
    evidence = MergeEvidence(std::move(evidence), reported, rules);
  }
  Forget(aForwarder);
}

auto
CountSuspects(const Forwarder& aForwarder) -> std::size_t
{
  const auto& evidence = aForwarder.mSuspects.mEvidence;
  return static_cast<std::size_t>(
    std::count_if(evidence.begin(), evidence.end(), [](const auto& aItem) {
      return !aItem.second.mCrashes.empty();
    }));
}

auto
CountHarmful(const Forwarder& aForwarder) -> std::size_t
{
  return aForwarder.mSuspects.mHarmful.size();
}

auto
RepeatEvidence(Forwarder& aForwarder) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  if (aForwarder.mReach.mUnreached.empty()) {
    ConfirmIf(aForwarder, [&](const auto& aItem) {
      return now >= aItem.second + kSightTime;
    });
  }
  aForwarder.mIsNoticeDue |=
    now >= aForwarder.mSuspects.mReportedAt + kReportInterval &&
    HasReports(aForwarder);
}

} // namespace cuminslip::forwarding
