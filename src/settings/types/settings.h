#pragma once

#include "base/clock.h"
#include "base/events.h"
#include "base/types/ids.h"
#include "wire/types/httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What one instance learns from its settings file.
namespace cuminslip {

enum class Role : std::uint8_t
{
  /// Takes requests from callers and sends them to endpoints.
  Entry,
  /// Keeps the control log on its data folder.
  Control
};

/// Where the instance listens; an interface without an address is not served.
struct ListenAddresses
{
  std::optional<wire::SocketAddress> mCaller;
  std::optional<wire::SocketAddress> mOperator;
  std::optional<wire::SocketAddress> mEndpoint;
  std::optional<wire::SocketAddress> mPlatform;
  std::optional<wire::SocketAddress> mPeer;
  /// Where other entry instances send requests when they reach no endpoint; the
  /// port is the same at all of them.
  std::optional<wire::SocketAddress> mRelay;

  auto operator==(const ListenAddresses&) const -> bool = default;
};

/// An instance as others reach it.
struct InstanceAddress
{
  InstanceId mId;
  wire::SocketAddress mAddress;
  FailureDomainId mFailureDomain;

  auto operator==(const InstanceAddress&) const -> bool = default;
};

struct InstanceLimits
{
  std::int64_t mMaxBodyBytes = std::int64_t{ 8 } * 1024 * 1024;
  /// Memory that the process may use; 0 for any. Half of it is for what it
  /// holds for callers.
  std::int64_t mMaxMemoryBytes = 0;
  /// Longest head of a request.
  std::int64_t mMaxHeadBytes = std::int64_t{ 64 } * 1024;
  /// On all HTTP listeners together; peers may have a quarter more.
  std::int64_t mMaxConnections = 4096;
  /// Longest time for a caller to send a request.
  Millis mRequestTimeout{ 10000 };
  std::int64_t mMaxWaitingRequests = 2000;
  std::int64_t mMaxWaitingBytes = std::int64_t{ 512 } * 1024 * 1024;
  /// Longest time from SIGTERM until the process ends.
  Millis mStopTime{ 30000 };

  auto operator==(const InstanceLimits&) const -> bool = default;
};

/// Connections that other instances may have open to this one.
auto
MaxPeerConnections(const InstanceLimits& aLimits) -> std::size_t;

/// A key by its SHA-256, and who uses it: a client account, an operator's name
/// or a name for a group of endpoints.
struct KeyEntry
{
  std::string mSha256;
  std::string mName;

  auto operator==(const KeyEntry&) const -> bool = default;
};

/// Keys of one instance. The lists stay apart: a key of one interface is
/// refused on every other.
struct KeySettings
{
  std::vector<KeyEntry> mCallers;
  std::vector<KeyEntry> mOperators;
  std::vector<KeyEntry> mEndpoints;
  /// File with the secret that instances show each other; may be empty when
  /// there is one instance only.
  std::string mPeerFile;

  auto operator==(const KeySettings&) const -> bool = default;
};

/// TLS of the caller, operator and endpoint listeners, and of calls to
/// endpoints. Files are PEM; empty names mean plain connections.
struct TlsSettings
{
  /// The certificate and those that lead to its authority.
  std::string mCertificateFile;
  std::string mKeyFile;
  /// Authorities of the endpoints' certificates.
  std::string mEndpointTrustFile;

  auto operator==(const TlsSettings&) const -> bool = default;
};

/// Whether endpoints of a kind refuse orders with an old fencing number.
enum class FencingSupport : std::uint8_t
{
  /// Each endpoint says so in its announcement.
  Announced,
  Checked,
  Unchecked
};

struct FencingSettings
{
  FencingSupport mModelEngine = FencingSupport::Announced;
  FencingSupport mPlainService = FencingSupport::Unchecked;

  auto operator==(const FencingSettings&) const -> bool = default;
};

struct WeightStoreSettings
{
  std::int64_t mBytesPerSecond = std::int64_t{ 1024 } * 1024 * 1024;
  std::int64_t mMaxConcurrentLoads = 4;

