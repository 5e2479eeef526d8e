#pragma once

#include "endpoints/prefixindex.h"
#include "endpoints/types/announcement.h"
#include "endpoints/types/endpointchange.h"
#include "endpoints/types/registrysettings.h"
#include "policy/types/endpointview.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Registry of the endpoints that an instance knows. Does no I/O. Not thread
/// safe; one task owns it and passes in the time, which must not go backwards.
namespace cuminslip::endpoints {

/// Work sent to an endpoint within a short time span.
struct SentSpan
{
  TimePoint mBegin;
  SentSinceReport mSent;
};

/// Recent results of calls to an endpoint.
struct CallRecord
{
  CallHealth mHealth;
  TimePoint mLastFailure;
  Millis mRetryDelay{ 0 };
  /// When the pending trial call to a suspect endpoint was sent. No further
  /// trial is allowed until it ends or mRetryDelay has passed since then.
  std::optional<TimePoint> mTrialSentAt;
};

/// One endpoint. mLatest is its newest announcement, without cache events. The
/// load has its own sequence, since it may be newer than the rest.
struct EndpointEntry
{
  Announcement mLatest;
  std::uint64_t mLoadSequence = 0;
  TimePoint mHeardAt;
  TimePoint mLoadTakenAt;
  /// When the holdings were last reported to this instance; peers don't share
  /// them.
  std::optional<TimePoint> mHoldingsHeardAt;
  /// When this incarnation was first seen.
  TimePoint mFirstHeardAt;
  bool mIsDrained = false;
  /// Counts the starts and ends of drains of this incarnation.
  std::uint32_t mDrainVersion = 0;
  bool mIsDisplaced = false;
  bool mWasSuspect = false;
  std::deque<SentSpan> mSent;
  CallRecord mCalls;
  std::int64_t mOwnStreams = 0;
  std::int64_t mOwnTokens = 0;
  PrefixIndex mPrefixes;
};

struct Registry
{
  RegistrySettings mSettings;
  std::map<EndpointId, EndpointEntry> mEntries;
  TimePoint mLastTick;
};

/// Result of applying an announcement.
struct ApplyOutcome
{
  /// False if the announcement is not newer than the entry, or was refused.
  bool mIsNews = false;
  AnnounceAnswer mAnswer;
  std::vector<EndpointChange> mChanges;

  auto operator==(const ApplyOutcome&) const -> bool = default;
};

/// How a call to an endpoint ended.
enum class CallResult : std::uint8_t
{
  Succeeded,
  /// Connection failed or broke, timed out, or the response was invalid.
  Failed,
  /// The endpoint answered that it does not accept the work.
  Refused
};

/// Applies an announcement that was made aAge before aNow. Precondition: it was
/// decoded by DecodeAnnouncement or meets the same constraints.
auto
ApplyAnnouncement(Registry& aRegistry,
                  const Announcement& aAnnouncement,
                  TimePoint aNow,
                  Millis aAge = Millis(0)) -> ApplyOutcome;

/// Stores the holdings of a state document that was requested at aAskedAt.
/// Ignored for other incarnations, and if newer holdings are known.
auto
NoteHoldings(Registry& aRegistry,
             const Announcement& aState,
             TimePoint aAskedAt) -> void;

/// Applies a peer's record of an endpoint. The entry keeps its load (but for
/// its sizes), cache events and holdings.
auto
LearnEndpoint(Registry& aRegistry,
              const Announcement& aAnnouncement,
              TimePoint aNow,
              Millis aAge) -> ApplyOutcome;

/// A load report received from a peer.
struct LearnedLoad
{
  EndpointId mEndpoint;
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0;
  LoadReport mLoad;
  /// Time since the endpoint announced it.
  Millis mAge{ 0 };
  /// Time since the endpoint measured it.
  Millis mLoadAge{ 0 };

  auto operator==(const LearnedLoad&) const -> bool = default;
};

/// Applies a load report, which also proves that the endpoint is alive. Returns
/// false if it is not newer than the entry's, or of another incarnation.
auto
LearnLoad(Registry& aRegistry, const LearnedLoad& aLoad, TimePoint aNow)
  -> bool;

/// Applies a peer's drain state if its version is newer. Of two states with the
/// same version, the drained one is kept. Returns the change, if any.
auto
LearnDrain(Registry& aRegistry,
           const EndpointId& aEndpoint,
           std::uint32_t aVersion,
           bool aIsDrained) -> std::vector<EndpointChange>;

/// Views of all endpoints at aNow, sorted by id.
auto
ViewsAt(const Registry& aRegistry, TimePoint aNow) -> std::vector<EndpointView>;

/// One endpoint's view, if it is known.
auto
ViewAt(const Registry& aRegistry, const EndpointId& aEndpoint, TimePoint aNow)
  -> std::optional<EndpointView>;

/// Why the endpoint is suspect at aNow; empty when it is not.
auto
ExplainSuspicion(const RegistrySettings& aSettings,
                 const EndpointEntry& aEntry,
                 TimePoint aNow) -> std::string;

/// Counts a stream that is being sent to the endpoint. Once mSuspicionLimit
/// consecutive calls have failed, the stream is recorded as a trial call.
auto
NoteSent(Registry& aRegistry,
         const EndpointId& aEndpoint,
         std::int64_t aPromptTokens,
         TimePoint aNow) -> void;

/// Counts the end of a stream counted by NoteSent, whatever its result.
auto
NoteEnded(Registry& aRegistry,
          const EndpointId& aEndpoint,
          std::int64_t aPromptTokens) -> void;

/// Records the result of a call.
auto
NoteCallResult(Registry& aRegistry,
               const EndpointId& aEndpoint,
               CallResult aResult,
               TimePoint aNow) -> void;

/// Records a ratio of measured to predicted time to first token. A ratio that
/// is not finite is ignored.
auto
NoteSlowness(Registry& aRegistry, const EndpointId& aEndpoint, double aRatio)
  -> void;

/// Starts or ends a drain. Returns no change if the endpoint is unknown or
/// already in that state.
auto
SetDrained(Registry& aRegistry, const EndpointId& aEndpoint, bool aIsDrained)
  -> std::vector<EndpointChange>;

/// Estimated tokens of the longest prefix that the endpoint has cached;
/// aPrefixHashes is as in a stream request. Cache events arrive late, so the
/// estimate may be wrong.
auto
CachedTokens(const Registry& aRegistry,
             const EndpointId& aEndpoint,
             const std::vector<std::string>& aPrefixHashes) -> std::int64_t;

/// Endpoints whose cache events have a gap; their state should be requested.
auto
EndpointsToResync(const Registry& aRegistry) -> std::vector<EndpointId>;

/// Call it a few times a second. Detects suspicion and recovery, removes
/// endpoints silent for mForgetAfter, and excludes pauses of this process from
/// the endpoints' silence.
auto
TickRegistry(Registry& aRegistry, TimePoint aNow)
  -> std::vector<EndpointChange>;

/// Logs the change as one event.
auto
LogEndpointChange(const EndpointChange& aChange) -> void;

} // namespace cuminslip::endpoints
