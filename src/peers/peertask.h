#pragma once

#include "base/findings.h"
#include "control/types/command.h"
#include "directory/types/entryinstance.h"
#include "peers/types/peerreports.h"
#include "peers/types/peersettings.h"

#include <functional>
#include <memory>

/// The task of one instance that talks to the other instances. It owns the
/// peer sockets and, on a control instance, the control log and its disk.
namespace cuminslip {

/// Called on the peer thread; must return soon and post to its own task.
struct PeerCallbacks
{
  /// Templates in force here rose. The first call may bring a full set; the
  /// revision never falls.
  std::function<void(const TemplateUpdate&)> mOnTemplates;
  /// A control instance told news of endpoints, or is reached again.
  std::function<void(const directory::EndpointsUpdate&)> mOnEndpoints;
  /// A control instance can no longer be reached: what it told of silence is
  /// void.
  std::function<void(const std::string& aSource)> mOnSourceLost;
  /// The entry instances that any reachable control instance knows, this one
  /// included, in order.
  std::function<void(const std::vector<directory::EntryInstance>&)> mOnEntries;
  /// A message sent by SendToPeer of another instance.
  std::function<void(const InstanceId& aFrom, const std::string& aBytes)>
    mOnPeerMessage;
};

using CommandReply = std::function<void(const CommandResult&)>;

/// All functions are thread safe. Replies come exactly once, on the peer
/// thread, also when the task stops first (with CommandStatus::NoQuorum or an
/// empty value). Commands are tried at any leader until
/// PeerSettings::mProposalTime is over; all of them may be sent again.
class PeerTask
{
public:
  virtual ~PeerTask() = default;

  /// Proposes a change of the control state. Every Command but publishing,
  /// leases and membership has no function of its own: pass it here.
  virtual auto Propose(Command aCommand, CommandReply aReply) -> void = 0;

  /// Acquires or renews a lease; renewing by the holder keeps mFencing, any
  /// other acquisition raises it.
  virtual auto AcquireLease(LeaseCommand aLease,
                            std::function<void(const LeaseGrant&)> aReply)
    -> void = 0;

  /// The templates in force here.
  virtual auto ReadTemplates(std::function<void(const TemplateReading&)> aReply)
    -> void = 0;

  /// Earlier and current revisions of one account, newest first, from a
  /// control instance. Empty when none can be reached.
  virtual auto ReadHistory(AccountId aAccount,
                           std::function<void(const TemplateReading&)> aReply)
    -> void = 0;

  /// Answers fetch of submitted work by its own account: Finished with the
  /// result, InProgress, NotFound, or NoQuorum.
  virtual auto FetchWork(AccountId aAccount,
                         std::string aWork,
                         CommandReply aReply) -> void = 0;

  /// Tells the control instances what an endpoint said. Replies once this one
  /// has taken it; false when it is of no use here.
  virtual auto TakeNotice(directory::EndpointNotice aNotice,
                          std::function<void(bool)> aReply) -> void = 0;

  /// Names control instances besides those of the settings.
  virtual auto AddControls(std::vector<PeerInstance> aControls) -> void = 0;

  virtual auto ChangeMembership(
    MembershipRequest aRequest,
    std::function<void(const MembershipReply&)> aReply) -> void = 0;

  /// Collects the revision in force of all known instances.
  virtual auto ReportRevisions(
    std::function<void(const RevisionReport&)> aReply) -> void = 0;

  /// Sends bytes one way, at most once. Lost when the peer can't be reached.
  virtual auto SendToPeer(std::string aAddress, std::string aBytes) -> void = 0;

  /// The standing of this instance as of now.
  virtual auto Status() const -> PeerStatus = 0;
};

/// Starts the task in its own thread and listens. Stops when destroyed, which
/// waits for the thread. Fails with Findings when the address can't be used or
/// the data folder is corrupt.
auto
StartPeerTask(PeerSettings aSettings, PeerCallbacks aCallbacks)
  -> leaf::result<std::unique_ptr<PeerTask>>;

} // namespace cuminslip
