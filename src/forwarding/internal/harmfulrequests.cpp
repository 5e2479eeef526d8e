#include "forwarding/internal/harmfulrequests.h"

#include "forwarding/types/forwardevents.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

constexpr auto kMaxParts = std::size_t{ 256 };
/// Ends of engines are remembered for this long, which is longer than reports
/// on suspect parts take to all instances.
constexpr auto kEndMemory = Millis(5000);
constexpr auto kMaxEnds = std::size_t{ 256 };
/// Keeps a notice within one packet: parts of each of the two orders.
constexpr auto kMaxReportedPerOrder = std::size_t{ 6 };
/// Sound answers are remembered for one to two of these spans, in which the
/// report of an earlier crash arrives from any instance.
constexpr auto kSoundSpan = Millis(2000);
constexpr auto kMaxSoundParts = std::size_t{ 8192 };
/// Longer than a notice takes. Subtracted from the times of sound answers that
/// others report, as these would grow with each relay between two instances.
constexpr auto kRelayTime = Millis(20);
/// The trial of a part has ended after this time, whatever became of it.
constexpr auto kTrialTime = Millis(15000);
constexpr auto kJudgementInterval = Millis(50);
constexpr auto kReportInterval = Millis(1000);

/// Returns true if the engine had begun the answer, but not written any of it.
auto
HasBegun(const Attempt& aAttempt) -> bool
{
  return aAttempt.mAnswer.mIsGenuine && !aAttempt.mHasEvents;
}

/// Returns when an engine last wrote on the part, by the answers to this
/// instance.
auto
FindRecentSound(const SuspectKnowledge& aKnowledge, SuspectKey aPart)
  -> std::optional<TimePoint>
{
  for (const auto* sound : { &aKnowledge.mSound, &aKnowledge.mFormerSound }) {
    const auto it = sound->find(aPart);
    if (it != sound->end()) {
      return it->second;
    }
  }
  return std::nullopt;
}

auto
RememberSound(SuspectKnowledge& aKnowledge, SuspectKey aPart, TimePoint aNow)
  -> void
{
  const auto isOver = aNow >= aKnowledge.mSoundSince + kSoundSpan ||
                      aKnowledge.mSound.size() >= kMaxSoundParts;
  if (isOver) {
    aKnowledge.mFormerSound = std::exchange(aKnowledge.mSound, {});
    aKnowledge.mSoundSince = aNow;
  }
  aKnowledge.mSound[aPart] = aNow;
}

/// Lets the next notice carry evidence.
auto
MakeReportDue(Forwarder& aForwarder) -> void
{
  aForwarder.mSuspects.mHasNews = true;
  aForwarder.mIsNoticeDue = true;
}

/// Records the end of an engine, and forgets old ones.
auto
RememberEnd(SuspectKnowledge& aKnowledge,
            std::uint64_t aEngine,
            TimePoint aAt,
            TimePoint aNow) -> void
{
  if (aNow - aAt > kEndMemory ||
      !aKnowledge.mEnds.emplace(aEngine, aAt).second) {
    return;
  }
  std::erase_if(aKnowledge.mEnds, [&](const auto& aItem) {
    return aNow - aItem.second > kEndMemory;
  });
  if (aKnowledge.mEnds.size() > kMaxEnds) {
    aKnowledge.mEnds.erase(aEngine);
  }
}

/// Counts for each part that was suspect lately the engines that ended with its
/// ones.
auto
RefreshCompany(Forwarder& aForwarder, TimePoint aNow) -> void
{
  auto& knowledge = aForwarder.mSuspects;
  for (auto& [part, evidence] : knowledge.mEvidence) {
    const auto isRecent = !evidence.mCrashes.empty() &&
                          aNow - evidence.mCrashes.back().mAt <= kEndMemory;
    if (isRecent) {
      evidence = CountCompany(
        std::move(evidence), knowledge.mEnds, aForwarder.mSettings.mCrashes);
    }
  }
}

auto
LogVerdict(const Event& aEvent, SuspectKey aPart, const EvidenceTable& aTable)
  -> void
{
  const auto it = aTable.find(aPart);
  const auto evidence = it == aTable.end() ? CrashEvidence{} : it->second;
  LogEvent(aEvent,
           { { "part", aPart },
             { "depth", static_cast<std::int64_t>(evidence.mDepth) },
             { "crashes", evidence.mCrashes.size() } });
}

