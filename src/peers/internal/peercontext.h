#pragma once

#include "directory/endpointtable.h"
#include "peers/internal/controlnode.h"
#include "peers/internal/peerlinks.h"
#include "peers/internal/templatecache.h"
#include "peers/peertask.h"

#include <list>
#include <optional>

namespace cuminslip {

/// What another instance said when it last pulled templates.
struct Subscriber
{
  /// Peer address of an entry instance that watches this one; may be empty.
  std::string mAddress;
  FailureDomainId mFailureDomain;
  Revision mRevision = 0;
  TimePoint mHeard{};
  /// It waits for news now.
  int mPulls = 0;
};

/// What the parts of one peer task share. Peer thread only.
struct PeerContext
{
  const PeerSettings& mSettings;
  const PeerCallbacks& mCallbacks;
  kj::Timer& mTimer;
  kj::TaskSet& mTasks;
  PeerLinks& mLinks;
  NowFunction mNow;
  /// Null on an instance without a disk.
  std::unique_ptr<ControlNode> mControl;
  TemplateCache mCache;
  std::map<InstanceId, Subscriber> mSubscribers;
  /// Wakes the pulls that wait for a higher revision.
  std::list<kj::Own<kj::PromiseFulfiller<void>>> mWaiting;
  /// Endpoints as heard here; used on control instances.
  directory::EndpointTable mEndpoints;
  /// Tells followers that mEndpoints began anew.
  std::uint64_t mEndpointsEpoch = 0;
  /// Heard here since the other control instances were last told.
  std::vector<directory::EndpointNotice> mUnshared;
  TimePoint mSharedAt{};
  /// Wakes the watches that wait for news.
  std::list<kj::Own<kj::PromiseFulfiller<void>>> mWaitingWatches;
  /// Control instances learnt from others, by address.
  std::map<std::string, PeerInstance> mLearntControls;
  /// When a quorum was last known to be reached; none if never.
  std::optional<TimePoint> mQuorumContact;
  /// Makes a change of readiness or of quorum contact known at once.
  std::function<void()> mOnStandingChanged;
  TimePoint mStarted{};
  bool mIsReady = false;
  bool mWasIsolated = true;
  std::string mLeaderHint;
  /// This instance may found a control log; see KeepFoundingPermit.
  bool mMayFound = false;
  /// Rounds in a row in which an answer timed out.
  int mLateRounds = 0;
  /// When a founding or joining round without a result was last logged.
  std::optional<TimePoint> mRoundLogged;
  /// No new tasks may begin.
  bool mIsStopping = false;
};

/// Puts templates in force: keeps the newer ones, tells the callback and those
/// that wait.
auto
PutInForce(PeerContext& aContext, std::vector<StoredTemplate> aTemplates)
  -> void;

/// Takes the age of the quorum contact that another instance told in answer to
/// a request sent at aSentAt; negative when it never had any. The transit
/// counts as age, so that two instances that tell each other never seem to grow
/// younger.
auto
TakeQuorumAge(PeerContext& aContext, Millis aAge, TimePoint aSentAt) -> void;

/// True when an instance that tells this age of its quorum contact can be
/// followed; negative when it never had any. Thread safe.
auto
IsFreshAge(Millis aAge) -> bool;

/// Makes this instance ready; a second call changes nothing.
auto
BecomeReady(PeerContext& aContext) -> void;

/// Time since the quorum was last known to be reached, by the control log or
/// by a source of templates; none when never.
auto
QuorumAgeNow(const PeerContext& aContext) -> std::optional<Millis>;

/// True when no quorum was heard of lately.
auto
IsIsolatedNow(const PeerContext& aContext) -> bool;

/// True when this instance holds the control state itself: its disk belongs to
/// a control log and can be trusted.
auto
TakesPartInControl(const PeerContext& aContext) -> bool;

/// The control instances known here: those of the settings, the members of the
/// control log and those learnt from others.
auto
KnownControls(const PeerContext& aContext) -> std::vector<PeerInstance>;

/// Answers the watches that wait.
auto
WakeWatches(PeerContext& aContext) -> void;

/// Addresses of the control instances but this one; the ones of the own
/// failure domain first.
auto
OtherControls(const PeerContext& aContext) -> std::vector<std::string>;

/// Addresses of other instances of the own failure domain.
auto
OtherDomainInstances(const PeerContext& aContext) -> std::vector<std::string>;

} // namespace cuminslip
