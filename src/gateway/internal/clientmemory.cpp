#include "gateway/clientmemory.h"

#include "gateway/types/gatewayevents.h"
#include "policy/eviction.h"

#include <utility>

namespace cuminslip::gateway {

namespace {

constexpr auto kBoundCheckInterval = Millis(100);
/// The other half is for the program itself: routing, endpoints, connections.
constexpr auto kShareForClients = std::size_t{ 2 };

auto
LogBound(const Event& aEvent, const ClientMemory& aMemory) -> void
{
  const auto use = CountMemory(aMemory);
  LogEvent(aEvent,
           { { "received", use.mReceived },
             { "bodies", use.mBodies },
             { "answers", use.mAnswers },
             { "unsent", use.mUnsent },
             { "bound", aMemory.mRules.mMaxBytes },
             { "refusals", aMemory.mRefusals } });
}

auto
CheckBound(ClientMemory& aMemory) -> void
{
  wire::StartTimer(*aMemory.mLoop, kBoundCheckInterval, [&aMemory] {
    if (!IsBoundLeft(CountMemory(aMemory), aMemory.mRules)) {
      CheckBound(aMemory);
      return;
    }
    aMemory.mIsAtBound = false;
    LogBound(kMemoryBoundLeftEvent, aMemory);
  });
}

auto
NoteRefusal(ClientMemory& aMemory) -> void
{
  ++aMemory.mRefusals;
  if (!std::exchange(aMemory.mIsAtBound, true)) {
    LogBound(kMemoryBoundMetEvent, aMemory);
    CheckBound(aMemory);
  }
}

auto
ToActivity(wire::ConnectionPhase aPhase) -> ClientActivity
{
  switch (aPhase) {
    case wire::ConnectionPhase::Idle:
      return ClientActivity::Idle;
    case wire::ConnectionPhase::Receiving:
      return ClientActivity::Sending;
    case wire::ConnectionPhase::Responding:
      return ClientActivity::Waiting;
    case wire::ConnectionPhase::Draining:
      return ClientActivity::Leaving;
  }
  return ClientActivity::Waiting;
}

using Choice = auto(*)(const std::vector<ClientUse>&, const EvictionRules&)
                 -> std::optional<std::size_t>;

auto
BindChoice(Choice aChoice) -> wire::ConnectionChooser
{
  return [aChoice](const std::vector<wire::ConnectionUse>& aUses) {
    auto clients = std::vector<ClientUse>{};
    clients.reserve(aUses.size());
    for (const auto& it : aUses) {
      clients.push_back({ ToActivity(it.mPhase),
                          it.mHasServed,
                          it.mHeldBytes,
                          it.mRecentBytes,
                          it.mAge });
    }
    return aChoice(clients, {});
  };
}

} // namespace

auto
SetUpClientMemory(ClientMemory& aMemory,
                  wire::EventLoop& aLoop,
                  const InstanceLimits& aLimits) -> void
{
  aMemory.mLoop = &aLoop;
  aMemory.mRules.mMaxBytes =
    static_cast<std::size_t>(aLimits.mMaxMemoryBytes) / kShareForClients;
  auto rules = wire::BudgetRules{};
  rules.mMaxConnections = static_cast<std::size_t>(aLimits.mMaxConnections);
  rules.mMayHold = [&aMemory](std::size_t aMore, std::size_t aRequestBytes) {
    if (aMemory.mRules.mMaxBytes == 0) {
      return true;
    }
    auto use = CountMemory(aMemory);
    use.mReceived += aMore;
    return MayTakeBody(use, aRequestBytes, aMemory.mRules);
  };
  rules.mChooseForConnection = BindChoice(ChooseToClose);
  rules.mChooseForBytes = BindChoice(ChooseToRelease);
  rules.mOnRefused = [&aMemory] { NoteRefusal(aMemory); };
  aMemory.mBudget = wire::CreateServerBudget(std::move(rules));
}

auto
CountMemory(const ClientMemory& aMemory) -> MemoryUse
{
  if (aMemory.mBudget == nullptr) {
    return {};
  }
  const auto bytes = wire::CountBytes(*aMemory.mBudget);
  return { bytes.mReceived,
           bytes.mBodies,
           aMemory.mCountAnswers ? aMemory.mCountAnswers() : 0,
           bytes.mUnsent };
}

auto
MayKeepAnswer(ClientMemory& aMemory, std::size_t aMore) -> bool
{
  while (!MayKeepAnswer(CountMemory(aMemory), aMore, aMemory.mRules)) {
    if (!wire::EvictForBytes(*aMemory.mBudget)) {
      return false;
    }
  }
  return true;
}

auto
TakeBody(ClientMemory& aMemory, std::size_t aBodyBytes) -> bool
{
  const auto isTaken =
    aMemory.mRules.mMaxBytes == 0 || aBodyBytes == 0 ||
    MayTakeBody(CountMemory(aMemory), aBodyBytes, aMemory.mRules);
  if (!isTaken) {
    NoteRefusal(aMemory);
  }
  return isTaken;
}

} // namespace cuminslip::gateway