/// Judges all parts anew, at most once per interval.
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
  for (const auto part : harmful) {
    if (!knowledge.mHarmful.contains(part)) {
      LogVerdict(kHarmfulFoundEvent, part, knowledge.mEvidence);
    }
  }
  for (const auto part : knowledge.mHarmful) {
    if (!harmful.contains(part)) {
      LogVerdict(kHarmfulClearedEvent, part, knowledge.mEvidence);
    }
  }
  knowledge.mHarmful = std::move(harmful);
}

auto
Forget(Forwarder& aForwarder) -> void
{
  auto& knowledge = aForwarder.mSuspects;
  knowledge.mEvidence = ForgetEvidence(std::move(knowledge.mEvidence),
                                       kMaxParts,
                                       aForwarder.mPorts.mNow(),
                                       aForwarder.mSettings.mCrashes);
  std::erase_if(knowledge.mTrialEnds, [&](const auto& aItem) {
    return !knowledge.mEvidence.contains(aItem.first);
  });
}

/// Returns true if this instance tries the part. One instance does for the
/// fleet, so that a part that is still harmful ends one engine.
auto
IsTrialHolder(const Forwarder& aForwarder, SuspectKey aPart) -> bool
{
  const auto& own = aForwarder.mSettings.mPeerAddress;
  const auto rank = Checksum(own, aPart);
  return std::none_of(aForwarder.mEntries.begin(),
                      aForwarder.mEntries.end(),
                      [&](const auto& aItem) {
                        return aItem.mPeerAddress != own &&
                               Checksum(aItem.mPeerAddress, aPart) < rank;
                      });
}

/// Returns true if a request on the harmful part may be sent to learn whether
/// it is harmful still.
auto
BeginTrial(Forwarder& aForwarder, SuspectKey aPart, TimePoint aDue) -> bool
{
  const auto now = aForwarder.mPorts.mNow();
  auto& end = aForwarder.mSuspects.mTrialEnds[aPart];
  if (now < aDue || now < end || !IsTrialHolder(aForwarder, aPart)) {
    return false;
  }
  end = now + kTrialTime;
  return true;
}

