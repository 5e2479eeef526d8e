#pragma once

#include "policy/waitqueue.h"

#include <optional>

/// Weighted fair queueing between the accounts of a wait queue.
namespace cuminslip {

/// Returns the account's record and creates it if missing. The virtual time of
/// an account without waiting requests is raised to that of the queue.
auto
OpenAccount(WaitQueue& aQueue, const AccountId& aAccount, double aWeight)
  -> AccountWait&;

/// Removes accounts without waiting requests whose virtual time is not ahead of
/// the queue's.
auto
CloseIdleAccounts(WaitQueue& aQueue) -> void;

/// Returns the account with the most waiting requests and bytes relative to its
/// weight; null if nothing waits.
auto
FindLargestHolder(const WaitQueue& aQueue) -> const AccountWait*;

struct Head
{
  RequestId mId;
  StartReason mReason = StartReason::FairShare;
};

/// Returns the entry to start next among the first ones of each account and
/// WaitPool. Precondition: due entries are promoted.
auto
FindHead(const WaitQueue& aQueue, TimePoint aNow, const CanStart& aCanStart)
  -> std::optional<Head>;

} // namespace cuminslip
