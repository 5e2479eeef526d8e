#include "gateway/internal/memoryaccount.h"

#include "gateway/internal/gatewaystate.h"
#include "gateway/types/gatewayevents.h"

namespace cuminslip::gateway {

namespace {

/// Small bodies are checked against a count of up to this age.
constexpr auto kMaxCountAge = Millis(20);
constexpr auto kBoundCheckInterval = Millis(100);
/// The other half is for the program itself: routing, endpoints, connections.
constexpr auto kShareForCallers = std::size_t{ 2 };

auto
LogBound(const Event& aEvent, const Gateway& aGateway) -> void
{
  const auto& memory = aGateway.mMemory;
  LogEvent(aEvent,
           { { "received", memory.mUse.mReceived },
             { "bodies", memory.mUse.mBodies },
             { "answers", memory.mUse.mAnswers },
             { "unsent", memory.mUse.mUnsent },
             { "bound", MemoryRulesOf(aGateway).mMaxBytes },
             { "refusals", memory.mRefusals } });
}

auto
UpdateCount(Gateway& aGateway) -> void
{
  aGateway.mMemory.mUse = CountMemory(aGateway);
  aGateway.mMemory.mCountedAt = MonotonicNow();
}

auto
CheckBound(Gateway& aGateway) -> void
{
  UpdateCount(aGateway);
  if (IsBoundLeft(aGateway.mMemory.mUse, MemoryRulesOf(aGateway))) {
    aGateway.mMemory.mIsAtBound = false;
    LogBound(kMemoryBoundLeftEvent, aGateway);
    return;
  }
  wire::StartTimer(*aGateway.mLoop, kBoundCheckInterval, [&aGateway] {
    CheckBound(aGateway);
  });
}

} // namespace

auto
MemoryRulesOf(const Gateway& aGateway) -> MemoryRules
{
  auto rules = MemoryRules{};
  rules.mMaxBytes =
    static_cast<std::size_t>(aGateway.mSettings.mLimits.mMaxMemoryBytes) /
    kShareForCallers;
  return rules;
}

auto
CountMemory(const Gateway& aGateway) -> MemoryUse
{
  auto use = MemoryUse{};
  for (const auto* server :
       { aGateway.mCallerServer.get(), aGateway.mRelayServer.get() }) {
    if (server != nullptr) {
      const auto bytes = wire::CountBytes(*server);
      use.mReceived += bytes.mReceived;
      use.mBodies += bytes.mBodies;
      use.mUnsent += bytes.mUnsent;
    }
  }
  if (aGateway.mForwarder) {
    use.mAnswers = forwarding::CountBufferedBytes(*aGateway.mForwarder);
  }
  return use;
}

auto
TakeBody(Gateway& aGateway, std::size_t aBodyBytes) -> bool
{
  const auto rules = MemoryRulesOf(aGateway);
  if (rules.mMaxBytes == 0 || aBodyBytes == 0) {
    return true;
  }
  auto& memory = aGateway.mMemory;
  if (aBodyBytes > rules.mSmallBody ||
      MonotonicNow() - memory.mCountedAt > kMaxCountAge) {
    UpdateCount(aGateway);
  }
  if (MayTakeBody(memory.mUse, aBodyBytes, rules)) {
    return true;
  }
  ++memory.mRefusals;
  // NOTE: the count contains the body that is dropped now.
  memory.mCountedAt = {};
  if (!std::exchange(memory.mIsAtBound, true)) {
    LogBound(kMemoryBoundMetEvent, aGateway);
    wire::StartTimer(*aGateway.mLoop, kBoundCheckInterval, [&aGateway] {
      CheckBound(aGateway);
    });
  }
  return false;
}

} // namespace cuminslip::gateway
