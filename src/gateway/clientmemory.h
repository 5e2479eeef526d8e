#pragma once

#include "base/clock.h"
#include "policy/memorybudget.h"
#include "settings/types/settings.h"
#include "wire/eventloop.h"
#include "wire/serverbudget.h"

#include <cstdint>
#include <functional>

/// The memory and the connections that a process holds for clients, on all its
/// HTTP listeners together, and the refusals for them. Functions are for the
/// loop's thread.
namespace cuminslip::gateway {

struct ClientMemory
{
  wire::EventLoop* mLoop = nullptr;
  MemoryRules mRules;
  wire::ServerBudgetPtr mBudget;
  /// Bytes of answers that are kept until they are whole; may be null.
  std::function<std::size_t()> mCountAnswers;
  bool mIsAtBound = false;
  std::uint64_t mRefusals = 0;
};

/// Sets aMemory up by the settings. Precondition: aMemory stays where it is,
/// and outlives the listeners that share its budget.
auto
SetUpClientMemory(ClientMemory& aMemory,
                  wire::EventLoop& aLoop,
                  const InstanceLimits& aLimits) -> void;

/// What is held now. All zeros before aMemory is set up.
auto
CountMemory(const ClientMemory& aMemory) -> MemoryUse;

/// True if aMore bytes of answers may be kept, which may close connections of
/// clients that take nothing.
auto
MayKeepAnswer(ClientMemory& aMemory, std::size_t aMore) -> bool;

/// True if a request may be taken whose body of aBodyBytes the listener has
/// already. Counts the refusal otherwise, and logs when the bound is met and
/// when it is left.
auto
TakeBody(ClientMemory& aMemory, std::size_t aBodyBytes) -> bool;

} // namespace cuminslip::gateway
