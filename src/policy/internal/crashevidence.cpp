#include "policy/crashevidence.h"

#include <algorithm>
#include <tuple>

namespace cuminslip {

namespace {

/// Precision of the times in reports, in both directions.
constexpr auto kPrecision = Millis(2);

/// Returns the endpoints that ended with an answer begun.
auto
ListBegun(const EvidenceTable& aTable) -> std::set<std::uint64_t>
{
  auto begun = std::set<std::uint64_t>{};
  for (const auto& [key, evidence] : aTable) {
    for (const auto& it : evidence.mCrashes) {
      if (it.mHadBegun) {
        begun.insert(it.mEndpoint);
      }
    }
  }
  return begun;
}

auto
IsTogether(TimePoint aLeft, TimePoint aRight, const CrashRules& aRules) -> bool
{
  return aLeft < aRight + aRules.mEpisode && aRight < aLeft + aRules.mEpisode;
}

/// Returns the number of aCrashes that came together with aCrash, which is one
/// of them.
auto
CountTogether(const std::vector<EndpointCrash>& aCrashes,
              const EndpointCrash& aCrash,
              const CrashRules& aRules) -> std::uint32_t
{
  return static_cast<std::uint32_t>(
    std::count_if(aCrashes.begin(), aCrashes.end(), [&](const auto& aItem) {
      return IsTogether(aItem.mAt, aCrash.mAt, aRules);
    }));
}

/// Returns the crashes until aUntil that count against their suspect.
auto
RelevantCrashes(const std::vector<EndpointCrash>& aCrashes,
                const std::set<std::uint64_t>& aBegun,
                TimePoint aUntil,
                const CrashRules& aRules) -> std::vector<EndpointCrash>
{
  const auto counts = [&](const EndpointCrash& aCrash) {
    const auto n = CountTogether(aCrashes, aCrash, aRules);
    return aCrash.mAt <= aUntil &&
           (aCrash.mHadBegun || !aBegun.contains(aCrash.mEndpoint)) &&
           static_cast<double>(n) >= aRules.mMinShare * aCrash.mCompany;
  };
  auto relevant = std::vector<EndpointCrash>{};
  std::copy_if(
    aCrashes.begin(), aCrashes.end(), std::back_inserter(relevant), counts);
  return relevant;
}

auto
LastChange(const CrashEvidence& aEvidence) -> TimePoint
{
  return aEvidence.mCrashes.empty() ? aEvidence.mSoundAt.value_or(TimePoint{})
                                    : aEvidence.mCrashes.back().mAt;
}

} // namespace

auto
AddCrash(CrashEvidence aEvidence,
         const EndpointCrash& aCrash,
         const CrashRules& aRules) -> CrashEvidence
{
  auto& crashes = aEvidence.mCrashes;
  auto crash = aCrash;
  const auto known =
    std::find_if(crashes.begin(), crashes.end(), [&](const auto& aItem) {
      return aItem.mEndpoint == aCrash.mEndpoint;
    });
  if (known != crashes.end()) {
    crash.mAt = std::min(crash.mAt, known->mAt);
    crash.mHadBegun |= known->mHadBegun;
    crash.mCompany = std::max(crash.mCompany, known->mCompany);
    crash.mRanFor = std::max(crash.mRanFor, known->mRanFor);
    crashes.erase(known);
  }
  if (aEvidence.mSoundAt && crash.mAt <= *aEvidence.mSoundAt) {
    return aEvidence;
  }
  const auto place =
    std::upper_bound(crashes.begin(),
                     crashes.end(),
                     crash,
                     [](const auto& aLeft, const auto& aRight) {
                       return std::tuple(aLeft.mAt, aLeft.mEndpoint) <
                              std::tuple(aRight.mAt, aRight.mEndpoint);
                     });
  crashes.insert(place, crash);
  if (crashes.size() > aRules.mMaxCrashes) {
    crashes.erase(crashes.begin());
  }
  return aEvidence;
}

auto
AddSoundAnswer(CrashEvidence aEvidence, TimePoint aAt) -> CrashEvidence
{
  aEvidence.mSoundAt = std::max(aAt, aEvidence.mSoundAt.value_or(aAt));
  std::erase_if(aEvidence.mCrashes, [&](const auto& aItem) {
    return aItem.mAt <= *aEvidence.mSoundAt;
  });
  return aEvidence;
}

auto
MergeEvidence(CrashEvidence aLeft,
              const CrashEvidence& aRight,
              const CrashRules& aRules) -> CrashEvidence
{
  if (aRight.mSoundAt) {
    aLeft = AddSoundAnswer(std::move(aLeft), *aRight.mSoundAt);
  }
  for (const auto& it : aRight.mCrashes) {
    aLeft = AddCrash(std::move(aLeft), it, aRules);
  }
  aLeft.mDepth = std::max(aLeft.mDepth, aRight.mDepth);
  return aLeft;
}

auto
CountCompany(CrashEvidence aEvidence,
             const std::map<std::uint64_t, TimePoint>& aEnds,
             const CrashRules& aRules) -> CrashEvidence
{
  for (auto& crash : aEvidence.mCrashes) {
    const auto n =
      std::count_if(aEnds.begin(), aEnds.end(), [&](const auto& aItem) {
        return IsTogether(aItem.second, crash.mAt, aRules);
      });
    crash.mCompany = std::max(crash.mCompany, static_cast<std::uint32_t>(n));
  }
  return aEvidence;
}

auto
CountEpisodes(const std::vector<EndpointCrash>& aCrashes,
              std::optional<TimePoint> aSoundAt,
              const CrashRules& aRules) -> std::size_t
{
  if (aCrashes.empty()) {
    return 0;
  }
  const auto isUnknown =
    !aSoundAt || *aSoundAt + aRules.mUnknownAfter < aCrashes.front().mAt;
  auto episodes = std::size_t{ 1 };
  auto first = aCrashes.front().mAt;
  for (auto i = std::size_t{ 1 }; i < aCrashes.size(); ++i) {
    const auto& it = aCrashes[i];
    const auto isLater = it.mAt >= first + aRules.mEpisode;
    const auto wasSentLater = it.mAt - it.mRanFor + kPrecision >= first;
    const auto hasRun =
      it.mRanFor >= aRules.mMinRun && it.mRanFor != kRanForUnknown;
    const auto isAlone = CountTogether(aCrashes, it, aRules) >= it.mCompany;
    if (isLater || (isAlone && hasRun && (wasSentLater || isUnknown))) {
      ++episodes;
      first = it.mAt;
    }
  }
  return episodes;
}

auto
FindHarmful(const EvidenceTable& aTable,
            TimePoint aNow,
            const CrashRules& aRules) -> std::set<SuspectKey>
{
  struct Suspect
  {
    SuspectKey mKey = 0;
    std::uint32_t mDepth = 0;
    std::size_t mEpisodes = 0;
    std::optional<TimePoint> mSoundAt;
    std::vector<EndpointCrash> mCrashes;
  };
  const auto begun = ListBegun(aTable);
  auto suspects = std::vector<Suspect>{};
  for (const auto& [key, evidence] : aTable) {
    if (evidence.mCrashes.size() < aRules.mProof) {
      continue;
    }
    auto crashes =
      RelevantCrashes(evidence.mCrashes, begun, aNow - aRules.mHold, aRules);
    const auto episodes = CountEpisodes(crashes, evidence.mSoundAt, aRules);
    if (episodes >= aRules.mProof) {
      suspects.push_back(
        { key, evidence.mDepth, episodes, evidence.mSoundAt, crashes });
    }
  }
  std::sort(suspects.begin(),
            suspects.end(),
            [](const auto& aLeft, const auto& aRight) {
              return std::tuple(aRight.mEpisodes, aRight.mDepth, aLeft.mKey) <
                     std::tuple(aLeft.mEpisodes, aLeft.mDepth, aRight.mKey);
            });
  auto harmful = std::set<SuspectKey>{};
  auto explained = std::set<std::uint64_t>{};
  for (auto& it : suspects) {
    std::erase_if(it.mCrashes, [&](const auto& aItem) {
      return explained.contains(aItem.mEndpoint);
    });
    if (CountEpisodes(it.mCrashes, it.mSoundAt, aRules) < aRules.mProof) {
      continue;
    }
    harmful.insert(it.mKey);
    for (const auto& crash : aTable.at(it.mKey).mCrashes) {
      explained.insert(crash.mEndpoint);
    }
  }
  return harmful;
}

auto
NextTrialAt(const CrashEvidence& aEvidence, const CrashRules& aRules)
  -> TimePoint
{
  constexpr auto kMaxDoublings = std::size_t{ 10 };
  const auto episodes =
    CountEpisodes(aEvidence.mCrashes, aEvidence.mSoundAt, aRules);
  const auto doublings = std::min(
    episodes > aRules.mProof ? episodes - aRules.mProof : 0, kMaxDoublings);
  const auto wait =
    std::min(aRules.mFirstTrial * (std::int64_t{ 1 } << doublings),
             aRules.mLongestTrial);
  return aEvidence.mCrashes.back().mAt + wait;
}

auto
ForgetEvidence(EvidenceTable aTable,
               std::size_t aMaxSuspects,
               TimePoint aNow,
               const CrashRules& aRules) -> EvidenceTable
{
  constexpr auto kAcquittedHolds = 4;
  std::erase_if(aTable, [&](const auto& aItem) {
    const auto& evidence = aItem.second;
    const auto isProven =
      CountEpisodes(evidence.mCrashes, evidence.mSoundAt, aRules) >=
      aRules.mProof;
    const auto limit = evidence.mCrashes.empty()
                         ? aRules.mHold * kAcquittedHolds
                       : isProven ? 2 * aRules.mLongestTrial
                                  : aRules.mMemory;
    return aNow - LastChange(evidence) > limit;
  });
  while (aTable.size() > aMaxSuspects) {
    const auto least = std::min_element(
      aTable.begin(), aTable.end(), [](const auto& aLeft, const auto& aRight) {
        const auto rank = [](const CrashEvidence& aEvidence) {
          return std::tuple(aEvidence.mCrashes.size(), LastChange(aEvidence));
        };
        return rank(aLeft.second) < rank(aRight.second);
      });
    aTable.erase(least);
  }
  return aTable;
}

} // namespace cuminslip
