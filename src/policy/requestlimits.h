#pragma once

#include "base/clock.h"
#include "directory/types/entryinstance.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

/// Keeps all instances together within the request rate that an endpoint in
/// need accepts. A few instances hold equal shares of the rate; the others send
/// the endpoint nothing. Each instance derives the holders from the instances
/// that it knows, without asking, so that instances that lost contact still add
/// up to the limit. An equal share for every instance would not: in a large
/// fleet a share is less than one request per window, and instances that saved
/// up one request each could send them all at once. Pure functions; thread
/// safe.
namespace cuminslip {

/// What is known of the request limit of one incarnation of an endpoint.
struct RequestLimit
{
  /// Requests per second from all instances together, not negative; empty if
  /// the endpoint states no limit.
  std::optional<double> mRate;
  /// Increases with each observed change. Orders what instances report to each
  /// other.
  std::uint64_t mVersion = 0;

  auto operator==(const RequestLimit&) const -> bool = default;
};

struct LimitRules
{
  /// Number of holders in excess of the rate. A holder may send one saved
  /// request at any time, so a window may see this many requests more.
  std::size_t mExtraHolders = 3;
  /// An endpoint that accepts less is still sent this many requests per second,
  /// since only its answers tell that its limit has ended.
  double mMinRate = 0.2;
  /// Time for which a holder saves up its share, beyond one request.
  Millis mBurstTime{ 200 };
  /// A holder tries an endpoint whose answers it has not seen for this long,
  /// to learn if the limit has ended.
  Millis mTrialInterval{ 2000 };

  auto operator==(const LimitRules&) const -> bool = default;
};

/// Returns what is known after an answer that states aStated. aIsNewer is true
/// if the request was sent after aKnown was learned; an answer to an earlier
/// request may be older than aKnown and can only make it stricter.
auto
ApplyAnswer(const RequestLimit& aKnown,
            std::optional<double> aStated,
            bool aIsNewer) -> RequestLimit;

/// Returns the newer of two states of a limit, or the stricter one of two that
/// were observed at the same time.
auto
MergeLimits(const RequestLimit& aKnown, const RequestLimit& aReported)
  -> RequestLimit;

/// An endpoint as seen by the choice of holders.
struct LimitedEndpoint
{
  /// Checksum of the endpoint's id.
  std::uint64_t mKey = 0;
  FailureDomainId mFailureDomain;
  double mRate = 0;

  auto operator==(const LimitedEndpoint&) const -> bool = default;
};

/// Returns the requests per second that aSelf may send to the endpoint, 0 if it
/// is no holder. Instances of the endpoint's failure domain come first, since
/// only they reach it when the domain is cut off; one holder is in another
/// domain, in case all of them are lost. aInstances contains aSelf and has no
/// duplicates.
auto
ShareOfLimit(const LimitedEndpoint& aEndpoint,
             const std::string& aSelf,
             std::span<const directory::EntryInstance> aInstances,
             const LimitRules& aRules) -> double;

/// Returns the requests per second that aSelf may send where aHolders instances
/// share the endpoint's whole rate equally, 0 if it is no holder. Chooses the
/// holders like ShareOfLimit; all instances hold a share when they are fewer
/// than aHolders.
auto
ShareAmongHolders(const LimitedEndpoint& aEndpoint,
                  std::size_t aHolders,
                  const std::string& aSelf,
                  std::span<const directory::EntryInstance> aInstances)
  -> double;

/// Requests that a holder may send now, as a fraction; a new one is empty.
struct SendAllowance
{
  double mRequests = 0;
  TimePoint mUpdatedAt{};

  auto operator==(const SendAllowance&) const -> bool = default;
};

/// Returns the allowance at aNow. aShare is in requests per second.
auto
Replenish(const SendAllowance& aAllowance,
          double aShare,
          TimePoint aNow,
          const LimitRules& aRules) -> SendAllowance;

/// Returns the time until a request may be sent, 0 if one may be sent now, or
/// no value for a share of 0. aAllowance is current.
auto
TimeUntilSend(const SendAllowance& aAllowance, double aShare)
  -> std::optional<Millis>;

} // namespace cuminslip
