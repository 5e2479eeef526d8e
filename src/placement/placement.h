#pragma once

#include "placement/types/placementtypes.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// Decides which model is loaded where: a controller without I/O, run by the
/// instance that holds the orderer's lease. Not thread safe; times may not go
/// backwards.
namespace cuminslip::placement {

/// A model version in a failure domain.
struct CopyKey
{
  FailureDomainId mFailureDomain;
  LoadedModel mModel;

  auto operator<=>(const CopyKey&) const = default;
};

/// Copies that templates and demand ask for.
struct WantedCopies
{
  std::size_t mCopies = 1;
  Priority mPriority = Priority::Patient;
  /// Failure domains in which a copy would serve the same templates.
  std::set<FailureDomainId> mPermitted;

  auto operator==(const WantedCopies&) const -> bool = default;
};

using WantedMap = std::map<CopyKey, WantedCopies>;

enum class OrderPhase : std::uint8_t
{
  Sent,
  /// The answer was lost: the endpoint may or may not have it.
  Unknown,
  Running,
  /// Done by the endpoint's word; its announcement must show it.
  Done
};

/// An order that was given and whose end is not yet seen.
struct ActiveOrder
{
  PlannedOrder mPlanned;
  OrderPhase mPhase = OrderPhase::Sent;
  TimePoint mSentAt;
  /// From then on an endpoint that has not begun it never will.
  TimePoint mExpiresAt;
  TimePoint mDoneAt;
};

/// Failures of one action on one endpoint.
struct OrderBackoff
{
  Millis mDelay{ 0 };
  TimePoint mUntil;
};

using BackoffKey = std::tuple<EndpointId, endpoints::OrderAction, LoadedModel>;

struct Placement
{
  PlacementSettings mSettings;
  /// Prefix of the ids of this instance's orders.
  std::string mOrderPrefix;
  std::uint64_t mOrders = 0;
  std::uint64_t mFencing = 0;
  TimePoint mTakenOverAt;
  /// Highest number that an endpoint has seen.
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

/// Copies that the templates and the demand ask for in each failure domain,
/// with the demand of lost domains given to the others that are permitted.
auto
ComputeWantedCopies(const Placement& aPlacement,
                    const PlacementInput& aInput,
                    TimePoint aNow) -> WantedMap;

/// All orders that ought to be given, most urgent first, with what blocks
/// them. Changes nothing.
auto
PlanOrders(const Placement& aPlacement,
           const PlacementInput& aInput,
           TimePoint aNow) -> std::vector<PlannedOrder>;

/// One step: notes what changed and returns the orders to send now. To be
/// called every second or so, on every instance: without the lease it only
/// observes.
auto
TickPlacement(Placement& aPlacement,
              const PlacementInput& aInput,
              TimePoint aNow) -> std::vector<PlacementOrder>;

/// Takes in the answer to an order. aHighestFencing as the endpoint said it.
auto
RecordOrderAnswer(Placement& aPlacement,
                  const std::string& aOrder,
                  OrderAnswer aAnswer,
                  std::optional<std::uint64_t> aHighestFencing,
                  TimePoint aNow) -> void;

/// Orders whose progress is to be asked for now.
auto
ListOrdersToPoll(const Placement& aPlacement) -> std::vector<std::string>;

/// Takes in what the endpoint says of an order; no value when it does not know
/// it.
auto
RecordOrderStatus(Placement& aPlacement,
                  const std::string& aOrder,
                  const std::optional<endpoints::OrderStatus>& aStatus,
                  TimePoint aNow) -> void;

/// Writes one log line for an order that is sent.
auto
LogOrder(const PlacementOrder& aOrder) -> void;

} // namespace cuminslip::placement