  auto operator==(const WeightStoreSettings&) const -> bool = default;
};

/// How an endpoint is chosen; the ways other than Best serve as baselines.
enum class PlacementPolicy : std::uint8_t
{
  Best,
  RoundRobin,
  LeastOutstanding,
  LeastReported
};

enum class QueuePolicy : std::uint8_t
{
  Fair,
  FirstCome
};

struct PolicySettings
{
  PlacementPolicy mPlacement = PlacementPolicy::Best;
  QueuePolicy mQueue = QueuePolicy::Fair;
  /// Whether prompts of unlike lengths are kept apart by length class.
  bool mSeparatesClasses = true;

  auto operator==(const PolicySettings&) const -> bool = default;
};

/// Whose interfaces the instance speaks towards callers, operators and
/// endpoints.
enum class AdapterKind : std::uint8_t
{
  /// The product's own, docs/INTERFACES.md.
  None,
  /// The users' platform, docs/design/platform.md.
  Platform
};

/// How control instances are found that the settings do not list.
struct DiscoverySettings
{
  /// Addresses at which control instances are called from outside. Their hosts
  /// are where control instances are; empty turns discovery off.
  std::vector<wire::SocketAddress> mSeeds;
  /// Port at which every instance listens for its peers.
  std::int64_t mPeerPort = 0;
  /// The control log may be founded: the whole system starts for the first
  /// time.
  bool mMayFound = false;
  /// Interval at which endpoints send heartbeats.
  Millis mHeartbeat{ 1000 };

  auto operator==(const DiscoverySettings&) const -> bool = default;
};

/// The budget for repeated sends that all instances share; see
/// policy/retrybudget.h.
struct RetryBudgetSettings
{
  double mRatio = 0.2;
  /// May be a fraction: a platform scales it with the size of its deployment.
  double mSlack = 0;
  Millis mWindow{ 10000 };

  auto operator==(const RetryBudgetSettings&) const -> bool = default;
};

/// What happens to requests when there is too little room for all of them.
struct OverloadOptions
{
  /// Short prompts that would be late on every engine give way to those that
  /// can still be in time; see policy/deferral.h.
  bool mDefersLate = false;
  /// Prompts that wait for engines are placed by the loss that this avoids, and
  /// refused by a forecast; see policy/workorder.h.
  bool mOrdersWork = false;

  auto operator==(const OverloadOptions&) const -> bool = default;
};

/// Tolerance of the rate that a service states for its cold endpoints: in any
/// one second one may get the rate x mOvershoot + mSlack requests; see
/// policy/warmup.h.
struct WarmUpSettings
{
  double mOvershoot = 1;
  double mSlack = 0;

  auto operator==(const WarmUpSettings&) const -> bool = default;
};

struct LogSettings
{
  /// Empty for standard output.
  std::string mFile;
  Severity mLowest = Severity::Info;

  auto operator==(const LogSettings&) const -> bool = default;
};

struct Settings
{
  InstanceId mInstance;
  FailureDomainId mFailureDomain;
  RegionId mRegion;
  std::vector<Role> mRoles;
  ListenAddresses mListen;
  /// Includes this instance where it has the control role.
  std::vector<InstanceAddress> mControlInstances;
  /// Other instances of the own failure domain.
  std::vector<InstanceAddress> mDomainInstances;
  std::string mDataFolder;
  InstanceLimits mLimits;
  KeySettings mKeys;
  TlsSettings mTls;
  FencingSettings mFencing;
  WeightStoreSettings mWeightStore;
  PolicySettings mPolicy;
  AdapterKind mAdapter = AdapterKind::None;
  DiscoverySettings mDiscovery;
  RetryBudgetSettings mRetries;
  OverloadOptions mOverload;
  /// Empty: cold endpoints get requests like others.
  std::optional<WarmUpSettings> mWarmUp;
  LogSettings mLog;

  auto operator==(const Settings&) const -> bool = default;
};

/// True when aSettings give the instance aRole.
auto
HasRole(const Settings& aSettings, Role aRole) -> bool;

} // namespace cuminslip
