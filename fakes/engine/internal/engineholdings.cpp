#include "fakes/engine/answertext.h"
#include "fakes/engine/internal/enginesteps.h"

#include <cmath>

namespace cuminslip::fakes {

namespace {

constexpr auto kRefusedConflict = 409;
constexpr auto kNotFound = 404;
constexpr auto kRetrySoon = Millis(50);
constexpr auto kMicrosPerSecond = 1e6;

auto
AddHolding(Engine& aEngine,
           const HoldRequest& aRequest,
           std::vector<std::string> aBlocks,
           TimePoint aNow) -> void
{
  auto holding = EngineHolding{};
  holding.mRequest = aRequest;
  holding.mLeaseEnd = aNow + aRequest.mLease;
  holding.mBlocks = std::move(aBlocks);
  aEngine.mHoldings.emplace(aRequest.mId, std::move(holding));
  auto& counters = aEngine.mCounters;
  counters.mPeakUsedTokens =
    std::max(counters.mPeakUsedTokens, CountUsed(aEngine.mMemory));
}

auto
IsOwner(const std::string& aOwner,
        Incarnation aIncarnation,
        const std::string& aHolder,
        Incarnation aHolderIncarnation) -> bool
{
  return aOwner == aHolder && aIncarnation >= aHolderIncarnation;
}

} // namespace

auto
RemoveHolding(Engine& aEngine, const std::string& aId) -> void
{
  const auto it = aEngine.mHoldings.find(aId);
  if (it == aEngine.mHoldings.end()) {
    return;
  }
  const auto holding = it->second;
  aEngine.mHoldings.erase(it);
  LeaveBlocks(aEngine.mMemory, holding.mBlocks, holding.mBlocks.size());
  if (holding.mRequest.mKind != "reservation") {
    return;
  }
  ReleaseTokens(aEngine.mMemory, holding.mRequest.mTokens);
  const auto prefix = PartHoldingId(aId, "");
  std::erase_if(aEngine.mHoldings, [&](const auto& aEntry) {
    return aEntry.second.mRequest.mKind == "part" &&
           aEntry.first.starts_with(prefix);
  });
  auto parts = std::vector<std::string>{};
  for (const auto& [attempt, stream] : aEngine.mStreams) {
    if (stream.mReservation == aId) {
      parts.push_back(attempt);
    }
  }
  for (const auto& part : parts) {
    EndStream(aEngine, part, "released");
  }
}

auto
Reserve(Engine& aEngine, const HoldRequest& aRequest, TimePoint aNow) -> Verdict
{
  Advance(aEngine, aNow);
  if (aEngine.mHoldings.contains(aRequest.mId)) {
    return {};
  }
  if (!ClaimTokens(aEngine.mMemory, aRequest.mTokens, aNow)) {
    return { false, kRefusedConflict, "no_memory", kRetrySoon };
  }
  AddHolding(aEngine, aRequest, {}, aNow);
  return {};
}

auto
PartHoldingId(const std::string& aReservation, const std::string& aPart)
  -> std::string
{
  return aReservation + "." + aPart;
}

auto
SubmitPart(Engine& aEngine, const PartRequest& aRequest, TimePoint aNow)
  -> Verdict
{
  Advance(aEngine, aNow);
  const auto it = aEngine.mHoldings.find(aRequest.mReservation);
  if (it == aEngine.mHoldings.end()) {
    return { false, kNotFound, "reservation_unknown", Millis(0) };
  }
  auto& reservation = it->second;
  const auto id = PartHoldingId(aRequest.mReservation, aRequest.mPart);
  if (aEngine.mStreams.contains(id) || aEngine.mHoldings.contains(id)) {
    return { false, kRefusedConflict, "part_known", Millis(0) };
  }
  if (reservation.mPartTokens + aRequest.mTokens >
      reservation.mRequest.mTokens) {
    return { false, kRefusedConflict, "reservation_full", Millis(0) };
  }
  reservation.mPartTokens += aRequest.mTokens;
  auto stream = EngineStream{};
  stream.mRequest.mAttempt = id;
  stream.mRequest.mOwner = reservation.mRequest.mOwner;
  stream.mRequest.mOwnerIncarnation = reservation.mRequest.mOwnerIncarnation;
  stream.mRequest.mPromptTokens = aRequest.mTokens;
  stream.mRequest.mDigest = aRequest.mDigest;
  stream.mRequest.mPriority = aRequest.mPriority;
  stream.mOrder = aEngine.mNextOrder++;
  stream.mReservation = aRequest.mReservation;
  stream.mIsInBatch = true;
  stream.mPrefillLeft = aRequest.mTokens;
  stream.mLeaseEnd = TimePoint::max();
  stream.mAllowanceEnd = TimePoint::max();
  aEngine.mStreams.emplace(id, std::move(stream));
  BeginStep(aEngine, aNow);
  return {};
}

auto
ExportPrefix(Engine& aEngine,
             const HoldRequest& aRequest,
             const std::string& aPrefix,
             TimePoint aNow) -> Verdict
{
  Advance(aEngine, aNow);
  if (aEngine.mHoldings.contains(aRequest.mId)) {
    return {};
  }
  auto hashes = ListPrefix(aEngine.mMemory, aPrefix);
  if (hashes.empty()) {
    return { false, kNotFound, "prefix_not_cached", Millis(0) };
  }
  UseBlocks(aEngine.mMemory, hashes, 0, hashes.size());
  auto request = aRequest;
  request.mTokens = static_cast<std::int64_t>(hashes.size()) * kBlockTokens;
  AddHolding(aEngine, request, std::move(hashes), aNow);
  return {};
}

auto
ImportPrefix(Engine& aEngine,
             const HoldRequest& aRequest,
             const std::vector<std::string>& aHashes,
             TimePoint aNow) -> Verdict
{
  Advance(aEngine, aNow);
  if (aEngine.mHoldings.contains(aRequest.mId)) {
    return {};
  }
  auto& memory = aEngine.mMemory;
  const auto cached = CountCachedBlocks(memory, aHashes, aHashes.size());
  UseBlocks(memory, aHashes, 0, cached);
  const auto missing = static_cast<std::int64_t>(aHashes.size() - cached);
  if (!ClaimTokens(memory, missing * kBlockTokens, aNow)) {
    LeaveBlocks(memory, aHashes, cached);
    return { false, kRefusedConflict, "no_memory", kRetrySoon };
  }
  StoreBlocks(memory, aHashes, cached, aHashes.size(), aNow);
  auto request = aRequest;
  request.mTokens = static_cast<std::int64_t>(aHashes.size()) * kBlockTokens;
  AddHolding(aEngine, request, aHashes, aNow);
  return {};
}

auto
RenewLeases(Engine& aEngine,
            const std::string& aOwner,
            Incarnation aIncarnation,
            Millis aLease,
            const std::vector<std::string>& aIds,
            TimePoint aNow) -> std::vector<std::string>
{
  Advance(aEngine, aNow);
  auto unknown = std::vector<std::string>{};
  for (const auto& id : aIds) {
    const auto stream = aEngine.mStreams.find(id);
    const auto holding = aEngine.mHoldings.find(id);
    if (stream != aEngine.mStreams.end() &&
        IsOwner(aOwner,
                aIncarnation,
                stream->second.mRequest.mOwner,
                stream->second.mRequest.mOwnerIncarnation)) {
      stream->second.mLeaseEnd = aNow + aLease;
    } else if (holding != aEngine.mHoldings.end() &&
               IsOwner(aOwner,
                       aIncarnation,
                       holding->second.mRequest.mOwner,
                       holding->second.mRequest.mOwnerIncarnation)) {
      holding->second.mLeaseEnd = aNow + aLease;
    } else {
      unknown.push_back(id);
    }
  }
  return unknown;
}

auto
ReleaseHolding(Engine& aEngine, const std::string& aId, TimePoint aNow) -> void
{
  Advance(aEngine, aNow);
  RemoveStream(aEngine, aId);
  RemoveHolding(aEngine, aId);
  BeginStep(aEngine, aNow);
}

auto
TransferTime(const Engine& aEngine, std::int64_t aTokens) -> Micros
{
  const auto rate =
    aEngine.mSettings.mTransferTokensPerSecond * aEngine.mTimeScale;
  const auto seconds = static_cast<double>(aTokens) / rate;
  return Micros(std::llround(seconds * kMicrosPerSecond));
}

} // namespace cuminslip::fakes
