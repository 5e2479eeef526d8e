#include "fakes/engine/internal/enginesteps.h"

#include "fakes/engine/answertext.h"

#include <algorithm>
#include <cmath>

namespace cuminslip::fakes {

namespace {

constexpr auto kMicrosPerSecond = 1e6;

auto
IsPart(const EngineStream& aStream) -> bool
{
  return !aStream.mReservation.empty();
}

auto
IsDecoding(const EngineStream& aStream) -> bool
{
  return aStream.mIsInBatch && aStream.mPrefillLeft == 0 && !IsPart(aStream) &&
         aStream.mNextPiece < aStream.mRequest.mMaxTokens;
}

auto
Goes(const Engine& aEngine,
     const EngineStream& aLeft,
     const EngineStream& aRight) -> bool
{
  const auto left = aLeft.mRequest.mPriority;
  const auto right = aRight.mRequest.mPriority;
  if (aEngine.mSettings.mHonoursPriority && left != right) {
    return left < right;
  }
  return aLeft.mOrder < aRight.mOrder;
}

auto
SortedStreams(Engine& aEngine) -> std::vector<EngineStream*>
{
  auto streams = std::vector<EngineStream*>{};
  for (auto& [attempt, stream] : aEngine.mStreams) {
    streams.push_back(&stream);
  }
  std::sort(streams.begin(), streams.end(), [&](auto* aLeft, auto* aRight) {
    return Goes(aEngine, *aLeft, *aRight);
  });
  return streams;
}

auto
EnterBatch(Engine& aEngine, EngineStream& aStream) -> bool
{
  const auto& request = aStream.mRequest;
  auto& memory = aEngine.mMemory;
  // NOTE: the last token is always read, since it gives the first piece.
  const auto most = static_cast<std::size_t>(
    std::max<std::int64_t>(request.mPromptTokens - 1, 0) / kBlockTokens);
  const auto cached = CountCachedBlocks(memory, request.mPrefixHashes, most);
  UseBlocks(memory, request.mPrefixHashes, 0, cached);
  const auto cachedTokens = static_cast<std::int64_t>(cached) * kBlockTokens;
  const auto needed = request.mPromptTokens + request.mMaxTokens - cachedTokens;
  if (!ClaimTokens(memory, needed, aEngine.mNow)) {
    LeaveBlocks(memory, request.mPrefixHashes, cached);
    return false;
  }
  aStream.mIsInBatch = true;
  aStream.mUsedBlocks = cached;
  aStream.mPrivateTokens = needed;
  aStream.mPrefillLeft =
    request.mPromptTokens - cachedTokens + request.mSkipPieces;
  aEngine.mCounters.mCachedTokens += cachedTokens;
  return true;
}

auto
FillBatch(Engine& aEngine, const std::vector<EngineStream*>& aStreams) -> void
{
  auto used =
    std::count_if(aStreams.begin(), aStreams.end(), [](const auto* aStream) {
      return aStream->mIsInBatch && !IsPart(*aStream);
    });
  for (auto* stream : aStreams) {
    if (stream->mIsInBatch) {
      continue;
    }
    // NOTE: one that does not fit holds up those after it, so that large
    // streams are not passed for ever.
    if (used >= aEngine.mSettings.mBatchSlots ||
        !EnterBatch(aEngine, *stream)) {
      return;
    }
    ++used;
  }
}

auto
StepTime(const Engine& aEngine, std::int64_t aPrefill, std::size_t aDecoding)
  -> Micros
{
  const auto& settings = aEngine.mSettings;
  auto seconds =
    static_cast<double>(aPrefill) / settings.mPrefillTokensPerSecond;
  if (aDecoding > 0) {
    const auto others = static_cast<double>(aDecoding - 1);
    seconds += (1 + settings.mDecodeSlowdownPerStream * others) /
               settings.mDecodeTokensPerSecond;
  }
  seconds *= aEngine.mSlowFactor / aEngine.mTimeScale;
  const auto micros = std::llround(seconds * kMicrosPerSecond);
  return Micros(std::max<long long>(micros, 1));
}

auto
GivePiece(Engine& aEngine, EngineStream& aStream) -> void
{
  const auto& request = aStream.mRequest;
  const auto digest =
    AnswerDigest(request.mDigest, request.mModel, request.mVersion);
  const auto piece = aStream.mNextPiece++;
  aEngine.mCounters.mPieces += 1;
  if (aStream.mIsAttached) {
    aEngine.mOutputs.push_back({ OutputKind::Piece,
                                 request.mAttempt,
                                 piece,
                                 AnswerPiece(digest, piece),
                                 "" });
  }
}

auto
StorePrefix(Engine& aEngine, EngineStream& aStream) -> void
{
  const auto& hashes = aStream.mRequest.mPrefixHashes;
  const auto whole =
    static_cast<std::size_t>(aStream.mRequest.mPromptTokens / kBlockTokens);
  const auto end = std::min(whole, hashes.size());
  if (end <= aStream.mUsedBlocks) {
    return;
  }
  StoreBlocks(aEngine.mMemory, hashes, aStream.mUsedBlocks, end, aEngine.mNow);
  const auto stored = static_cast<std::int64_t>(end - aStream.mUsedBlocks);
  aStream.mPrivateTokens -= stored * kBlockTokens;
  aStream.mUsedBlocks = end;
}

auto
FinishPart(Engine& aEngine, const std::string& aId) -> void
{
  const auto stream = aEngine.mStreams.at(aId);
  RemoveStream(aEngine, aId);
  const auto reservation = aEngine.mHoldings.find(stream.mReservation);
  if (reservation == aEngine.mHoldings.end()) {
    return;
  }
  auto holding = EngineHolding{};
  holding.mRequest = reservation->second.mRequest;
  holding.mRequest.mId = aId;
  holding.mRequest.mKind = "part";
  holding.mRequest.mTokens = stream.mRequest.mPromptTokens;
  holding.mLeaseEnd = reservation->second.mLeaseEnd;
  holding.mDigest = stream.mRequest.mDigest;
  aEngine.mHoldings.emplace(aId, holding);
  aEngine.mOutputs.push_back(
    { OutputKind::PartRead, aId, holding.mRequest.mTokens, "", "" });
}

auto
ReadChunk(Engine& aEngine, const std::string& aAttempt, std::int64_t aTokens)
  -> void
{
  const auto it = aEngine.mStreams.find(aAttempt);
  if (it == aEngine.mStreams.end()) {
    return;
  }
  auto& stream = it->second;
  stream.mPrefillLeft -= aTokens;
  aEngine.mCounters.mPrefillTokens += aTokens;
  if (stream.mPrefillLeft > 0) {
    aEngine.mOutputs.push_back({ OutputKind::Reading, aAttempt, 0, "", "" });
    return;
  }
  if (IsPart(stream)) {
    FinishPart(aEngine, aAttempt);
    return;
  }
  StorePrefix(aEngine, stream);
  GivePiece(aEngine, stream);
}

auto
EndGenerated(Engine& aEngine) -> void
{
  auto generated = std::vector<std::string>{};
  for (const auto& [attempt, stream] : aEngine.mStreams) {
    if (stream.mIsAttached && !IsPart(stream) && stream.mPrefillLeft == 0 &&
        stream.mIsInBatch && stream.mNextPiece >= stream.mRequest.mMaxTokens) {
      generated.push_back(attempt);
    }
  }
  for (const auto& attempt : generated) {
    aEngine.mCounters.mStreamsDone += 1;
    EndStream(aEngine, attempt, "length");
  }
}

} // namespace

auto
RemoveStream(Engine& aEngine, const std::string& aAttempt) -> void
{
  const auto it = aEngine.mStreams.find(aAttempt);
  if (it == aEngine.mStreams.end()) {
    return;
  }
  const auto& stream = it->second;
  LeaveBlocks(
    aEngine.mMemory, stream.mRequest.mPrefixHashes, stream.mUsedBlocks);
  ReleaseTokens(aEngine.mMemory, stream.mPrivateTokens);
  aEngine.mStreams.erase(it);
}

auto
EndStream(Engine& aEngine,
          const std::string& aAttempt,
          const std::string& aReason) -> void
{
  const auto& stream = aEngine.mStreams.at(aAttempt);
  if (stream.mIsAttached) {
    aEngine.mOutputs.push_back(
      { OutputKind::End, aAttempt, stream.mNextPiece, "", aReason });
  }
  RemoveStream(aEngine, aAttempt);
}

auto
FinishStep(Engine& aEngine) -> void
{
  const auto step = std::move(*aEngine.mStep);
  aEngine.mStep.reset();
  for (const auto& [attempt, tokens] : step.mPrefill) {
    ReadChunk(aEngine, attempt, tokens);
  }
  for (const auto& attempt : step.mDecode) {
    const auto it = aEngine.mStreams.find(attempt);
    if (it != aEngine.mStreams.end() && IsDecoding(it->second)) {
      GivePiece(aEngine, it->second);
    }
  }
  EndGenerated(aEngine);
}

auto
BeginStep(Engine& aEngine, TimePoint aStart) -> void
{
  if (aEngine.mStep.has_value() || aEngine.mStreams.empty()) {
    return;
  }
  const auto streams = SortedStreams(aEngine);
  FillBatch(aEngine, streams);
  auto& counters = aEngine.mCounters;
  counters.mPeakUsedTokens =
    std::max(counters.mPeakUsedTokens, CountUsed(aEngine.mMemory));
  auto step = EngineStep{};
  auto budget = aEngine.mSettings.mChunkTokens;
  for (const auto* stream : streams) {
    const auto& attempt = stream->mRequest.mAttempt;
    if (IsDecoding(*stream)) {
      step.mDecode.push_back(attempt);
    }
    if (stream->mIsInBatch && stream->mPrefillLeft > 0 && budget > 0) {
      const auto tokens = std::min(budget, stream->mPrefillLeft);
      step.mPrefill.emplace_back(attempt, tokens);
      budget -= tokens;
    }
  }
  const auto chunk = aEngine.mSettings.mChunkTokens - budget;
  if (chunk == 0 && step.mDecode.empty()) {
    return;
  }
  step.mEnd = aStart + StepTime(aEngine, chunk, step.mDecode.size());
  aEngine.mStep = std::move(step);
}

} // namespace cuminslip::fakes
