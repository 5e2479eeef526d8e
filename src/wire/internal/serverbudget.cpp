#include "wire/serverbudget.h"

#include "wire/internal/serverbudgetstate.h"
#include "wire/internal/serverconnection.h"

#include <algorithm>

namespace cuminslip::wire {

namespace {

/// Part of the connections that one listener leaves to the others.
constexpr auto kLeftToOthers = std::size_t{ 8 };
constexpr auto kLookAgain = Millis(100);

/// Closes the one of aConnections that aChooser names. False if it names none.
auto
EvictOne(const std::vector<std::shared_ptr<ServerConnection>>& aConnections,
         const ConnectionChooser& aChooser) -> bool
{
  if (!aChooser) {
    return false;
  }
  auto uses = std::vector<ConnectionUse>{};
  uses.reserve(aConnections.size());
  for (const auto& it : aConnections) {
    uses.push_back(UseOf(*it));
  }
  const auto place = aChooser(uses);
  if (!place) {
    return false;
  }
  EvictConnection(*aConnections[*place]);
  return true;
}

auto
AddConnections(std::vector<std::shared_ptr<ServerConnection>>& aAll,
               const HttpServer& aServer,
               const ServerConnection* aExcept) -> void
{
  for (const auto& [pointer, connection] : aServer.mConnections) {
    if (pointer != aExcept) {
      aAll.push_back(connection);
    }
  }
}

/// Closes a connection of aServer for another one.
auto
EvictConnectionOf(ServerBudget& aBudget, const HttpServer& aServer) -> bool
{
  auto connections = std::vector<std::shared_ptr<ServerConnection>>{};
  AddConnections(connections, aServer, nullptr);
  const auto before = aBudget.mConnections;
  // NOTE: one that is evicted while it sends stays to hear its answer.
  const auto isEvicted =
    EvictOne(connections, aBudget.mRules.mChooseForConnection) &&
    (aBudget.mConnections < before ||
     EvictOne(connections, aBudget.mRules.mChooseForConnection)) &&
    aBudget.mConnections < before;
  aBudget.mCounters.mEvicted += isEvicted ? 1 : 0;
  return isEvicted;
}

/// Closes the connection that gives way for bytes of aExcept.
auto
EvictForBytes(ServerBudget& aBudget, const ServerConnection* aExcept) -> bool
{
  const auto now = MonotonicNow();
  if (now < aBudget.mLookAgainAt) {
    return false;
  }
  auto connections = std::vector<std::shared_ptr<ServerConnection>>{};
  for (const auto* server : aBudget.mServers) {
    AddConnections(connections, *server, aExcept);
  }
  if (!EvictOne(connections, aBudget.mRules.mChooseForBytes)) {
    aBudget.mLookAgainAt = now + kLookAgain;
    return false;
  }
  ++aBudget.mCounters.mEvicted;
  return true;
}

} // namespace

auto
CreateServerBudget(BudgetRules aRules) -> ServerBudgetPtr
{
  auto budget = std::make_shared<ServerBudget>();
  budget->mRules = std::move(aRules);
  return budget;
}

auto
CountBytes(const ServerBudget& aBudget) -> ServerBytes
{
  return { aBudget.mReceived, *aBudget.mBodies, aBudget.mUnsent };
}

auto
CountConnections(const ServerBudget& aBudget) -> std::size_t
{
  return aBudget.mConnections;
}

auto
CountersOf(const ServerBudget& aBudget) -> const BudgetCounters&
{
  return aBudget.mCounters;
}

auto
MakeRoomForConnection(ServerBudget& aBudget, HttpServer& aServer) -> bool
{
  const auto most = aBudget.mRules.mMaxConnections;
  const auto isShared = aBudget.mServers.size() > 1;
  const auto own = isShared ? most - most / kLeftToOthers : most;
  if (aServer.mConnections.size() >= own) {
    return EvictConnectionOf(aBudget, aServer);
  }
  if (aBudget.mConnections < most) {
    return true;
  }
  const auto largest = std::max_element(
    aBudget.mServers.begin(),
    aBudget.mServers.end(),
    [](const auto* aLeft, const auto* aRight) {
      return aLeft->mConnections.size() < aRight->mConnections.size();
    });
  return EvictConnectionOf(aBudget, **largest);
}

auto
MakeRoomForBytes(ServerBudget& aBudget,
                 const ServerConnection& aFor,
                 std::size_t aMore,
                 std::size_t aRequestBytes) -> bool
{
  const auto& rules = aBudget.mRules;
  while (rules.mMayHold && !rules.mMayHold(aMore, aRequestBytes)) {
    if (!EvictForBytes(aBudget, &aFor)) {
      return false;
    }
  }
  return true;
}

auto
EvictForBytes(ServerBudget& aBudget) -> bool
{
  return EvictForBytes(aBudget, nullptr);
}

} // namespace cuminslip::wire
