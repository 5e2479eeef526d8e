#include "settings/internal/settingssections.h"

#include <algorithm>
#include <array>
#include <limits>

namespace cuminslip::settings {

namespace {

using documents::AddProblem;
using documents::Choice;
using documents::CloseSection;
using documents::Item;
using documents::OpenSection;
using documents::Section;

constexpr auto kAddressForm = "IP:PORT, as 127.0.0.1:8000";
constexpr auto kSha256Digits = std::size_t{ 64 };
constexpr auto kHighestCount = 1e9;

constexpr auto kFencingChoices = std::array{
  Choice<FencingSupport>{ "announced", FencingSupport::Announced },
  Choice<FencingSupport>{ "checked", FencingSupport::Checked },
  Choice<FencingSupport>{ "unchecked", FencingSupport::Unchecked },
};

constexpr auto kPlacementChoices = std::array{
  Choice<PlacementPolicy>{ "best", PlacementPolicy::Best },
  Choice<PlacementPolicy>{ "round_robin", PlacementPolicy::RoundRobin },
  Choice<PlacementPolicy>{ "least_outstanding",
                           PlacementPolicy::LeastOutstanding },
  Choice<PlacementPolicy>{ "least_reported", PlacementPolicy::LeastReported },
};

constexpr auto kQueueChoices = std::array{
  Choice<QueuePolicy>{ "fair", QueuePolicy::Fair },
  Choice<QueuePolicy>{ "first_come", QueuePolicy::FirstCome },
};

constexpr auto kAdapterChoices = std::array{
  Choice<AdapterKind>{ "none", AdapterKind::None },
  Choice<AdapterKind>{ "platform", AdapterKind::Platform },
};

constexpr auto kLevelChoices = std::array{
  Choice<Severity>{ "debug", Severity::Debug },
  Choice<Severity>{ "info", Severity::Info },
  Choice<Severity>{ "warning", Severity::Warning },
  Choice<Severity>{ "error", Severity::Error },
};

auto
ReadAddress(Section& aSection, const std::string& aKey)
  -> std::optional<wire::SocketAddress>
{
  const auto text = documents::ReadText(aSection, aKey);
  if (!text) {
    return std::nullopt;
  }
  auto address = wire::ParseAddress(*text);
  if (!address) {
    AddProblem(aSection, aKey, "is \"" + *text + "\"", kAddressForm);
  }
  return address;
}

auto
ReadInstance(documents::Document& aDocument,
             const Item& aItem,
             const FailureDomainId& aDomain) -> InstanceAddress
{
  auto section = OpenSection(aDocument, aItem);
  auto instance = InstanceAddress{};
  instance.mId.mValue = documents::RequireText(section, "id");
  const auto address = ReadAddress(section, "address");
  if (!documents::HasKey(section, "address")) {
    AddProblem(section, "address", "missing", kAddressForm);
  }
  instance.mAddress = address.value_or(wire::SocketAddress{});
  instance.mFailureDomain.mValue =
    documents::ReadText(section, "failure_domain").value_or(aDomain.mValue);
  CloseSection(section);
  return instance;
}

auto
IsSha256(const std::string& aText) -> bool
{
  return aText.size() == kSha256Digits &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

auto
ReadKeyEntry(documents::Document& aDocument,
             const Item& aItem,
             const std::string& aNameKey) -> KeyEntry
{
  auto section = OpenSection(aDocument, aItem);
  auto entry = KeyEntry{};
  entry.mSha256 = documents::RequireText(section, "sha256");
  if (!entry.mSha256.empty() && !IsSha256(entry.mSha256)) {
    AddProblem(section,
               "sha256",
               "not a hash",
               "64 lower-case hexadecimal digits, as cuminslip key-hash "
               "prints them");
  }
  entry.mName = documents::RequireText(section, aNameKey);
  CloseSection(section);
  return entry;
}

auto
ReadKeyEntries(Section& aKeys,
               const std::string& aKey,
               const std::string& aNameKey,
               std::vector<std::string>& aSeen) -> std::vector<KeyEntry>
{
  auto entries = std::vector<KeyEntry>{};
  for (const auto& item : documents::ReadItems(aKeys, aKey)) {
    entries.push_back(ReadKeyEntry(*aKeys.mDocument, item, aNameKey));
    const auto& hash = entries.back().mSha256;
    if (std::find(aSeen.begin(), aSeen.end(), hash) != aSeen.end()) {
      AddProblem(*aKeys.mDocument,
                 item,
                 "this key stands twice",
                 "a key of its own for each user and interface");
    }
    aSeen.push_back(hash);
  }
  return entries;
}

} // namespace

auto
ReadListenAddresses(Section& aRoot) -> ListenAddresses
{
  auto section = OpenSection(aRoot, "listen");
  auto listen = ListenAddresses{};
  listen.mCaller = ReadAddress(section, "caller");
  listen.mOperator = ReadAddress(section, "operator");
  listen.mEndpoint = ReadAddress(section, "endpoint");
  listen.mPlatform = ReadAddress(section, "platform");
  listen.mPeer = ReadAddress(section, "peer");
  listen.mRelay = ReadAddress(section, "relay");
  CloseSection(section);
  return listen;
}

auto
ReadInstances(Section& aRoot,
              const std::string& aKey,
              const FailureDomainId& aDomain) -> std::vector<InstanceAddress>
{
  auto instances = std::vector<InstanceAddress>{};
  for (const auto& item : documents::ReadItems(aRoot, aKey)) {
    const auto instance = ReadInstance(*aRoot.mDocument, item, aDomain);
    for (const auto& other : instances) {
      if (other.mId == instance.mId) {
        AddProblem(*aRoot.mDocument, item, "id stands twice", "each id once");
      }
      if (other.mAddress == instance.mAddress) {
        AddProblem(*aRoot.mDocument,
                   item,
                   "address stands twice",
                   "an address of its own for each instance");
      }
    }
    instances.push_back(instance);
  }
  return instances;
}

auto
ReadLimits(Section& aRoot) -> InstanceLimits
{
  auto section = OpenSection(aRoot, "limits");
  const auto base = InstanceLimits{};
  auto limits = InstanceLimits{};
  const auto counts = documents::Bounds{ 1, kHighestCount };
  limits.mMaxBodyBytes =
    documents::ReadBytes(section, "body", base.mMaxBodyBytes);
  limits.mMaxMemoryBytes =
    documents::ReadBytes(section, "memory", base.mMaxMemoryBytes);
  limits.mMaxHeadBytes =
    documents::ReadBytes(section, "head", base.mMaxHeadBytes);
  limits.mMaxConnections = documents::ReadInteger(
    section, "connections", base.mMaxConnections, counts);
  limits.mRequestTimeout =
    documents::ReadDuration(section, "request_timeout", base.mRequestTimeout);
  limits.mMaxWaitingRequests = documents::ReadInteger(
    section, "waiting_requests", base.mMaxWaitingRequests, counts);
  limits.mMaxWaitingBytes =
    documents::ReadBytes(section, "waiting_bytes", base.mMaxWaitingBytes);
  limits.mStopTime =
    documents::ReadDuration(section, "stop_time", base.mStopTime);
  // NOTE: a body in flight is in memory twice, and large ones get less than
  // half of the memory.
  constexpr auto kBodiesInMemory = 5;
  if (limits.mMaxMemoryBytes > 0 &&
      limits.mMaxMemoryBytes / kBodiesInMemory < limits.mMaxBodyBytes) {
    AddProblem(section,
               "memory",
               "too little for limits.body: a request of that size never fits",
               "at least 5 times limits.body");
  }
  if (limits.mMaxWaitingBytes < limits.mMaxBodyBytes) {
    AddProblem(section,
               "waiting_bytes",
               "less than limits.body: a request of that size never fits",
               "at least limits.body");
  }
  CloseSection(section);
  return limits;
}

auto
ReadKeys(Section& aRoot) -> KeySettings
{
  auto section = OpenSection(aRoot, "keys");
  auto keys = KeySettings{};
  auto seen = std::vector<std::string>{};
  keys.mCallers = ReadKeyEntries(section, "callers", "account", seen);
  keys.mOperators = ReadKeyEntries(section, "operators", "name", seen);
  keys.mEndpoints = ReadKeyEntries(section, "endpoints", "name", seen);
  keys.mPeerFile = documents::ReadText(section, "peer_file").value_or("");
  CloseSection(section);
  return keys;
}

auto
ReadTls(Section& aRoot) -> TlsSettings
{
  auto section = OpenSection(aRoot, "tls");
  auto tls = TlsSettings{};
  tls.mCertificateFile =
    documents::ReadText(section, "certificate").value_or("");
  tls.mKeyFile = documents::ReadText(section, "key").value_or("");
  tls.mEndpointTrustFile =
    documents::ReadText(section, "endpoint_trust").value_or("");
  const auto isHalf = tls.mCertificateFile.empty() != tls.mKeyFile.empty();
  if (isHalf) {
    AddProblem(section,
               tls.mKeyFile.empty() ? "key" : "certificate",
               "missing",
               "both certificate and key, or neither");
  }
  CloseSection(section);
  return tls;
}

auto
ReadFencing(Section& aRoot) -> FencingSettings
{
  auto section = OpenSection(aRoot, "fencing");
  const auto base = FencingSettings{};
  auto fencing = FencingSettings{};
  fencing.mModelEngine = documents::ReadChoice(
    section, "model_engine", base.mModelEngine, kFencingChoices);
  fencing.mPlainService = documents::ReadChoice(
    section, "plain_service", base.mPlainService, kFencingChoices);
  CloseSection(section);
  return fencing;
}

auto
ReadWeightStore(Section& aRoot) -> WeightStoreSettings
{
  auto section = OpenSection(aRoot, "weight_store");
  const auto base = WeightStoreSettings{};
  auto store = WeightStoreSettings{};
  store.mBytesPerSecond =
    documents::ReadBytes(section, "bytes_per_second", base.mBytesPerSecond);
  store.mMaxConcurrentLoads = documents::ReadInteger(
    section, "concurrent_loads", base.mMaxConcurrentLoads, { 1, 1000 });
  CloseSection(section);
  return store;
}

auto
ReadPolicy(Section& aRoot) -> PolicySettings
{
  auto section = OpenSection(aRoot, "policy");
  const auto base = PolicySettings{};
  auto policy = PolicySettings{};
  policy.mPlacement = documents::ReadChoice(
    section, "placement", base.mPlacement, kPlacementChoices);
  policy.mQueue =
    documents::ReadChoice(section, "queue", base.mQueue, kQueueChoices);
  policy.mSeparatesClasses =
    documents::ReadBool(section, "classes", base.mSeparatesClasses);
  CloseSection(section);
  return policy;
}

auto
ReadAdapter(Section& aRoot) -> AdapterKind
{
  return documents::ReadChoice(
    aRoot, "adapter", AdapterKind::None, kAdapterChoices);
}

auto
ReadDiscovery(Section& aRoot) -> DiscoverySettings
{
  auto section = OpenSection(aRoot, "discovery");
  const auto base = DiscoverySettings{};
  auto discovery = DiscoverySettings{};
  for (const auto& text : documents::ReadTexts(section, "seeds")) {
    const auto address = wire::ParseAddress(text);
    if (!address) {
      AddProblem(section, "seeds", "has \"" + text + "\"", kAddressForm);
      continue;
    }
    discovery.mSeeds.push_back(*address);
  }
  discovery.mPeerPort =
    documents::ReadInteger(section, "peer_port", base.mPeerPort, { 1, 65535 });
  discovery.mMayFound =
    documents::ReadBool(section, "may_found", base.mMayFound);
  discovery.mHeartbeat =
    documents::ReadDuration(section, "heartbeat", base.mHeartbeat);
  if (!discovery.mSeeds.empty() && discovery.mPeerPort == 0) {
    AddProblem(
      section, "peer_port", "missing", "a port, since there are seeds");
  }
  CloseSection(section);
  return discovery;
}

auto
ReadRetries(Section& aRoot) -> RetryBudgetSettings
{
  auto section = OpenSection(aRoot, "retries");
  const auto base = RetryBudgetSettings{};
  auto retries = RetryBudgetSettings{};
  retries.mRatio =
    documents::ReadNumber(section, "ratio", base.mRatio, { 0, 1 });
  retries.mSlack =
    documents::ReadNumber(section, "slack", base.mSlack, { 0, kHighestCount });
  retries.mWindow = documents::ReadDuration(section, "window", base.mWindow);
  CloseSection(section);
  return retries;
}

auto
ReadOverload(Section& aRoot) -> OverloadOptions
{
  auto section = OpenSection(aRoot, "overload");
  auto overload = OverloadOptions{};
  overload.mDefersLate =
    documents::ReadBool(section, "defer", overload.mDefersLate);
  overload.mOrdersWork =
    documents::ReadBool(section, "order", overload.mOrdersWork);
  CloseSection(section);
  return overload;
}

auto
ReadWarmUp(Section& aRoot) -> std::optional<WarmUpSettings>
{
  if (!documents::HasKey(aRoot, "warm_up")) {
    return std::nullopt;
  }
  auto section = OpenSection(aRoot, "warm_up");
  auto warmUp = WarmUpSettings{};
  for (const auto* key : { "overshoot", "slack" }) {
    if (!documents::HasKey(section, key)) {
      AddProblem(section, key, "missing", "a number, 0 or more");
    }
  }
  warmUp.mOvershoot = documents::ReadNumber(
    section, "overshoot", warmUp.mOvershoot, { 0, kHighestCount });
  warmUp.mSlack = documents::ReadNumber(
    section, "slack", warmUp.mSlack, { 0, kHighestCount });
  CloseSection(section);
  return warmUp;
}

auto
ReadLog(Section& aRoot) -> LogSettings
{
  auto section = OpenSection(aRoot, "log");
  auto log = LogSettings{};
  log.mFile = documents::ReadText(section, "file").value_or("");
  log.mLowest =
    documents::ReadChoice(section, "level", log.mLowest, kLevelChoices);
  CloseSection(section);
  return log;
}

} // namespace cuminslip::settings
