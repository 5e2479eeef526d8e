#include "control/internal/applyparts.h"

#include <algorithm>
#include <limits>

namespace cuminslip {

namespace {

/// Bytes accounted to a work record besides its request and result.
constexpr auto kWorkOverheadBytes = std::size_t{ 512 };

auto
IsComplete(const WorkRecord& aWork) -> bool
{
  return aWork.mRequest.size() == aWork.mTotalBytes;
}

auto
BeginWork(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const SubmitWorkCommand& aCommand) -> CommandStatus
{
  const auto bytes = aCommand.mTotalBytes + kWorkOverheadBytes;
  if (aState.mWorks.size() >= aBounds.mMaxWorks ||
      aState.mWorkBytes + bytes > aBounds.mMaxAllWorkBytes) {
    return CommandStatus::Full;
  }
  auto work = WorkRecord{};
  work.mFingerprint = aCommand.mFingerprint;
  work.mTotalBytes = aCommand.mTotalBytes;
  work.mOrder = aIndex;
  work.mExpiresAt =
    aState.mClock + std::min(aCommand.mRetention, aBounds.mMaxWorkRetention);
  aState.mWorkBytes += WorkBytes(work);
  aState.mNextWorkExpiry =
    aState.mWorks.empty() ? work.mExpiresAt
                          : std::min(aState.mNextWorkExpiry, work.mExpiresAt);
  aState.mWorks.emplace(AccountKey{ aCommand.mAccount, aCommand.mWork },
                        std::move(work));
  return CommandStatus::Accepted;
}

/// Appends a piece, skipping bytes that are already stored. Invalid if it
/// leaves a gap or exceeds aTotal.
auto
AppendPiece(std::string& aBytes,
            std::uint64_t aTotal,
            std::uint64_t aOffset,
            const std::string& aPiece) -> CommandStatus
{
  if (aOffset > aBytes.size() || aPiece.size() > aTotal ||
      aOffset > aTotal - aPiece.size()) {
    return CommandStatus::Invalid;
  }
  const auto known = aBytes.size() - aOffset;
  if (known < aPiece.size()) {
    aBytes += aPiece.substr(known);
  }
  return CommandStatus::Accepted;
}

/// Deletes the partial result of a former holder.
auto
DropResult(ControlState& aState, WorkRecord& aWork) -> void
{
  aState.mWorkBytes -= aWork.mResultBytes;
  aWork.mResultBytes = 0;
  aWork.mResult.clear();
}

/// The work that aToken already holds, else the oldest that is not held.
auto
FindWorkFor(ControlState& aState, const std::string& aToken)
  -> std::map<AccountKey, WorkRecord>::iterator
{
  auto best = aState.mWorks.end();
  for (auto it = aState.mWorks.begin(); it != aState.mWorks.end(); ++it) {
    const auto& work = it->second;
    if (work.mIsFinished || !IsComplete(work)) {
      continue;
    }
    if (work.mToken == aToken) {
      return it;
    }
    const auto isFree = aState.mClock >= work.mLeaseUntil;
    if (isFree &&
        (best == aState.mWorks.end() || work.mOrder < best->second.mOrder)) {
      best = it;
    }
  }
  return best;
}

} // namespace

auto
WorkBytes(const WorkRecord& aWork) -> std::size_t
{
  return aWork.mTotalBytes + aWork.mResultBytes + kWorkOverheadBytes;
}

auto
DropExpiredWorks(ControlState& aState) -> void
{
  if (aState.mWorks.empty() || aState.mClock < aState.mNextWorkExpiry) {
    return;
  }
  auto next = std::numeric_limits<LogMillis>::max();
  for (auto it = aState.mWorks.begin(); it != aState.mWorks.end();) {
    if (aState.mClock < it->second.mExpiresAt) {
      next = std::min(next, it->second.mExpiresAt);
      ++it;
      continue;
    }
    aState.mWorkBytes -= WorkBytes(it->second);
    it = aState.mWorks.erase(it);
  }
  aState.mNextWorkExpiry = aState.mWorks.empty() ? 0 : next;
}

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const SubmitWorkCommand& aCommand) -> CommandResult
{
  if (!AreNamesValid(
        aBounds,
        { aCommand.mAccount.mValue, aCommand.mWork, aCommand.mFingerprint }) ||
      aCommand.mTotalBytes > aBounds.mMaxWorkBytes) {
    return { CommandStatus::Invalid };
  }
  const auto key = AccountKey{ aCommand.mAccount, aCommand.mWork };
  if (!aState.mWorks.contains(key)) {
    const auto status = BeginWork(aState, aBounds, aIndex, aCommand);
    if (status != CommandStatus::Accepted) {
      return { status };
    }
  }
  auto& work = aState.mWorks.at(key);
  if (work.mFingerprint != aCommand.mFingerprint ||
      work.mTotalBytes != aCommand.mTotalBytes) {
    return { CommandStatus::FingerprintMismatch };
  }
  return { AppendPiece(
    work.mRequest, work.mTotalBytes, aCommand.mOffset, aCommand.mPiece) };
}

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision /*aIndex*/,
          const TakeWorkCommand& aCommand) -> CommandResult
{
  if (!AreNamesValid(aBounds, { aCommand.mHolder, aCommand.mToken })) {
    return { CommandStatus::Invalid };
  }
  const auto it = FindWorkFor(aState, aCommand.mToken);
  if (it == aState.mWorks.end()) {
    return { CommandStatus::NotFound };
  }
  if (it->second.mToken != aCommand.mToken) {
    DropResult(aState, it->second);
  }
  it->second.mToken = aCommand.mToken;
  it->second.mLeaseUntil = aState.mClock + aCommand.mLease;
  return { CommandStatus::Accepted,
           it->second.mOrder,
           it->first.mAccount.mValue,
           it->first.mName,
           it->second.mRequest };
}

