#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// Determines which part of a prompt ends every engine that begins to write an
/// answer on it. A crash makes all parts suspect that are in the prompts on
/// which the engine had written nothing; an engine that writes on a part
/// acquits it. What instances learn can be merged in any order and repeatedly.
/// Pure functions; thread safe.
namespace cuminslip {

/// Identifies a part of a prompt for one service.
using SuspectKey = std::uint64_t;

struct EndpointCrash
{
  /// Identifies the engine and its incarnation, so that the reports of several
  /// instances on one crash count once.
  std::uint64_t mEngine = 0;
  TimePoint mAt{};
  /// The engine had begun the answer on the part, but not written any of it.
  bool mHadBegun = false;
  /// Number of engines known to have ended at about the same time, this one
  /// included.
  std::uint32_t mCompany = 1;

  auto operator==(const EndpointCrash&) const -> bool = default;
};

/// What is known of one part of a prompt.
struct CrashEvidence
{
  /// Crashes since the last sound answer, oldest first, each engine once.
  std::vector<EndpointCrash> mCrashes;
  /// When an engine last wrote an answer on the part.
  std::optional<TimePoint> mSoundAt;
  /// Position of the part in the prompts; parts in front are shared by more
  /// prompts.
  std::uint32_t mDepth = 0;

  auto operator==(const CrashEvidence&) const -> bool = default;
};

struct CrashRules
{
  /// Crashes within this time count as one episode: a power failure or a reset
  /// of connections ends many engines at once.
  Millis mEpisode{ 250 };
  /// A crash counts against a part that is suspect for at least this share of
  /// the engines that ended with it; a power failure ends engines that have no
  /// part in common.
  double mMinShare = 0.25;
  /// Episodes without a sound answer in between that prove a part harmful.
  std::size_t mProof = 3;
  /// Episodes after which a request with the part is not repeated.
  std::size_t mSuspicion = 2;
  /// Crashes count after this time, within which other instances report sound
  /// answers on the part.
  Millis mHold{ 800 };
  /// A harmful part is tried again after this time without a crash, doubled for
  /// each episode beyond mProof.
  Millis mFirstTrial{ 60000 };
  Millis mLongestTrial{ 600000 };
  /// Crashes kept of a part; the newest ones.
  std::size_t mMaxCrashes = 16;
  /// A part is forgotten this long after its last crash, unless it is harmful.
  Millis mMemory{ 600000 };

  auto operator==(const CrashRules&) const -> bool = default;
};

using EvidenceTable = std::map<SuspectKey, CrashEvidence>;

/// Adds a crash, unless a later sound answer acquits the part of it. Of several
/// reports on one crash the earliest counts, since each relay adds its delay.
auto
AddCrash(CrashEvidence aEvidence,
         const EndpointCrash& aCrash,
         const CrashRules& aRules) -> CrashEvidence;

/// Adds a sound answer; it acquits the part of all earlier crashes.
auto
AddSoundAnswer(CrashEvidence aEvidence, TimePoint aAt) -> CrashEvidence;

/// Returns what two instances know together.
auto
MergeEvidence(CrashEvidence aLeft,
              const CrashEvidence& aRight,
              const CrashRules& aRules) -> CrashEvidence;

/// Sets for each crash how many of aEnds, the ends of engines by the engines'
/// keys, came at about the same time, unless more are known.
auto
CountCompany(CrashEvidence aEvidence,
             const std::map<std::uint64_t, TimePoint>& aEnds,
             const CrashRules& aRules) -> CrashEvidence;

/// Returns the number of episodes.
auto
CountEpisodes(const std::vector<EndpointCrash>& aCrashes,
              const CrashRules& aRules) -> std::size_t;

/// Returns the harmful parts. A crash is evidence against the parts of the
/// answers that the engine had begun, if there were any, and of these against
/// one part only: the one with the most episodes, of equal ones the last in the
/// prompts, so that what many prompts share is not blamed for a part that
/// follows it.
auto
FindHarmful(const EvidenceTable& aTable,
            TimePoint aNow,
            const CrashRules& aRules) -> std::set<SuspectKey>;

/// Returns when one request on a harmful part may be tried. Precondition: the
/// part has a crash.
auto
NextTrialAt(const CrashEvidence& aEvidence, const CrashRules& aRules)
  -> TimePoint;

/// Removes parts without crashes that are acquitted for aRules.mHold * 4, parts
/// that were not suspected again for aRules.mMemory, and the least suspect
/// ones beyond aMaxParts.
auto
ForgetEvidence(EvidenceTable aTable,
               std::size_t aMaxParts,
               TimePoint aNow,
               const CrashRules& aRules) -> EvidenceTable;

} // namespace cuminslip
