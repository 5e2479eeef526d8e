#pragma once

#include "wire/httpserver.h"
#include "wire/serverbudget.h"

#include <atomic>
#include <vector>

namespace cuminslip::wire {

struct ServerBudget
{
  BudgetRules mRules;
  BudgetCounters mCounters;
  std::vector<HttpServer*> mServers;
  std::size_t mConnections = 0;
  std::size_t mReceived = 0;
  std::size_t mUnsent = 0;
  /// Bodies outlive the listeners, and may be dropped by other threads.
  std::shared_ptr<std::atomic<std::size_t>> mBodies =
    std::make_shared<std::atomic<std::size_t>>(0);
  /// Nobody to release was found; who is slow changes with time only.
  TimePoint mLookAgainAt{};
};

/// Makes room for one more connection of aServer; false if there is none.
auto
MakeRoomForConnection(ServerBudget& aBudget, HttpServer& aServer) -> bool;

/// Makes room for aMore bytes, for a request of aRequestBytes so far; false if
/// there is none. aFor itself is not closed.
auto
MakeRoomForBytes(ServerBudget& aBudget,
                 const struct ServerConnection& aFor,
                 std::size_t aMore,
                 std::size_t aRequestBytes) -> bool;

} // namespace cuminslip::wire
