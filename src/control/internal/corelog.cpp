#include "control/controlcodec.h"
#include "control/internal/stepcontext.h"

#include <algorithm>

namespace cuminslip {

namespace {

/// Estimated memory of an entry besides its payload.
constexpr auto kEntryOverheadBytes = std::size_t{ 64 };

auto
EntryBytes(const LogEntry& aEntry) -> std::size_t
{
  return aEntry.mPayload.size() + kEntryOverheadBytes;
}

} // namespace

auto
LastIndex(const CoreLog& aLog) -> Revision
{
  return aLog.mBaseIndex + aLog.mEntries.size();
}

auto
TermAt(const CoreLog& aLog, Revision aIndex) -> std::optional<Term>
{
  if (aIndex == aLog.mBaseIndex) {
    return aLog.mBaseTerm;
  }
  if (aIndex < aLog.mBaseIndex || aIndex > LastIndex(aLog)) {
    return std::nullopt;
  }
  return aLog.mEntries[aIndex - aLog.mBaseIndex - 1].mTerm;
}

auto
LastTerm(const CoreLog& aLog) -> Term
{
  return aLog.mEntries.empty() ? aLog.mBaseTerm : aLog.mEntries.back().mTerm;
}

auto
CurrentMembership(const CoreState& aState) -> const Membership&
{
  return aState.mMemberships.back().mMembership;
}

auto
AppendEntries(StepContext& aContext, std::vector<LogEntry> aEntries) -> void
{
  auto& state = aContext.mState;
  for (auto& it : aEntries) {
    if (it.mKind == EntryKind::Membership) {
      auto decoded = CollectOutcome<Membership>(
        [&] { return DecodeMembership(it.mPayload); });
      if (decoded.mValue) {
        state.mMemberships.push_back({ it.mIndex, std::move(*decoded.mValue) });
      }
    }
    state.mLog.mBytes += EntryBytes(it);
    state.mLog.mEntries.push_back(it);
    aContext.mWrite.mEntries.push_back(std::move(it));
  }
}

auto
TruncateLog(StepContext& aContext, Revision aFrom) -> void
{
  auto& state = aContext.mState;
  while (LastIndex(state.mLog) >= aFrom && !state.mLog.mEntries.empty()) {
    state.mLog.mBytes -= EntryBytes(state.mLog.mEntries.back());
    state.mLog.mEntries.pop_back();
  }
  while (state.mMemberships.size() > 1 &&
         state.mMemberships.back().mIndex >= aFrom) {
    state.mMemberships.pop_back();
  }
  state.mDurable = std::min(state.mDurable, aFrom - 1);
  for (auto& it : state.mPendingWrites) {
    it.mDurableTo = std::min(it.mDurableTo, aFrom - 1);
  }
  aContext.mWrite.mTruncateFrom = aFrom;
}

auto
AdvanceCommit(StepContext& aContext, Revision aCommit) -> void
{
  auto& state = aContext.mState;
  const auto commit = std::min(aCommit, LastIndex(state.mLog));
  if (commit <= state.mCommit) {
    return;
  }
  state.mCommit = commit;
}

auto
CompactLog(CoreState& aState, Revision aIndex) -> void
{
  auto& log = aState.mLog;
  while (!log.mEntries.empty() && log.mBaseIndex < aIndex) {
    log.mBytes -= EntryBytes(log.mEntries.front());
    log.mBaseIndex = log.mEntries.front().mIndex;
    log.mBaseTerm = log.mEntries.front().mTerm;
    log.mEntries.pop_front();
  }
  while (aState.mMemberships.size() > 1 &&
         aState.mMemberships[1].mIndex <= log.mBaseIndex) {
    aState.mMemberships.erase(aState.mMemberships.begin());
  }
}

} // namespace cuminslip
