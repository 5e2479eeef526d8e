#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

/// What the HTTP listeners of one process may hold together. Whom to close when
/// there is no room is decided outside, by functions that tests can replace.
/// All functions are for the loop's thread.
namespace cuminslip::wire {

enum class ConnectionPhase : std::uint8_t
{
  /// Waits for the first byte of a request.
  Idle,
  /// A request has begun to arrive.
  Receiving,
  /// The request is whole, its answer is not sent whole.
  Responding,
  /// The last answer is sent; what the client still sends is dropped.
  Draining
};

/// What one connection holds.
struct ConnectionUse
{
  ConnectionPhase mPhase = ConnectionPhase::Idle;
  /// An earlier request of the connection was answered.
  bool mHasServed = false;
  /// Bytes set aside for its request, or of its answer that are not sent.
  std::size_t mHeldBytes = 0;
  /// Bytes received or sent in about the last second.
  std::size_t mRecentBytes = 0;
  /// Time in the phase.
  Millis mAge{ 0 };

  auto operator==(const ConnectionUse&) const -> bool = default;
};

/// Bytes that listeners hold.
struct ServerBytes
{
  /// Of requests that are not whole, as set aside for them, and of the
  /// connections themselves.
  std::size_t mReceived = 0;
  /// Bodies that were given to a handler and that something still holds.
  std::size_t mBodies = 0;
  /// Memory of answers that the callers' connections have not taken whole.
  std::size_t mUnsent = 0;

  auto operator==(const ServerBytes&) const -> bool = default;
};

/// Returns the place of the connection to close, or nothing.
using ConnectionChooser =
  std::function<std::optional<std::size_t>(const std::vector<ConnectionUse>&)>;

struct BudgetRules
{
  std::size_t mMaxConnections = 4096;
  /// True if aMore bytes may be held besides all that is held now, for a
  /// request of aRequestBytes so far. Without the function any may.
  std::function<bool(std::size_t aMore, std::size_t aRequestBytes)> mMayHold;
  /// Chooses whom to close for a new connection; without it none.
  ConnectionChooser mChooseForConnection;
  /// Chooses whom to close for bytes; without it none.
  ConnectionChooser mChooseForBytes;
  /// Hears of each request that is refused for want of room.
  std::function<void()> mOnRefused;
};

struct BudgetCounters
{
  /// Connections closed to make room for others.
  std::uint64_t mEvicted = 0;
  /// New connections closed at once.
  std::uint64_t mRefusedConnections = 0;
  /// Requests refused before they were whole, by want of room.
  std::uint64_t mRefusedRequests = 0;

  auto operator==(const BudgetCounters&) const -> bool = default;
};

/// Shared by the listeners of a process.
struct ServerBudget;
using ServerBudgetPtr = std::shared_ptr<ServerBudget>;

/// Creates a budget. Precondition: what the rules refer to outlives the
/// listeners.
auto
CreateServerBudget(BudgetRules aRules) -> ServerBudgetPtr;

/// Closes the connection that gives way for bytes. False if there is none.
auto
EvictForBytes(ServerBudget& aBudget) -> bool;

auto
CountBytes(const ServerBudget& aBudget) -> ServerBytes;

auto
CountConnections(const ServerBudget& aBudget) -> std::size_t;

auto
CountersOf(const ServerBudget& aBudget) -> const BudgetCounters&;

} // namespace cuminslip::wire
