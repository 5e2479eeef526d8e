#pragma once

#include "base/clock.h"
#include "base/types/ids.h"

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
  /// Longest time for which a proposal is tried.
  Millis mProposalTime{ 5000 };

  auto operator==(const PeerSettings&) const -> bool = default;
};

} // namespace cuminslip
