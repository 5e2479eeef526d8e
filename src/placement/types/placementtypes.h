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

/// Inputs and decisions of the placement controller.
namespace cuminslip::placement {

/// Limits and intervals of the placement controller.
struct PlacementSettings
{
  /// Time after receipt within which an endpoint may start executing an order.
  Millis mOrderLifetime{ 10000 };
  /// An order is not sent if its remaining lifetime would be shorter than this.
  Millis mMinOrderLifetime{ 2000 };
  /// Maximum network delay of an order; also the timeout of the call that sends
  /// it.
  Millis mMaxOrderDelay{ 5000 };
  /// Minimum time between the expiry of the last order and the end of the
  /// orderer's lease.
  Millis mLeaseMargin{ 2000 };
  /// Maximum duration of one transfer from the weight store. An order that runs
  /// longer is treated as failed.
  Millis mMaxTransferTime{ 60000 };
  /// Maximum number of concurrent transfers from the weight store.
  std::size_t mMaxTransfers = 2;
  /// Delay after the first failed order; doubles with each failure, up to
  /// mMaxBackoff.
  Millis mFirstBackoff{ 2000 };
  Millis mMaxBackoff{ 120000 };
  /// Time for which a shortage or an excess of copies must last before an order
  /// is planned.
  Millis mShortageTime{ 30000 };
  Millis mExcessTime{ 300000 };
  /// Time without active model engines after which the demand of a failure
  /// domain is moved to other domains.
  Millis mDomainLossTime{ 20000 };
  /// Time within which an announcement must show the effect of a finished
  /// order.
  Millis mSettleTime{ 10000 };
  /// Maximum number of orders sent in one step.
  std::size_t mMaxOrdersPerStep = 2;
  std::size_t mMaxModelsPerEngine = 2;
  /// Planned capacity as a multiple of the demand.
  double mHeadroom = 1.3;
  /// Assumed prefill rate of an engine that reports none.
  double mDefaultTokensPerSecond = 20000;

  auto operator==(const PlacementSettings&) const -> bool = default;
};

/// Load of a client account in one length class and failure domain.
struct Demand
{
  AccountId mAccount;
  std::string mLengthClass;
  FailureDomainId mFailureDomain;
  double mPromptTokensPerSecond = 0;

  auto operator==(const Demand&) const -> bool = default;
};

/// An endpoint and its announced support for fencing numbers.
struct PlacedEndpoint
{
  EndpointView mView;
  /// Whether orders with an old fencing number are rejected. Unset is treated
  /// as false.
  std::optional<bool> mChecksFencing;

  auto operator==(const PlacedEndpoint&) const -> bool = default;
};

/// The orderer's lease as this instance knows it.
struct OrdererLease
{
  bool mIsHeld = false;
  std::uint64_t mFencing = 0;
  /// End of the lease by this instance's clock, measured from before the
  /// request was sent.
  TimePoint mUntil;

  auto operator==(const OrdererLease&) const -> bool = default;
};

struct PlacementInput
{
  std::vector<TemplateInForce> mTemplates;
  std::vector<PlacedEndpoint> mEndpoints;
  std::vector<Demand> mDemands;
  /// Failure domains cut off from the quorum; no orders are sent there.
  std::set<FailureDomainId> mIsolated;
  OrdererLease mLease;
};

/// Urgency of an order; lower values are handled first.
enum class Urgency : std::uint8_t
{
  /// No copy in any permitted failure domain.
  NoCopy,
  /// No copy in one of the failure domains.
  NoCopyInDomain,
  /// Fewer copies than the demand requires.
  Shortage,
  /// More copies than templates and demand require.
  Excess
};

/// An order that the controller wants to send, as listed in its plan.
struct PlannedOrder
{
  EndpointId mEndpoint;
  Incarnation mIncarnation = 0;
  std::string mAddress;
  FailureDomainId mFailureDomain;
  endpoints::OrderAction mAction = endpoints::OrderAction::LoadModel;
  LoadedModel mModel;
  Urgency mUrgency = Urgency::Excess;
  /// Highest priority of the work that the copy serves.
  Priority mPriority = Priority::Patient;
  std::string mReason;
  /// Why the order cannot be sent now; empty if it can.
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
