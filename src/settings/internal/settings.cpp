#include "settings/settings.h"

#include "documents/readfile.h"
#include "settings/internal/settingschecks.h"
#include "settings/internal/settingssections.h"

#include <algorithm>

namespace cuminslip {

namespace {

constexpr auto kShortestPeerKey = std::size_t{ 16 };

auto
ReadRoles(documents::Section& aRoot) -> std::vector<Role>
{
  auto roles = std::vector<Role>{};
  for (const auto& name : documents::ReadTexts(aRoot, "roles")) {
    if (name == "entry") {
      roles.push_back(Role::Entry);
    } else if (name == "control") {
      roles.push_back(Role::Control);
    } else {
      documents::AddProblem(
        aRoot, "roles", "unknown role \"" + name + "\"", "entry or control");
    }
  }
  return roles;
}

auto
ReadSettings(documents::Section& aRoot) -> Settings
{
  auto settings = Settings{};
  settings.mInstance.mValue = documents::RequireText(aRoot, "instance");
  settings.mFailureDomain.mValue =
    documents::RequireText(aRoot, "failure_domain");
  settings.mRegion.mValue = documents::RequireText(aRoot, "region");
  settings.mRoles = ReadRoles(aRoot);
  settings.mListen = settings::ReadListenAddresses(aRoot);
  const auto& domain = settings.mFailureDomain;
  settings.mControlInstances =
    settings::ReadInstances(aRoot, "control_instances", domain);
  settings.mDomainInstances =
    settings::ReadInstances(aRoot, "domain_instances", domain);
  settings.mDataFolder = documents::ReadText(aRoot, "data_folder").value_or("");
  settings.mLimits = settings::ReadLimits(aRoot);
  settings.mKeys = settings::ReadKeys(aRoot);
  settings.mTls = settings::ReadTls(aRoot);
  settings.mFencing = settings::ReadFencing(aRoot);
  settings.mWeightStore = settings::ReadWeightStore(aRoot);
  settings.mPolicy = settings::ReadPolicy(aRoot);
  settings.mAdapter = settings::ReadAdapter(aRoot);
  settings.mDiscovery = settings::ReadDiscovery(aRoot);
  settings.mRetries = settings::ReadRetries(aRoot);
  settings.mOverload = settings::ReadOverload(aRoot);
  settings.mWarmUp = settings::ReadWarmUp(aRoot);
  settings.mLog = settings::ReadLog(aRoot);
  documents::CloseSection(aRoot);
  return settings;
}

auto
Trim(const std::string& aText) -> std::string
{
  constexpr auto kSpace = " \t\r\n";
  const auto begin = aText.find_first_not_of(kSpace);
  if (begin == std::string::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kSpace) - begin + 1);
}

} // namespace

auto
HasRole(const Settings& aSettings, Role aRole) -> bool
{
  const auto& roles = aSettings.mRoles;
  return std::find(roles.begin(), roles.end(), aRole) != roles.end();
}

auto
MaxPeerConnections(const InstanceLimits& aLimits) -> std::size_t
{
  constexpr auto kShare = std::int64_t{ 4 };
  constexpr auto kLeast = std::int64_t{ 16 };
  return static_cast<std::size_t>(
    std::max(aLimits.mMaxConnections / kShare, kLeast));
}

auto
ParseSettings(const std::string& aText, const std::string& aSource)
  -> leaf::result<Settings>
{
  auto document = documents::ReadDocument(aText, aSource);
  if (!IsEmpty(document.mFindings)) {
    return leaf::new_error(document.mFindings);
  }
  auto root = documents::OpenRoot(document);
  auto settings = ReadSettings(root);
  settings::CheckSettings(root, settings);
  if (!IsEmpty(document.mFindings)) {
    return leaf::new_error(documents::TakeFindings(document));
  }
  return settings;
}

auto
LoadSettings(const std::string& aPath) -> leaf::result<Settings>
{
  BOOST_LEAF_AUTO(text, documents::ReadFile(aPath));
  return ParseSettings(text, aPath);
}

auto
LoadPeerKey(const Settings& aSettings) -> leaf::result<std::string>
{
  const auto& path = aSettings.mKeys.mPeerFile;
  if (path.empty()) {
    return std::string{};
  }
  BOOST_LEAF_AUTO(text, documents::ReadFile(path));
  auto key = Trim(text);
  if (key.size() < kShortestPeerKey) {
    return leaf::new_error(
      Findings{ { { { path, 0, 0 }, "", "too short", "16 characters" } } });
  }
  return key;
}

} // namespace cuminslip