auto
ApplyKind(ControlState& aState,
          const ControlLimits& /*aBounds*/,
          Revision /*aIndex*/,
          const RenewWorkCommand& aCommand) -> CommandResult
{
  const auto it =
    aState.mWorks.find(AccountKey{ aCommand.mAccount, aCommand.mWork });
  if (it == aState.mWorks.end()) {
    return { CommandStatus::NotFound };
  }
  if (it->second.mToken != aCommand.mToken) {
    return { CommandStatus::HeldByOther };
  }
  it->second.mLeaseUntil = aState.mClock + aCommand.mLease;
  return { CommandStatus::Accepted };
}

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision /*aIndex*/,
          const FinishWorkCommand& aCommand) -> CommandResult
{
  const auto it =
    aState.mWorks.find(AccountKey{ aCommand.mAccount, aCommand.mWork });
  if (it == aState.mWorks.end()) {
    return { CommandStatus::NotFound };
  }
  auto& work = it->second;
  if (work.mToken != aCommand.mToken) {
    return { CommandStatus::HeldByOther };
  }
  if (work.mIsFinished) {
    return { CommandStatus::Accepted };
  }
  if (aCommand.mTotalBytes > aBounds.mMaxWorkBytes) {
    return { CommandStatus::Invalid };
  }
  if (work.mResult.empty() && work.mResultBytes != aCommand.mTotalBytes) {
    const auto others = aState.mWorkBytes - work.mResultBytes;
    if (others + aCommand.mTotalBytes > aBounds.mMaxAllWorkBytes) {
      return { CommandStatus::Full };
    }
    aState.mWorkBytes = others + aCommand.mTotalBytes;
    work.mResultBytes = aCommand.mTotalBytes;
  }
  if (work.mResultBytes != aCommand.mTotalBytes) {
    return { CommandStatus::Invalid };
  }
  const auto status = AppendPiece(
    work.mResult, work.mResultBytes, aCommand.mOffset, aCommand.mPiece);
  work.mIsFinished = status == CommandStatus::Accepted &&
                     work.mResult.size() == work.mResultBytes;
  return { status };
}

} // namespace cuminslip
