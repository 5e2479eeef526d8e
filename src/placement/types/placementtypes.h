#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "endpoints/types/endpointmessages.h"
#include "policy/types/endpointview.h"
#include "templates/types/template.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// What the placement controller decides from, and what it decides.
namespace cuminslip::placement {

/// Limits of the placement controller.
struct PlacementSettings
{
  /// Time after its receipt within which an endpoint may begin an order.
  Millis mOrderLifetime{ 10000 };
  /// An order is not sent when it could not live as long as this.
  Millis mMinOrderLifetime{ 2000 };
  /// Longest time that an order can be on its way.
  Millis mMaxOrderDelay{ 5000 };
  /// Orders have expired this long before the orderer's lease ends.
  Millis mLeaseMargin{ 2000 };
  /// Longest time of one transfer from the weight store.
  Millis mMaxTransferTime{ 60000 };
  /// Transfers from the weight store at one time.
  std::size_t mMaxTransfers = 2;
  /// Pause after a failed order; doubles up to the maximum.
  Millis mFirstBackoff{ 2000 };
  Millis mMaxBackoff{ 120000 };
  /// Time for which a shortage or an excess must last.
  Millis mShortageTime{ 30000 };
  Millis mExcessTime{ 300000 };
  /// Time for which a failure domain must be without endpoints until others
  /// take over its demand.
  Millis mDomainLossTime{ 20000 };
  /// Time until announcements show what an order did.
  Millis mSettleTime{ 10000 };
  /// Orders begun in one step.
  std::size_t mMaxOrdersPerStep = 2;
  std::size_t mMaxModelsPerEngine = 2;
  /// Capacity that is kept above the demand.
  double mHeadroom = 1.3;
  /// Capacity of an engine that reports none.
  double mDefaultTokensPerSecond = 20000;

  auto operator==(const PlacementSettings&) const -> bool = default;
};

/// Load that a client account brings, by length class and failure domain.
struct Demand
{
  AccountId mAccount;
  std::string mLengthClass;
  FailureDomainId mFailureDomain;
  double mPromptTokensPerSecond = 0;

  auto operator==(const Demand&) const -> bool = default;
};

/// An endpoint with what its announcement says of orders.
struct PlacedEndpoint
{
  EndpointView mView;
  /// No value counts as ignoring fencing numbers.
  std::optional<bool> mChecksFencing;

  auto operator==(const PlacedEndpoint&) const -> bool = default;
};

/// This instance's hold on the role of orderer.
struct OrdererLease
{
  bool mIsHeld = false;
  std::uint64_t mFencing = 0;
  /// By this instance's clock, counted from before the lease was asked for.
  TimePoint mUntil;

  auto operator==(const OrdererLease&) const -> bool = default;
};

struct PlacementInput
{
  std::vector<TemplateInForce> mTemplates;
  std::vector<PlacedEndpoint> mEndpoints;
  std::vector<Demand> mDemands;
  /// Failure domains cut off from the quorum: nothing is ordered there.
  std::set<FailureDomainId> mIsolated;
  OrdererLease mLease;
};

/// How pressing an order is; a lower value goes first.
enum class Urgency : std::uint8_t
{
  /// No copy in any place that a template permits.
  NoCopy,
  /// No copy in one of the failure domains.
  NoCopyInDomain,
  /// Fewer copies than the demand needs.
  Shortage,
  /// Copies that nothing needs.
  Excess
};

/// An order that ought to be given, in the place that it has in the queue.
struct PlannedOrder
{
  EndpointId mEndpoint;
  Incarnation mIncarnation = 0;
  std::string mAddress;
  FailureDomainId mFailureDomain;
  endpoints::OrderAction mAction = endpoints::OrderAction::LoadModel;
  LoadedModel mModel;
  Urgency mUrgency = Urgency::Excess;
  /// Most urgent kind of work that it serves.
  Priority mPriority = Priority::Patient;
  std::string mReason;
  /// Why it is not given now; empty when it is.
  std::string mBlockedBy;

  auto operator==(const PlannedOrder&) const -> bool = default;
};

/// An order to send now.
struct PlacementOrder
{
  PlannedOrder mPlanned;
  endpoints::Order mOrder;

  auto operator==(const PlacementOrder&) const -> bool = default;
};

} // namespace cuminslip::placement
