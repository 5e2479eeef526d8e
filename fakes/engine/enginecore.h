#pragma once

#include "fakes/engine/kvmemory.h"
#include "fakes/engine/types/enginemessages.h"
#include "fakes/engine/types/enginesettings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// A stand-in model engine without input or output: continuous batching in
/// steps. Each step reads a chunk of prompts, by priority, and decodes one
/// token of each stream in the batch. Time only goes forward, by the aNow of
/// the calls. Not thread safe.
namespace cuminslip::fakes {

/// A stream, or the reading of one part of a prompt.
struct EngineStream
{
  StreamRequest mRequest;
  std::uint64_t mOrder = 0;
  TimePoint mLeaseEnd;
  TimePoint mAllowanceEnd;
  /// The reservation of a part; empty for a stream.
  std::string mReservation;
  bool mIsInBatch = false;
  bool mIsAttached = true;
  std::int64_t mPrefillLeft = 0;
  std::int64_t mPrivateTokens = 0;
  std::size_t mUsedBlocks = 0;
  std::int64_t mNextPiece = 0;
};

/// Memory held for an owner until it is released or its lease ends.
struct EngineHolding
{
  HoldRequest mRequest;
  TimePoint mLeaseEnd;
  std::uint64_t mDigest = 0;
  /// Cached blocks that are kept, for exports and imports.
  std::vector<std::string> mBlocks;
  /// Tokens of a reservation that parts have taken.
  std::int64_t mPartTokens = 0;
};

struct EngineOrder
{
  OrderRequest mRequest;
  std::string mState;
  std::string mReason;
  TimePoint mDoneAt;
};

/// Rate-limited store from which engines load weights, shared by engines.
struct WeightStore
{
  double mGigabytesPerSecond = 8;
  TimePoint mBusyUntil;
};

struct EngineCounters
{
  std::int64_t mStreamsTaken = 0;
  std::int64_t mStreamsRefused = 0;
  std::int64_t mStreamsDone = 0;
  std::int64_t mStreamsCancelled = 0;
  std::int64_t mStreamsExpired = 0;
  std::int64_t mStreamsResumed = 0;
  std::int64_t mRepeatedAttempts = 0;
  std::int64_t mPrefillTokens = 0;
  std::int64_t mCachedTokens = 0;
  std::int64_t mPieces = 0;
  std::int64_t mPeakUsedTokens = 0;
  std::int64_t mHoldingsExpired = 0;
  std::int64_t mOrdersRefused = 0;
};

/// What the current step does when it ends.
struct EngineStep
{
  TimePoint mEnd;
  std::vector<std::pair<std::string, std::int64_t>> mPrefill;
  std::vector<std::string> mDecode;
};

struct Engine
{
  EngineSettings mSettings;
  double mTimeScale = 1;
  /// Makes the engine this many times slower.
  double mSlowFactor = 1;
  TimePoint mNow;
  std::string mRole;
  std::vector<EngineModel> mModels;
  KvMemory mMemory;
  std::uint64_t mNextOrder = 1;
  std::map<std::string, EngineStream> mStreams;
  std::map<std::string, EngineHolding> mHoldings;
  std::map<std::string, EngineOrder> mOrders;
  std::uint64_t mHighestFencing = 0;
  std::optional<EngineStep> mStep;
  std::vector<EngineOutput> mOutputs;
  EngineCounters mCounters;
  /// How often each attempt id, and each prompt digest, was taken.
  std::map<std::string, std::int64_t> mAttemptRuns;
  std::map<std::uint64_t, std::int64_t> mPromptRuns;
};

/// Engine with its models loaded and nothing running.
auto
CreateEngine(const EngineSettings& aSettings, double aTimeScale, TimePoint aNow)
  -> Engine;

/// Runs all steps and expiries up to aNow.
auto
Advance(Engine& aEngine, TimePoint aNow) -> void;

/// When Advance next has something to do; no value while idle.
auto
NextDue(const Engine& aEngine) -> std::optional<TimePoint>;

/// Removes and returns what streams and parts gave out so far.
auto
TakeOutputs(Engine& aEngine) -> std::vector<EngineOutput>;

/// Takes a stream or refuses it before running.
auto
SubmitStream(Engine& aEngine, const StreamRequest& aRequest, TimePoint aNow)
  -> Verdict;

/// Frees a stream; an unknown one is ignored.
auto
CancelStream(Engine& aEngine, const std::string& aAttempt, TimePoint aNow)
  -> void;

/// The stream's caller went away: it goes on until its lease ends.
auto
DetachStream(Engine& aEngine, const std::string& aAttempt) -> void;

/// Gives a stream a new attempt id and repeats its pieces from aFromPiece on.
auto
ResumeStream(Engine& aEngine, const ResumeRequest& aRequest, TimePoint aNow)
  -> Verdict;

/// Sets memory aside, for a reservation.
auto
Reserve(Engine& aEngine, const HoldRequest& aRequest, TimePoint aNow)
  -> Verdict;

/// Begins to read a part into its reservation; a PartRead output with the
/// holding's id as attempt follows.
auto
SubmitPart(Engine& aEngine, const PartRequest& aRequest, TimePoint aNow)
  -> Verdict;

/// Id of the holding that a part becomes.
auto
PartHoldingId(const std::string& aReservation, const std::string& aPart)
  -> std::string;

/// Keeps a cached prefix. Refused with 404 when it is not cached.
auto
ExportPrefix(Engine& aEngine,
             const HoldRequest& aRequest,
             const std::string& aPrefix,
             TimePoint aNow) -> Verdict;

/// Stores a prefix that was copied from another engine, and keeps it.
auto
ImportPrefix(Engine& aEngine,
             const HoldRequest& aRequest,
             const std::vector<std::string>& aHashes,
             TimePoint aNow) -> Verdict;

/// Extends the leases of an owner's streams and holdings; returns the ids that
/// are not there.
auto
RenewLeases(Engine& aEngine,
            const std::string& aOwner,
            Incarnation aIncarnation,
            Millis aLease,
            const std::vector<std::string>& aIds,
            TimePoint aNow) -> std::vector<std::string>;

/// Frees a holding, with its parts if it is a reservation; an unknown one is
/// ignored.
auto
ReleaseHolding(Engine& aEngine, const std::string& aId, TimePoint aNow) -> void;

/// Takes an order or refuses it for its fencing number.
auto
SubmitOrder(Engine& aEngine,
            WeightStore& aStore,
            const OrderRequest& aOrder,
            TimePoint aNow) -> Verdict;

/// Time taken to copy aTokens of KV cache from another engine.
auto
TransferTime(const Engine& aEngine, std::int64_t aTokens) -> Micros;

} // namespace cuminslip::fakes
