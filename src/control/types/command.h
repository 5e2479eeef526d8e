#pragma once

#include "control/types/logentry.h"

#include <variant>

/// Commands that change the replicated control state, and their results.
namespace cuminslip {

/// Publishes the template of a client account if its current revision is
/// mExpectedRevision (0: it has none yet).
struct PublishCommand
{
  AccountId mAccount;
  Revision mExpectedRevision = 0;
  RequestId mRequest;
  std::string mDocument;

  auto operator==(const PublishCommand&) const -> bool = default;
};

/// Publishes the routing document if mVersion, which the publisher assigns, is
/// higher than the current one. A lower or equal version is accepted and
/// changes nothing.
struct PublishRoutingCommand
{
  std::uint64_t mVersion = 0;
  std::string mDocument;

  auto operator==(const PublishRoutingCommand&) const -> bool = default;
};

/// Records that a non-idempotent call is about to be sent. mToken identifies
/// the attempt: a resend with the same token is accepted again, one with
/// another token is not.
struct ClaimRunCommand
{
  AccountId mAccount;
  IdempotencyKey mKey;
  std::string mFingerprint;
  std::string mToken;
  /// Time from the claim after which an unfinished run counts as unknown.
  LogMillis mLongest = 0;

  auto operator==(const ClaimRunCommand&) const -> bool = default;
};

/// Records how a claimed run ended: finished, unknown, or not run, which
/// releases the claim.
struct FinishRunCommand
{
  enum class Outcome : std::uint8_t
  {
    Finished,
    Unknown,
    NotRun
  };

  AccountId mAccount;
  IdempotencyKey mKey;
  std::string mToken;
  Outcome mOutcome = Outcome::Finished;
  std::string mAnswer;

  auto operator==(const FinishRunCommand&) const -> bool = default;
};

/// Acquires or renews a named lease for mHolder.
struct LeaseCommand
{
  std::string mName;
  std::string mHolder;
  LogMillis mDuration = 0;

  auto operator==(const LeaseCommand&) const -> bool = default;
};

/// Stores one piece of a submitted request. The request is complete once
/// mTotalBytes are stored; a piece that is already stored changes nothing.
struct SubmitWorkCommand
{
  AccountId mAccount;
  std::string mWork;
  std::string mFingerprint;
  std::uint64_t mTotalBytes = 0;
  std::uint64_t mOffset = 0;
  std::string mPiece;
  /// Time from submission after which the work and its result are deleted;
  /// ControlLimits::mMaxWorkRetention at most.
  LogMillis mRetention = 0;

  auto operator==(const SubmitWorkCommand&) const -> bool = default;
};

/// Leases the oldest work that is complete and not held.
struct TakeWorkCommand
{
  std::string mHolder;
  /// Identifies the attempt: a resend with the same token gets the same work.
  std::string mToken;
  LogMillis mLease = 0;

  auto operator==(const TakeWorkCommand&) const -> bool = default;
};

/// Extends the lease of taken work.
struct RenewWorkCommand
{
  AccountId mAccount;
  std::string mWork;
  std::string mToken;
  LogMillis mLease = 0;

  auto operator==(const RenewWorkCommand&) const -> bool = default;
};

/// Stores one piece of a result, which is complete once mTotalBytes are stored.
struct FinishWorkCommand
{
  AccountId mAccount;
  std::string mWork;
  std::string mToken;
  std::uint64_t mTotalBytes = 0;
  std::uint64_t mOffset = 0;
  std::string mPiece;

  auto operator==(const FinishWorkCommand&) const -> bool = default;
};

using Command = std::variant<PublishCommand,
                             ClaimRunCommand,
                             FinishRunCommand,
                             LeaseCommand,
                             SubmitWorkCommand,
                             TakeWorkCommand,
                             RenewWorkCommand,
                             FinishWorkCommand,
                             PublishRoutingCommand>;

enum class CommandStatus : std::uint8_t
{
  /// Done now, or earlier by the same request.
  Accepted,
  /// Another revision is current: mRevision is its number and mBytes its
  /// document. In the answer to a resend, mBytes is empty if the document has
  /// left the history.
  RevisionConflict,
  /// The run is claimed by another attempt and has not finished, or the work
  /// has no complete result yet.
  InProgress,
  /// The run or the work has finished; mBytes is its answer or result.
  Finished,
  /// The run was claimed and its outcome is not known.
  OutcomeUnknown,
  /// The same key was used with a different body.
  FingerprintMismatch,
  /// Another holder has the lease, or the token is not the current one.
  HeldByOther,
  /// There is no such record.
  NotFound,
  /// A limit of the control state is reached.
  Full,
  /// No quorum answered in time; the command may or may not take effect.
  NoQuorum,
  /// The disk of the leader, or of too many voters, is full.
  DiskFull,
  /// The command exceeds a limit or can't be decoded.
  Invalid
};

/// Result of a command. Fields that do not apply are empty.
struct CommandResult
{
  CommandStatus mStatus = CommandStatus::Invalid;
  /// Revision of the template, fencing number of the lease, or log index of the
  /// submission of taken work.
  Revision mRevision = 0;
  /// Holder of a lease, or client account of taken work.
  std::string mHolder;
  /// Name of taken work.
  std::string mWork;
  std::string mBytes;

  auto operator==(const CommandResult&) const -> bool = default;
};

} // namespace cuminslip
