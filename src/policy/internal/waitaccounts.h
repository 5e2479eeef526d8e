#pragma once

#include "policy/waitqueue.h"

#include <optional>

/// Fair shares of the accounts in a wait queue.
namespace cuminslip {

/// The account's record, made when it is missing; its virtual time begins at
/// the queue's.
auto
OpenAccount(WaitQueue& aQueue, const AccountId& aAccount, double aWeight)
  -> AccountWait&;

/// Drops accounts that wait for nothing and are not ahead of the others.
auto
CloseIdleAccounts(WaitQueue& aQueue) -> void;

/// The account with most waiting bytes and requests for its weight; null when
/// nothing waits.
auto
FindLargestHolder(const WaitQueue& aQueue) -> const AccountWait*;

struct Head
{
  RequestId mId;
  StartReason mReason = StartReason::FairShare;
};

/// The entry to start next among the first of each account, pool and lane.
/// Precondition: due entries are promoted.
auto
FindHead(const WaitQueue& aQueue, TimePoint aNow, const CanStart& aCanStart)
  -> std::optional<Head>;

} // namespace cuminslip
