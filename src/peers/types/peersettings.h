#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "control/types/coreio.h"
#include "directory/endpointtable.h"

#include <optional>
#include <vector>

/// What an instance is told about itself and the other instances.
namespace cuminslip {

/// Another instance, by its peer address "IP:PORT".
struct PeerInstance
{
  InstanceId mInstance;
  std::string mAddress;
  FailureDomainId mFailureDomain;

  auto operator==(const PeerInstance&) const -> bool = default;
};

struct PeerSettings
{
  InstanceId mInstance;
  FailureDomainId mFailureDomain;
  /// Address to listen on and to be reached at, "IP:PORT".
  std::string mAddress;
  /// Shared secret of all instances; not empty.
  std::string mPeerKey;
  /// Folder of a control instance; absent for an instance without a disk.
  std::optional<std::string> mDataFolder;
  /// All control instances, this one included if it is one. Not empty.
  std::vector<PeerInstance> mControlInstances;
  /// Instances of the own failure domain, this one may be included.
  std::vector<PeerInstance> mDomainInstances;
  /// The control instances above are only where to begin: more are learnt from
  /// them, and this instance follows all that it knows.
  bool mFollowsAllControls = false;
  /// A control log may be founded when no control instance has one. Permitted
  /// once, it stays so for this data folder and these control instances.
  bool mMayFound = true;
  /// Who may join the control log without an operator.
  JoinRule mJoinRule = JoinRule::Expected;
  directory::TableSettings mEndpointTable;
  /// Connections that other instances may have open here.
  std::size_t mMaxConnections = 1024;
  /// Longest time for which a proposal is tried.
  Millis mProposalTime{ 5000 };

  auto operator==(const PeerSettings&) const -> bool = default;
};

} // namespace cuminslip
