#pragma once

#include "placement/types/placementtypes.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// Decides which models are loaded on which endpoints. The controller performs
/// no I/O and runs on the instance that holds the orderer's lease. Not thread
/// safe; aNow must not decrease between calls.
namespace cuminslip::placement {

/// A model version in a failure domain.
struct CopyKey
{
  FailureDomainId mFailureDomain;
  LoadedModel mModel;

  auto operator<=>(const CopyKey&) const = default;
};

/// Number of copies that templates and demand require.
struct WantedCopies
{
  std::size_t mCopies = 1;
  Priority mPriority = Priority::Patient;
  /// Failure domains in which a copy can serve the same templates.
  std::set<FailureDomainId> mPermitted;

  auto operator==(const WantedCopies&) const -> bool = default;
};

using WantedMap = std::map<CopyKey, WantedCopies>;

enum class OrderPhase : std::uint8_t
{
  Sent,
  /// The answer was lost; the endpoint may or may not have received the order.
  Unknown,
  Running,
  /// Reported as done by the endpoint, but not yet shown in its announcement.
  Done
};

/// An order that was sent and whose result is not confirmed yet.
struct ActiveOrder
{
  PlannedOrder mPlanned;
  OrderPhase mPhase = OrderPhase::Sent;
  TimePoint mSentAt;
  /// An endpoint that has not started the order by then will not start it.
  TimePoint mExpiresAt;
  TimePoint mDoneAt;
};

/// Backoff after failures of one action for one model on one endpoint.
struct OrderBackoff
{
  Millis mDelay{ 0 };
  TimePoint mUntil;
};

using BackoffKey = std::tuple<EndpointId, endpoints::OrderAction, LoadedModel>;

struct Placement
{
  PlacementSettings mSettings;
  /// Prefix of the ids of orders sent by this instance.
  std::string mOrderPrefix;
  std::uint64_t mOrders = 0;
  std::uint64_t mFencing = 0;
  TimePoint mTakenOverAt;
  /// Highest fencing number reported by an endpoint.
  std::uint64_t mHighestSeenFencing = 0;
  std::map<std::string, ActiveOrder> mActive;
  std::map<BackoffKey, OrderBackoff> mBackoffs;
  std::map<CopyKey, TimePoint> mShortSince;
  std::map<CopyKey, TimePoint> mExcessSince;
  std::map<FailureDomainId, TimePoint> mDownSince;
};

enum class OrderAnswer : std::uint8_t
{
  Accepted,
  Refused,
  Lost
};

/// Computes the number of copies required in each failure domain. The demand of
/// lost domains is distributed evenly over the remaining permitted ones.
auto
ComputeWantedCopies(const Placement& aPlacement,
                    const PlacementInput& aInput,
                    TimePoint aNow) -> WantedMap;

/// Lists all wanted orders, most urgent first, with the reasons that block
/// them. Does not modify aPlacement.
auto
PlanOrders(const Placement& aPlacement,
           const PlacementInput& aInput,
           TimePoint aNow) -> std::vector<PlannedOrder>;

/// Updates the state from aInput and returns the orders to send now. Call about
/// once a second on every instance that may order: without the lease it returns
/// no orders but still tracks how long shortages, excesses and domain losses
/// have lasted.
auto
TickPlacement(Placement& aPlacement,
              const PlacementInput& aInput,
              TimePoint aNow) -> std::vector<PlacementOrder>;

/// Records the answer to an order. aHighestFencing is the highest fencing
/// number that the endpoint reported, if any.
auto
RecordOrderAnswer(Placement& aPlacement,
                  const std::string& aOrder,
                  OrderAnswer aAnswer,
                  std::optional<std::uint64_t> aHighestFencing,
                  TimePoint aNow) -> void;

/// Returns the ids of orders whose progress should be polled.
auto
ListOrdersToPoll(const Placement& aPlacement) -> std::vector<std::string>;

/// Records the status of an order as reported by the endpoint; no value means
/// that the endpoint does not know the order.
auto
RecordOrderStatus(Placement& aPlacement,
                  const std::string& aOrder,
                  const std::optional<endpoints::OrderStatus>& aStatus,
                  TimePoint aNow) -> void;

/// Logs an order that is about to be sent.
auto
LogOrder(const PlacementOrder& aOrder) -> void;

} // namespace cuminslip::placement
