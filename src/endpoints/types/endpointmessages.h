#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "policy/types/endpointview.h"
#include "templates/types/template.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Requests to endpoints and their responses.
namespace cuminslip::endpoints {

/// The instance for which an endpoint keeps memory.
struct Owner
{
  InstanceId mInstance;
  Incarnation mIncarnation = 0;

  auto operator<=>(const Owner&) const = default;
};

/// A part of a prompt whose KV cache another engine holds.
struct KvPart
{
  std::string mAddress;
  HoldingId mHolding;
  std::int64_t mTokens = 0;

  auto operator==(const KvPart&) const -> bool = default;
};

/// Starts a stream.
struct StreamRequest
{
  AttemptId mAttempt;
  Owner mOwner;
  ModelName mModel;
  ModelVersion mVersion;
  std::string mAdapter;
  std::string mPrompt;
  std::int64_t mMaxTokens = 0;
  Priority mPriority = Priority::Normal;
  /// Remaining time for the whole answer.
  Millis mAllowance{ 0 };
  Millis mLease{ 0 };
  /// Hashes of the prompt's first 512, 1024, ... tokens.
  std::vector<std::string> mPrefixHashes;
  /// Pieces that other attempts have delivered.
  std::int64_t mSkipPieces = 0;
  std::vector<KvPart> mKvParts;

  auto operator==(const StreamRequest&) const -> bool = default;
};

/// Resumes a stream that the engine still holds.
struct ResumeRequest
{
  AttemptId mNewAttempt;
  std::int64_t mFromPiece = 0;
  Owner mOwner;
  Millis mLease{ 0 };

  auto operator==(const ResumeRequest&) const -> bool = default;
};

/// Reserves memory.
struct ReservationRequest
{
  HoldingId mId;
  Owner mOwner;
  std::int64_t mTokens = 0;
  Millis mLease{ 0 };

  auto operator==(const ReservationRequest&) const -> bool = default;
};

/// An earlier part of a long prompt, for import.
struct PartImport
{
  std::string mAddress;
  HoldingId mHolding;

  auto operator==(const PartImport&) const -> bool = default;
};

/// Reads one part of a long prompt into a reservation.
struct PartRequest
{
  HoldingId mReservation;
  std::int64_t mPart = 0;
  ModelName mModel;
  ModelVersion mVersion;
  std::string mPrompt;
  /// Tokens of the prompt before this part.
  std::int64_t mPosition = 0;
  Priority mPriority = Priority::Normal;
  std::vector<PartImport> mImports;

  auto operator==(const PartRequest&) const -> bool = default;
};

/// Response to a PartRequest: what the engine holds now.
struct PartAnswer
{
  HoldingId mHolding;
  std::int64_t mTokens = 0;

  auto operator==(const PartAnswer&) const -> bool = default;
};

/// Holds a cached prefix so that other engines can import it.
struct ExportRequest
{
  HoldingId mHolding;
  std::string mPrefix;
  Owner mOwner;
  Millis mLease{ 0 };

  auto operator==(const ExportRequest&) const -> bool = default;
};

/// Copies a block from another engine.
struct ImportRequest
{
  HoldingId mId;
  std::string mAddress;
  HoldingId mHolding;
  Owner mOwner;
  Millis mLease{ 0 };

  auto operator==(const ImportRequest&) const -> bool = default;
};

/// Renews the leases of holdings of one owner.
struct RenewRequest
{
  Owner mOwner;
  Millis mLease{ 0 };
  std::vector<HoldingId> mIds;

  auto operator==(const RenewRequest&) const -> bool = default;
};

enum class OrderAction : std::uint8_t
{
  LoadModel,
  UnloadModel,
  LoadAdapter,
  UnloadAdapter,
  SetRole
};

/// An order from the placement controller.
struct Order
{
  std::string mOrder;
  std::uint64_t mFencing = 0;
  Millis mExpiresIn{ 0 };
  OrderAction mAction = OrderAction::LoadModel;
  ModelName mModel;
  ModelVersion mVersion;
  std::string mAdapter;
  EngineRole mRole = EngineRole::Mixed;

  auto operator==(const Order&) const -> bool = default;
};

enum class OrderProgress : std::uint8_t
{
  Running,
  Done,
  Failed
};

/// An order's progress as reported by the endpoint.
struct OrderStatus
{
  std::string mOrder;
  OrderProgress mProgress = OrderProgress::Running;
  std::string mReason;

  auto operator==(const OrderStatus&) const -> bool = default;
};

/// A refused request. mRan is true unless the endpoint stated that nothing ran.
struct Refusal
{
  bool mRan = true;
  std::string mReason;
  std::optional<Millis> mRetryAfter;
  /// Highest fencing number that the endpoint has seen, if an order was
  /// refused.
  std::optional<std::uint64_t> mHighestFencing;

  auto operator==(const Refusal&) const -> bool = default;
};

} // namespace cuminslip::endpoints
