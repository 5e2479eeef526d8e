#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Decides whether an instance has lost its way to all endpoints, and through
/// which other instance it sends requests then. Pure functions; thread safe.
namespace cuminslip {

struct ReachRules
{
  /// Endpoints of several services, or all known ones if there are fewer, that
  /// gave no connection while none answered: the instance is cut off. Single
  /// endpoints that are down or silent for a second do not make a cut.
  std::size_t mMinEndpoints = 3;
  /// The same, if they are of one service, which may be down as a whole.
  std::size_t mMinOfOneService = 6;
  /// Least time from the first failure, in which an endpoint could answer.
  Millis mMinSpan{ 100 };
  /// An instance that is cut off tries an endpoint again after this time.
  Millis mTrialInterval{ 500 };

  auto operator==(const ReachRules&) const -> bool = default;
};

/// What an instance knows of its way to endpoints.
struct Reach
{
  /// Endpoints that gave no connection since an endpoint last answered, with
  /// their services.
  std::map<std::uint64_t, std::uint64_t> mUnreached;
  /// The first of these failures.
  TimePoint mFailingSince{};
  bool mIsLost = false;
  TimePoint mTriedAt{};

  auto operator==(const Reach&) const -> bool = default;
};

/// Adds an endpoint of a service that gave no connection. aKnown is the number
/// of endpoints in service.
auto
AddUnreached(Reach aReach,
             std::uint64_t aEndpoint,
             std::uint64_t aService,
             std::size_t aKnown,
             TimePoint aNow,
             const ReachRules& aRules) -> Reach;

/// Adds an answer to a request that was sent at aSentAt. One that was sent
/// before the failures does not end them: old connections may go on while new
/// ones fail.
auto
AddReached(const Reach& aReach, TimePoint aSentAt) -> Reach;

/// Returns true if a request should go to an endpoint to learn whether the cut
/// has ended.
auto
IsReachTrialDue(const Reach& aReach, TimePoint aNow, const ReachRules& aRules)
  -> bool;

/// An instance that may send requests for this one.
struct RelayCandidate
{
  /// For the first try, it is in the own failure domain; for later ones, it is
  /// not, since a whole domain may be cut off.
  bool mIsPreferred = false;
  /// It said that it is cut off too, or refused lately.
  bool mIsAvoided = false;
  /// Requests that it serves for this instance now.
  std::size_t mInFlight = 0;
  /// Breaks ties.
  std::uint64_t mRandomKey = 0;

  auto operator==(const RelayCandidate&) const -> bool = default;
};

/// Returns the index of the relay to use: of those that are not avoided, a
/// preferred one, with the fewest requests of this instance.
auto
ChooseRelay(const std::vector<RelayCandidate>& aCandidates)
  -> std::optional<std::size_t>;

struct RelayRules
{
  /// Requests that an instance serves for others at once.
  std::size_t mMaxRelayed = 64;
  /// Part of that which each step of priority below the highest can't use.
  double mReservedPerStep = 0.25;
  int mMaxSteps = 2;

  auto operator==(const RelayRules&) const -> bool = default;
};

/// Returns true if an instance that serves aRelayed requests for others accepts
/// one more. Priority 0 is the highest.
auto
MayAcceptRelayed(std::size_t aRelayed, int aPriority, const RelayRules& aRules)
  -> bool;

} // namespace cuminslip
