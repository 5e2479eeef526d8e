#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "control/types/membership.h"
#include "control/types/storedtemplate.h"
#include "peers/types/peersettings.h"

#include <vector>

/// What an instance tells about the control state and the other instances.
namespace cuminslip {

/// This instance's own standing. See PeerTask::Status.
struct PeerStatus
{
  /// True once a revision is known that is no lower than any in force in the
  /// own failure domain. Never falls back.
  bool mIsReady = false;
  /// True when no quorum of control instances was heard of lately.
  bool mIsIsolated = true;
  /// Time since the quorum was last known to be reached; grows from the start
  /// of the task when it never was.
  Millis mIsolatedFor{ 0 };
  /// Highest template revision in force here.
  Revision mRevision = 0;
  bool mIsControl = false;
  bool mIsLeader = false;
  /// The leader as known here; empty when unknown.
  InstanceId mLeader;
  /// Time for which no template has been in force here; 0 once one is.
  Millis mWithoutDocument{ 0 };
  /// On a control instance, the time for which it has known no leader and the
  /// time for which it has belonged to no control log; else 0.
  Millis mWithoutLeader{ 0 };
  Millis mWithoutLog{ 0 };
  /// Set when the control storage stopped; says why.
  std::string mStorageFailure;

  auto operator==(const PeerStatus&) const -> bool = default;
};

/// Templates whose revision rose; each account at most once.
struct TemplateUpdate
{
  /// Highest template revision in force after this update.
  Revision mRevision = 0;
  std::vector<StoredTemplate> mTemplates;

  auto operator==(const TemplateUpdate&) const -> bool = default;
};

/// Templates with the standing of the instance that answered.
struct TemplateReading
{
  std::vector<StoredTemplate> mTemplates;
  /// False when the answer may be older than what the quorum has accepted.
  bool mIsCurrent = false;

  auto operator==(const TemplateReading&) const -> bool = default;
};

/// Revision in force at one instance.
struct InstanceRevision
{
  InstanceId mInstance;
  FailureDomainId mFailureDomain;
  Revision mRevision = 0;
  bool mIsReachable = false;
  /// Time since it last reported.
  Millis mAge{ 0 };

  auto operator==(const InstanceRevision&) const -> bool = default;
};

/// Revisions in force everywhere, as far as known to the instance asked.
struct RevisionReport
{
  /// Highest accepted template revision that the answering instance knows.
  Revision mAccepted = 0;
  /// True when the answering instance is in touch with the quorum.
  bool mHasQuorum = false;
  InstanceId mLeader;
  Membership mMembership;
  std::vector<InstanceRevision> mInstances;

  auto operator==(const RevisionReport&) const -> bool = default;
};

enum class MembershipAction : std::uint8_t
{
  Add,
  Remove,
  /// Puts the current disk of an instance in place of its former one.
  Replace
};

/// An operator's change of the control membership.
struct MembershipRequest
{
  MembershipAction mAction = MembershipAction::Add;
  PeerInstance mInstance;

  auto operator==(const MembershipRequest&) const -> bool = default;
};

/// mProblem is empty when the change was begun. Learners become voters by
/// themselves once they have caught up.
struct MembershipReply
{
  std::string mProblem;

  auto operator==(const MembershipReply&) const -> bool = default;
};

/// A lease as its holder may rely on it.
struct LeaseGrant
{
  bool mIsHeld = false;
  std::uint64_t mFencing = 0;
  /// End of the lease on this instance's clock, clock drift subtracted.
  TimePoint mValidUntil{};
  /// The current holder.
  std::string mHolder;

  auto operator==(const LeaseGrant&) const -> bool = default;
};

} // namespace cuminslip
