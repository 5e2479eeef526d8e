#include "fakes/engine/enginecore.h"

#include "fakes/engine/answertext.h"
#include "fakes/engine/internal/enginesteps.h"

#include <algorithm>

namespace cuminslip::fakes {

namespace {

constexpr auto kRefusedConflict = 409;
constexpr auto kRefusedBusy = 429;
constexpr auto kNotFound = 404;
constexpr auto kRetrySoon = Millis(50);

auto
HasModel(const Engine& aEngine, const StreamRequest& aRequest) -> bool
{
  return std::any_of(
    aEngine.mModels.begin(), aEngine.mModels.end(), [&](const auto& aModel) {
      const auto& adapters = aModel.mAdapters;
      const auto hasAdapter =
        aRequest.mAdapter.empty() ||
        std::find(adapters.begin(), adapters.end(), aRequest.mAdapter) !=
          adapters.end();
      return aModel.mModel == aRequest.mModel &&
             aModel.mVersion == aRequest.mVersion && hasAdapter;
    });
}

auto
CountWaiting(const Engine& aEngine) -> std::int64_t
{
  return std::count_if(
    aEngine.mStreams.begin(), aEngine.mStreams.end(), [](const auto& aEntry) {
      return !aEntry.second.mIsInBatch;
    });
}

auto
CheckStream(const Engine& aEngine, const StreamRequest& aRequest) -> Verdict
{
  if (aEngine.mStreams.contains(aRequest.mAttempt)) {
    return { false, kRefusedConflict, "attempt_known", Millis(0) };
  }
  if (!HasModel(aEngine, aRequest)) {
    return { false, kRefusedConflict, "model_not_loaded", Millis(0) };
  }
  const auto needed = aRequest.mPromptTokens + aRequest.mMaxTokens;
  if (needed > aEngine.mMemory.mTotal) {
    return { false, kRefusedConflict, "too_large", Millis(0) };
  }
  if (CountWaiting(aEngine) >= aEngine.mSettings.mMaxWaiting) {
    return { false, kRefusedBusy, "busy", kRetrySoon };
  }
  return {};
}

auto
ExpireStreams(Engine& aEngine) -> void
{
  auto over = std::vector<std::pair<std::string, std::string>>{};
  for (const auto& [attempt, stream] : aEngine.mStreams) {
    if (stream.mAllowanceEnd <= aEngine.mNow) {
      over.emplace_back(attempt, "allowance");
    } else if (stream.mLeaseEnd <= aEngine.mNow) {
      over.emplace_back(attempt, "lease");
    }
  }
  for (const auto& [attempt, reason] : over) {
    aEngine.mCounters.mStreamsExpired += 1;
    EndStream(aEngine, attempt, reason);
  }
}

auto
ExpireHoldings(Engine& aEngine) -> void
{
  auto over = std::vector<std::string>{};
  for (const auto& [id, holding] : aEngine.mHoldings) {
    if (holding.mLeaseEnd <= aEngine.mNow) {
      over.push_back(id);
    }
  }
  for (const auto& id : over) {
    aEngine.mCounters.mHoldingsExpired += 1;
    RemoveHolding(aEngine, id);
  }
}

/// Earliest end of a lease, an allowance or an order.
auto
NextExpiry(const Engine& aEngine) -> std::optional<TimePoint>
{
  auto next = std::optional<TimePoint>{};
  const auto consider = [&](TimePoint aTime) {
    next = std::min(next.value_or(aTime), aTime);
  };
  for (const auto& [attempt, stream] : aEngine.mStreams) {
    consider(std::min(stream.mLeaseEnd, stream.mAllowanceEnd));
  }
  for (const auto& [id, holding] : aEngine.mHoldings) {
    consider(holding.mLeaseEnd);
  }
  for (const auto& [id, order] : aEngine.mOrders) {
    if (order.mState == "running" && order.mDoneAt > aEngine.mNow) {
      consider(order.mDoneAt);
    }
  }
  return next;
}

} // namespace

auto
CreateEngine(const EngineSettings& aSettings, double aTimeScale, TimePoint aNow)
  -> Engine
{
  auto engine = Engine{};
  engine.mSettings = aSettings;
  engine.mTimeScale = aTimeScale;
  engine.mNow = aNow;
  engine.mRole = aSettings.mRole;
  engine.mModels = aSettings.mModels;
  engine.mMemory.mTotal = aSettings.mTotalKvTokens;
  return engine;
}

auto
Advance(Engine& aEngine, TimePoint aNow) -> void
{
  while (true) {
    const auto due = NextDue(aEngine);
    if (!due.has_value() || *due > aNow) {
      break;
    }
    aEngine.mNow = std::max(aEngine.mNow, *due);
    if (aEngine.mStep.has_value() && aEngine.mStep->mEnd <= aEngine.mNow) {
      FinishStep(aEngine);
    }
    ExpireStreams(aEngine);
    ExpireHoldings(aEngine);
    FinishOrders(aEngine);
    BeginStep(aEngine, aEngine.mNow);
  }
  aEngine.mNow = std::max(aEngine.mNow, aNow);
}

auto
NextDue(const Engine& aEngine) -> std::optional<TimePoint>
{
  auto next = NextExpiry(aEngine);
  if (aEngine.mStep.has_value()) {
    next = std::min(next.value_or(aEngine.mStep->mEnd), aEngine.mStep->mEnd);
  }
  return next;
}

auto
TakeOutputs(Engine& aEngine) -> std::vector<EngineOutput>
{
  return std::exchange(aEngine.mOutputs, {});
}

auto
SubmitStream(Engine& aEngine, const StreamRequest& aRequest, TimePoint aNow)
  -> Verdict
{
  Advance(aEngine, aNow);
  auto verdict = CheckStream(aEngine, aRequest);
  if (!verdict.mIsAccepted) {
    aEngine.mCounters.mStreamsRefused += 1;
    return verdict;
  }
  auto stream = EngineStream{};
  stream.mRequest = aRequest;
  stream.mOrder = aEngine.mNextOrder++;
  stream.mLeaseEnd = aNow + aRequest.mLease;
  stream.mAllowanceEnd = aNow + aRequest.mAllowance;
  stream.mNextPiece = aRequest.mSkipPieces;
  aEngine.mStreams.emplace(aRequest.mAttempt, std::move(stream));
  auto& counters = aEngine.mCounters;
  counters.mStreamsTaken += 1;
  if (++aEngine.mAttemptRuns[aRequest.mAttempt] > 1) {
    counters.mRepeatedAttempts += 1;
  }
  aEngine.mPromptRuns[aRequest.mDigest] += 1;
  BeginStep(aEngine, aNow);
  return verdict;
}

auto
CancelStream(Engine& aEngine, const std::string& aAttempt, TimePoint aNow)
  -> void
{
  Advance(aEngine, aNow);
  if (!aEngine.mStreams.contains(aAttempt)) {
    return;
  }
  aEngine.mCounters.mStreamsCancelled += 1;
  RemoveStream(aEngine, aAttempt);
  BeginStep(aEngine, aNow);
}

auto
DetachStream(Engine& aEngine, const std::string& aAttempt) -> void
{
  const auto it = aEngine.mStreams.find(aAttempt);
  if (it != aEngine.mStreams.end()) {
    it->second.mIsAttached = false;
  }
}

auto
ResumeStream(Engine& aEngine, const ResumeRequest& aRequest, TimePoint aNow)
  -> Verdict
{
  Advance(aEngine, aNow);
  const auto it = aEngine.mStreams.find(aRequest.mAttempt);
  if (it == aEngine.mStreams.end() || !it->second.mReservation.empty()) {
    return { false, kNotFound, "stream_unknown", Millis(0) };
  }
  if (aEngine.mStreams.contains(aRequest.mNewAttempt)) {
    return { false, kRefusedConflict, "attempt_known", Millis(0) };
  }
  auto node = aEngine.mStreams.extract(it);
  auto& stream = node.mapped();
  node.key() = aRequest.mNewAttempt;
  stream.mRequest.mAttempt = aRequest.mNewAttempt;
  stream.mRequest.mOwner = aRequest.mOwner;
  stream.mRequest.mOwnerIncarnation = aRequest.mOwnerIncarnation;
  stream.mLeaseEnd = aNow + aRequest.mLease;
  stream.mIsAttached = true;
  const auto digest = AnswerDigest(
    stream.mRequest.mDigest, stream.mRequest.mModel, stream.mRequest.mVersion);
  for (auto i = aRequest.mFromPiece; i < stream.mNextPiece; ++i) {
    aEngine.mOutputs.push_back({ OutputKind::Piece,
                                 aRequest.mNewAttempt,
                                 i,
                                 AnswerPiece(digest, i),
                                 "" });
  }
  const auto isGenerated = stream.mIsInBatch && stream.mPrefillLeft == 0 &&
                           stream.mNextPiece >= stream.mRequest.mMaxTokens;
  aEngine.mStreams.insert(std::move(node));
  aEngine.mCounters.mStreamsResumed += 1;
  if (isGenerated) {
    aEngine.mCounters.mStreamsDone += 1;
    EndStream(aEngine, aRequest.mNewAttempt, "length");
  }
  return {};
}

} // namespace cuminslip::fakes