/// Returns the parts to report in the order of aIsBefore.
template<class Order>
auto
AddFirst(std::vector<const EvidenceTable::value_type*> aParts,
         const Order& aIsBefore,
         std::map<SuspectKey, const CrashEvidence*>& aChosen) -> void
{
  const auto n = std::min(aParts.size(), kMaxReportedPerOrder);
  std::partial_sort(aParts.begin(),
                    aParts.begin() + static_cast<std::ptrdiff_t>(n),
                    aParts.end(),
                    aIsBefore);
  for (auto i = std::size_t{ 0 }; i < n; ++i) {
    aChosen.emplace(aParts[i]->first, &aParts[i]->second);
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

auto
ToReport(SuspectKey aPart, const CrashEvidence& aEvidence, TimePoint aNow)
  -> ReportedSuspect
{
  const auto ageOf = [&](TimePoint aAt) {
    return std::max(MillisBetween(aAt, aNow), Millis(0));
  };
  auto report = ReportedSuspect{ aPart, aEvidence.mDepth, {}, std::nullopt };
  for (const auto& it : aEvidence.mCrashes) {
    report.mCrashes.push_back(
      { it.mEngine, ageOf(it.mAt), it.mHadBegun, it.mCompany });
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
  if (!aFlight.mService->mEngine || !aFlight.mRequest.mPrompt) {
    return {};
  }
  const auto service = Checksum(aFlight.mService->mName);
  auto parts = aFlight.mRequest.mPrompt->mSharedParts;
  for (auto& it : parts) {
    it ^= service;
  }
  return parts;
}

auto
NoteEndpointEnd(Forwarder& aForwarder, const Flight& aFlight) -> void
{
  const auto& attempt = aFlight.mAttempt;
  if (aFlight.mSuspects.empty()) {
    return;
  }
  auto& knowledge = aForwarder.mSuspects;
  const auto& rules = aForwarder.mSettings.mCrashes;
  const auto now = aForwarder.mPorts.mNow();
  const auto engine = Checksum(attempt.mEndpoint.mValue, attempt.mIncarnation);
  RememberEnd(knowledge, engine, now, now);
  if (attempt.mHasEvents) {
    return;
  }
  const auto crash = EndpointCrash{ engine, now, HasBegun(attempt) };
  for (auto i = std::size_t{ 0 }; i < aFlight.mSuspects.size(); ++i) {
    auto& evidence = knowledge.mEvidence[aFlight.mSuspects[i]];
    evidence.mDepth = std::max(evidence.mDepth, static_cast<std::uint32_t>(i));
    evidence = AddCrash(std::move(evidence), crash, rules);
  }
  Forget(aForwarder);
  MakeReportDue(aForwarder);
  SendLoadNotice(aForwarder, false);
}

auto
NoteSoundAnswer(Forwarder& aForwarder, const Flight& aFlight) -> void
{
  auto& knowledge = aForwarder.mSuspects;
  const auto now = aForwarder.mPorts.mNow();
  for (const auto part : aFlight.mSuspects) {
    RememberSound(knowledge, part, now);
    const auto it = knowledge.mEvidence.find(part);
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
  if (!HasBegun(aFlight.mAttempt)) {
    return false;
  }
  const auto& evidence = aForwarder.mSuspects.mEvidence;
  const auto& rules = aForwarder.mSettings.mCrashes;
  return std::any_of(
    aFlight.mSuspects.begin(), aFlight.mSuspects.end(), [&](const auto aPart) {
      const auto it = evidence.find(aPart);
      return it != evidence.end() &&
             CountEpisodes(it->second.mCrashes, rules) >= rules.mSuspicion;
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
  for (const auto part : aFlight.mSuspects) {
    const auto it = knowledge.mEvidence.find(part);
    // NOTE: the evidence may have gone since the last judgement.
    if (!knowledge.mHarmful.contains(part) || it == knowledge.mEvidence.end() ||
        it->second.mCrashes.empty()) {
      continue;
    }
    const auto& rules = aForwarder.mSettings.mCrashes;
    const auto due = NextTrialAt(it->second, rules);
    const auto isTrial = aFlight.mTrial == part && aFlight.mSends == 0;
    if (isTrial || BeginTrial(aForwarder, part, due)) {
      aFlight.mTrial = part;
      continue;
    }
    const auto wait = std::max(MillisBetween(now, due), kTrialTime);
    return Failure{ FailureKind::HarmfulRequest, wait };
  }
  return std::nullopt;
}

auto
ReportSuspects(const Forwarder& aForwarder) -> std::vector<ReportedSuspect>
{
  const auto now = aForwarder.mPorts.mNow();
  auto parts = std::vector<const EvidenceTable::value_type*>{};
  for (const auto& it : aForwarder.mSuspects.mEvidence) {
    parts.push_back(&it);
  }
  auto chosen = std::map<SuspectKey, const CrashEvidence*>{};
  AddFirst(
    parts,
    [](const auto* aLeft, const auto* aRight) {
      return aLeft->second.mCrashes.size() > aRight->second.mCrashes.size();
    },
    chosen);
  AddFirst(
    parts,
    [](const auto* aLeft, const auto* aRight) {
      return LastChange(aLeft->second) > LastChange(aRight->second);
    },
    chosen);
  auto reports = std::vector<ReportedSuspect>{};
  for (const auto& [part, evidence] : chosen) {
    reports.push_back(ToReport(part, *evidence, now));
  }
  return reports;
}

auto
TakeDueReports(Forwarder& aForwarder) -> std::vector<ReportedSuspect>
{
  auto& knowledge = aForwarder.mSuspects;
  const auto now = aForwarder.mPorts.mNow();
  const auto isDue =
    knowledge.mHasNews || now >= knowledge.mReportedAt + kReportInterval;
  if (knowledge.mEvidence.empty() || !isDue) {
    return {};
  }
  knowledge.mHasNews = false;
  knowledge.mReportedAt = now;
  return ReportSuspects(aForwarder);
}

auto
ApplyEvidence(Forwarder& aForwarder, const std::vector<ReportedSuspect>& aParts)
  -> void
{
  if (aParts.empty()) {
    return;
  }
  auto& knowledge = aForwarder.mSuspects;
  const auto& rules = aForwarder.mSettings.mCrashes;
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& it : aParts) {
    auto reported = CrashEvidence{};
    reported.mDepth = it.mDepth;
    if (it.mSoundAge) {
      reported.mSoundAt = now - *it.mSoundAge - kRelayTime;
    }
    for (const auto& crash : it.mCrashes) {
      reported = AddCrash(
        std::move(reported),
        { crash.mEngine, now - crash.mAge, crash.mHadBegun, crash.mCompany },
        rules);
      RememberEnd(knowledge, crash.mEngine, now - crash.mAge, now);
    }
    const auto hadCrashes = !reported.mCrashes.empty();
    if (const auto sound = FindRecentSound(knowledge, it.mKey)) {
      reported = AddSoundAnswer(std::move(reported), *sound);
    }
    // NOTE: the other instances do not know yet what acquits the part here.
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
  const auto& knowledge = aForwarder.mSuspects;
  aForwarder.mIsNoticeDue |=
    aForwarder.mPorts.mNow() >= knowledge.mReportedAt + kReportInterval &&
    !knowledge.mEvidence.empty();
}

} // namespace cuminslip::forwarding
