#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// Determines which requests, or parts of prompts, end every endpoint that runs
/// them. A crash makes all requests suspect that the endpoint had not begun to
/// answer, and all parts of their prompts; an answer acquits them. What
/// instances learn can be merged in any order and repeatedly. Pure functions;
/// thread safe.
namespace cuminslip {

/// Identifies a part of a prompt for one service, or a request.
using SuspectKey = std::uint64_t;

/// Longer than any request runs.
inline constexpr auto kRanForUnknown =
  Millis(std::numeric_limits<std::uint32_t>::max());

/// Depth of a request; parts of prompts are in front of it.
inline constexpr auto kRequestDepth = std::uint32_t{ 1000 };

struct EndpointCrash
{
  /// Identifies the endpoint and its incarnation, so that the reports of
  /// several instances on one crash count once.
  std::uint64_t mEndpoint = 0;
  TimePoint mAt{};
  /// The endpoint had begun the answer, but not written any of it.
  bool mHadBegun = false;
  /// Number of endpoints known to have ended at about the same time, this one
  /// included.
  std::uint32_t mCompany = 1;
  /// Time from when the suspect was sent to the endpoint to the crash.
  Millis mRanFor = kRanForUnknown;

  auto operator==(const EndpointCrash&) const -> bool = default;
};

/// What is known of one suspect.
struct CrashEvidence
{
  /// Crashes since the last sound answer, oldest first, each endpoint once.
  std::vector<EndpointCrash> mCrashes;
  /// When an endpoint last answered.
  std::optional<TimePoint> mSoundAt;
  /// Position of a part in the prompts, or kRequestDepth; parts in front are
  /// shared by more prompts.
  std::uint32_t mDepth = 0;

  auto operator==(const CrashEvidence&) const -> bool = default;
};

struct CrashRules
{
  /// Crashes within this time count as one episode, since a power failure or a
  /// reset of connections ends many endpoints at once. A crash is an episode of
  /// its own if no endpoint without the suspect ended with it, and the suspect
  /// was sent after the first crash or had no sound answer for mUnknownAfter.
  Millis mEpisode{ 250 };
  Millis mUnknownAfter{ 10000 };
  /// About a round trip; an endpoint that ends sooner after the suspect was
  /// sent was ending already.
  Millis mMinRun{ 5 };
  /// A crash counts against a suspect that is one for at least this share of
  /// the endpoints that ended with it; a power failure ends endpoints that run
  /// nothing in common.
  double mMinShare = 0.25;
  /// Episodes without a sound answer in between that prove a suspect harmful.
  std::size_t mProof = 3;
  /// Episodes after which a request with the suspect is not repeated.
  std::size_t mSuspicion = 2;
  /// Crashes count after this time, within which other instances report sound
  /// answers.
  Millis mHold{ 800 };
  /// A harmful suspect is tried again after this time without a crash, doubled
  /// for each episode beyond mProof.
  Millis mFirstTrial{ 60000 };
  Millis mLongestTrial{ 600000 };
  /// Crashes kept of a suspect; the newest ones.
  std::size_t mMaxCrashes = 16;
  /// A suspect is forgotten this long after its last crash, unless harmful.
  Millis mMemory{ 600000 };

  auto operator==(const CrashRules&) const -> bool = default;
};

using EvidenceTable = std::map<SuspectKey, CrashEvidence>;

/// Adds a crash, unless a later sound answer acquits the suspect of it. Of
/// several reports on one crash the earliest counts, since each relay adds its
/// delay.
auto
AddCrash(CrashEvidence aEvidence,
         const EndpointCrash& aCrash,
         const CrashRules& aRules) -> CrashEvidence;

/// Adds a sound answer; it acquits the suspect of all earlier crashes.
auto
AddSoundAnswer(CrashEvidence aEvidence, TimePoint aAt) -> CrashEvidence;

/// Returns what two instances know together.
auto
MergeEvidence(CrashEvidence aLeft,
              const CrashEvidence& aRight,
              const CrashRules& aRules) -> CrashEvidence;

/// Sets for each crash how many of aEnds, the ends of endpoints by their keys,
/// came at about the same time, unless more are known.
auto
CountCompany(CrashEvidence aEvidence,
             const std::map<std::uint64_t, TimePoint>& aEnds,
             const CrashRules& aRules) -> CrashEvidence;

/// Returns the number of episodes of aCrashes. aSoundAt is the last sound
/// answer before them.
auto
CountEpisodes(const std::vector<EndpointCrash>& aCrashes,
              std::optional<TimePoint> aSoundAt,
              const CrashRules& aRules) -> std::size_t;

/// Returns the harmful suspects. A crash is evidence against the answers that
/// the endpoint had begun, if there were any, and of these against one suspect
/// only: the one with the most episodes, of equal ones the deepest, so that
/// what many requests share is not blamed for what one of them adds.
auto
FindHarmful(const EvidenceTable& aTable,
            TimePoint aNow,
            const CrashRules& aRules) -> std::set<SuspectKey>;

/// Returns when one request with a harmful suspect may be tried. Precondition:
/// the suspect has a crash.
auto
NextTrialAt(const CrashEvidence& aEvidence, const CrashRules& aRules)
  -> TimePoint;

/// Removes those without crashes that are acquitted for aRules.mHold * 4, those
/// that were not suspected again for aRules.mMemory, and the least suspect ones
/// beyond aMaxSuspects.
auto
ForgetEvidence(EvidenceTable aTable,
               std::size_t aMaxSuspects,
               TimePoint aNow,
               const CrashRules& aRules) -> EvidenceTable;

} // namespace cuminslip
