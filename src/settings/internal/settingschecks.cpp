#include "settings/internal/settingschecks.h"

#include <algorithm>
#include <array>

namespace cuminslip::settings {

namespace {

using documents::AddProblem;
using documents::Section;

constexpr auto kMaxControlInstances = std::size_t{ 7 };

struct Listener
{
  const char* mKey;
  const std::optional<wire::SocketAddress>* mAddress;
};

auto
ListListeners(const ListenAddresses& aListen) -> std::array<Listener, 6>
{
  return { Listener{ "listen.caller", &aListen.mCaller },
           Listener{ "listen.operator", &aListen.mOperator },
           Listener{ "listen.endpoint", &aListen.mEndpoint },
           Listener{ "listen.platform", &aListen.mPlatform },
           Listener{ "listen.peer", &aListen.mPeer },
           Listener{ "listen.relay", &aListen.mRelay } };
}

auto
CheckListeners(Section& aRoot, const Settings& aSettings) -> void
{
  const auto listeners = ListListeners(aSettings.mListen);
  for (auto i = std::size_t{ 0 }; i < listeners.size(); ++i) {
    for (auto j = std::size_t{ 0 }; j < i; ++j) {
      const auto& address = *listeners[i].mAddress;
      if (address && address == *listeners[j].mAddress) {
        AddProblem(aRoot,
                   "listen",
                   std::string(listeners[i].mKey) + " has the address of " +
                     listeners[j].mKey,
                   "an address of its own for each interface");
      }
    }
  }
}

auto
RequireListener(Section& aRoot,
                const char* aKey,
                const std::optional<wire::SocketAddress>& aAddress,
                const std::string& aReason) -> void
{
  auto listen = documents::OpenSection(aRoot, "listen");
  if (!aAddress && !documents::HasKey(listen, aKey)) {
    AddProblem(listen, aKey, "missing", "IP:PORT, since " + aReason);
  }
}

auto
CheckRoles(Section& aRoot, const Settings& aSettings) -> void
{
  const auto& listen = aSettings.mListen;
  if (aSettings.mRoles.empty()) {
    AddProblem(aRoot, "roles", "none", "entry, control or both");
  }
  if (HasRole(aSettings, Role::Entry)) {
    const auto reason = std::string("the instance has the entry role");
    RequireListener(aRoot, "caller", listen.mCaller, reason);
    if (aSettings.mAdapter == AdapterKind::None) {
      RequireListener(aRoot, "endpoint", listen.mEndpoint, reason);
    }
  }
  if (listen.mRelay && !listen.mPeer) {
    RequireListener(
      aRoot, "peer", listen.mPeer, "instances that relay hear of each other");
  }
  RequireListener(
    aRoot, "platform", listen.mPlatform, "the platform asks for liveness");
  if (HasRole(aSettings, Role::Control) && aSettings.mDataFolder.empty()) {
    AddProblem(aRoot,
               "data_folder",
               "missing",
               "a folder, since the instance has the control role");
  }
}

auto
FindSelf(const Settings& aSettings) -> const InstanceAddress*
{
  const auto& instances = aSettings.mControlInstances;
  const auto it =
    std::find_if(instances.begin(), instances.end(), [&](const auto& aOther) {
      return aOther.mId == aSettings.mInstance;
    });
  return it == instances.end() ? nullptr : &*it;
}

auto
CheckSelf(Section& aRoot,
          const Settings& aSettings,
          const InstanceAddress& aSelf) -> void
{
  if (!HasRole(aSettings, Role::Control)) {
    AddProblem(aRoot,
               "control_instances",
               "lists this instance, which has no control role",
               "the control role in roles, or no such entry");
  }
  if (aSettings.mListen.mPeer && aSelf.mAddress != *aSettings.mListen.mPeer) {
    AddProblem(aRoot,
               "control_instances",
               "gives this instance another address than listen.peer",
               "the same address");
  }
  if (aSelf.mFailureDomain != aSettings.mFailureDomain) {
    AddProblem(aRoot,
               "control_instances",
               "gives this instance another failure domain",
               aSettings.mFailureDomain.mValue);
  }
}

/// With discovery the control instances are not listed.
auto
CheckDiscovery(Section& aRoot, const Settings& aSettings) -> void
{
  RequireListener(
    aRoot, "peer", aSettings.mListen.mPeer, "there are seeds to talk to");
  if (!aSettings.mControlInstances.empty()) {
    AddProblem(aRoot,
               "control_instances",
               "given beside discovery.seeds",
               "one of the two");
  }
  if (aSettings.mRoles.size() > 1) {
    AddProblem(aRoot,
               "roles",
               "both, with discovery.seeds",
               "entry or control, each in a process of its own");
  }
  const auto& peer = aSettings.mListen.mPeer;
  if (peer && peer->mPort != aSettings.mDiscovery.mPeerPort) {
    AddProblem(aRoot,
               "listen",
               "peer has another port than discovery.peer_port",
               "the port that all instances use");
  }
}

auto
CheckControlInstances(Section& aRoot, const Settings& aSettings) -> void
{
  if (!aSettings.mDiscovery.mSeeds.empty()) {
    CheckDiscovery(aRoot, aSettings);
    return;
  }
  const auto& instances = aSettings.mControlInstances;
  const auto isControl = HasRole(aSettings, Role::Control);
  const auto* self = FindSelf(aSettings);
  if (self != nullptr) {
    CheckSelf(aRoot, aSettings, *self);
  }
  if (instances.empty() && !isControl) {
    AddProblem(aRoot,
               "control_instances",
               "none",
               "the control instances, or the control role");
  }
  if (!instances.empty() && isControl && self == nullptr) {
    AddProblem(aRoot,
               "control_instances",
               "does not list this instance, which has the control role",
               "an entry with the id " + aSettings.mInstance.mValue);
  }
  const auto isEven = !instances.empty() && instances.size() % 2 == 0;
  if (isEven || instances.size() > kMaxControlInstances) {
    AddProblem(aRoot,
               "control_instances",
               "lists " + std::to_string(instances.size()),
               "1, 3, 5 or 7: an even number survives no more failures");
  }
}

auto
CheckDomainInstances(Section& aRoot, const Settings& aSettings) -> void
{
  for (const auto& other : aSettings.mDomainInstances) {
    if (other.mId == aSettings.mInstance) {
      AddProblem(aRoot,
                 "domain_instances",
                 "lists this instance",
                 "only the others of the failure domain");
    }
    if (other.mFailureDomain != aSettings.mFailureDomain) {
      AddProblem(aRoot,
                 "domain_instances",
                 "lists " + other.mId.mValue + " of another failure domain",
                 "instances of " + aSettings.mFailureDomain.mValue);
    }
  }
}

auto
CheckPeers(Section& aRoot, const Settings& aSettings) -> void
{
  const auto& control = aSettings.mControlInstances;
  const auto hasOtherControl =
    std::any_of(control.begin(), control.end(), [&](const auto& aOther) {
      return aOther.mId != aSettings.mInstance;
    });
  if (!hasOtherControl && aSettings.mDomainInstances.empty()) {
    return;
  }
  RequireListener(
    aRoot, "peer", aSettings.mListen.mPeer, "there are other instances");
  auto keys = documents::OpenSection(aRoot, "keys");
  if (aSettings.mKeys.mPeerFile.empty()) {
    AddProblem(keys,
               "peer_file",
               "missing",
               "a file with the peer key, since there are other instances");
  }
}

} // namespace

auto
CheckSettings(Section& aRoot, const Settings& aSettings) -> void
{
  CheckListeners(aRoot, aSettings);
  CheckRoles(aRoot, aSettings);
  CheckControlInstances(aRoot, aSettings);
  CheckDomainInstances(aRoot, aSettings);
  CheckPeers(aRoot, aSettings);
}

} // namespace cuminslip::settings
