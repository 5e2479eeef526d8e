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

/// The endpoints that an instance knows: a controller without I/O. Not thread
/// safe; one task owns it and passes the time in. Times may not go backwards.
namespace cuminslip::endpoints {

/// Work sent within a short span of time.
struct SentSpan
{
  TimePoint mBegin;
  SentSinceReport mSent;
};

/// How an endpoint's calls ended of late.
struct CallRecord
{
  CallHealth mHealth;
  TimePoint mLastFailure;
  Millis mRetryDelay{ 0 };
  /// When the one call was sent that tries a suspect endpoint again.
  std::optional<TimePoint> mTrialSentAt;
};

/// One endpoint. mLatest is its newest announcement, without cache events; its
/// load may be newer than the rest and has a sequence of its own.
struct EndpointEntry
{
  Announcement mLatest;
  std::uint64_t mLoadSequence = 0;
  TimePoint mHeardAt;
  TimePoint mLoadTakenAt;
  /// When the holdings were last reported here; peers don't share them.
  std::optional<TimePoint> mHoldingsHeardAt;
  /// When this incarnation was first heard of.
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

/// What became of an announcement.
struct ApplyOutcome
{
  /// False for one that is older than what is known, or refused.
  bool mIsNews = false;
  AnnounceAnswer mAnswer;
  std::vector<EndpointChange> mChanges;

  auto operator==(const ApplyOutcome&) const -> bool = default;
};

/// How a call to an endpoint ended.
enum class CallResult : std::uint8_t
{
  Succeeded,
  /// Not connected, broken, timed out or not understood.
  Failed,
  /// The endpoint answered that it would not take the work.
  Refused
};

/// Takes in an announcement that was made aAge before aNow. Precondition: it
/// was decoded by DecodeAnnouncement or is as valid as that.
auto
ApplyAnnouncement(Registry& aRegistry,
                  const Announcement& aAnnouncement,
                  TimePoint aNow,
                  Millis aAge = Millis(0)) -> ApplyOutcome;

/// Takes in the holdings of a state document that was asked for at aAskedAt.
/// Ignored for other incarnations, and when later holdings are known.
auto
NoteHoldings(Registry& aRegistry,
             const Announcement& aState,
             TimePoint aAskedAt) -> void;

/// Takes in what a peer knows of an endpoint: all but load, cache events and
/// holdings, which stay as they are.
auto
LearnEndpoint(Registry& aRegistry,
              const Announcement& aAnnouncement,
              TimePoint aNow,
              Millis aAge) -> ApplyOutcome;

/// A load report that came through a peer.
struct LearnedLoad
{
  EndpointId mEndpoint;
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0;
  LoadReport mLoad;
  /// Since the endpoint announced it.
  Millis mAge{ 0 };
  /// Since the endpoint took its figures.
  Millis mLoadAge{ 0 };

  auto operator==(const LearnedLoad&) const -> bool = default;
};

/// Takes in a load report, which also shows that the endpoint lives. Returns
/// false if it is not news, or of another incarnation.
auto
LearnLoad(Registry& aRegistry, const LearnedLoad& aLoad, TimePoint aNow)
  -> bool;

/// Takes in a peer's word on a drain. Returns the change, if it is one.
auto
LearnDrain(Registry& aRegistry,
           const EndpointId& aEndpoint,
           std::uint32_t aVersion,
           bool aIsDrained) -> std::vector<EndpointChange>;

/// What can be seen of all endpoints at aNow, in the order of their ids.
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

/// Counts a stream that is being sent to the endpoint.
auto
NoteSent(Registry& aRegistry,
         const EndpointId& aEndpoint,
         std::int64_t aPromptTokens,
         TimePoint aNow) -> void;

/// Counts that a stream counted by NoteSent is over, however it ended.
auto
NoteEnded(Registry& aRegistry,
          const EndpointId& aEndpoint,
          std::int64_t aPromptTokens) -> void;

/// Takes in how a call ended.
auto
NoteCallResult(Registry& aRegistry,
               const EndpointId& aEndpoint,
               CallResult aResult,
               TimePoint aNow) -> void;

/// Takes in measured divided by predicted time to first token.
auto
NoteSlowness(Registry& aRegistry, const EndpointId& aEndpoint, double aRatio)
  -> void;

/// Starts or ends a drain. No changes when the endpoint is not known or
/// already in that state.
auto
SetDrained(Registry& aRegistry, const EndpointId& aEndpoint, bool aIsDrained)
  -> std::vector<EndpointChange>;

/// Tokens of the longest prefix that the endpoint is believed to have cached;
/// aPrefixHashes as in a stream request. A guess: events come late.
auto
CachedTokens(const Registry& aRegistry,
             const EndpointId& aEndpoint,
             const std::vector<std::string>& aPrefixHashes) -> std::int64_t;

/// Endpoints whose cache events have a gap, to be asked for their state.
auto
EndpointsToResync(const Registry& aRegistry) -> std::vector<EndpointId>;

/// To be called a few times a second: notices suspicion and recovery, forgets
/// endpoints silent for long, and credits pauses of this process.
auto
TickRegistry(Registry& aRegistry, TimePoint aNow)
  -> std::vector<EndpointChange>;

/// Writes one log line.
auto
LogEndpointChange(const EndpointChange& aChange) -> void;

} // namespace cuminslip::endpoints
