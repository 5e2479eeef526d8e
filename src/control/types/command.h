#pragma once

#include "control/types/logentry.h"

#include <variant>

/// Changes of the replicated control state, and their results.
namespace cuminslip {

/// Publishes a template for one client account if its revision is still
/// mExpectedRevision (0: there is none yet).
struct PublishCommand
{
  AccountId mAccount;
  Revision mExpectedRevision = 0;
  RequestId mRequest;
  std::string mDocument;

  auto operator==(const PublishCommand&) const -> bool = default;
};

/// Publishes the routing document if its publisher's number is higher than that
/// of the present one; a lower or equal number is accepted and changes nothing.
struct PublishRoutingCommand
{
  std::uint64_t mVersion = 0;
  std::string mDocument;

  auto operator==(const PublishRoutingCommand&) const -> bool = default;
};

/// Records that a non-idempotent call is about to be sent. mToken names the
/// attempt: a resend of the same command is granted again, another is not.
struct ClaimRunCommand
{
  AccountId mAccount;
  IdempotencyKey mKey;
  std::string mFingerprint;
  std::string mToken;
  /// Time after which the outcome of an unfinished run counts as unknown.
  LogMillis mLongest = 0;

  auto operator==(const ClaimRunCommand&) const -> bool = default;
};

/// Records the outcome of a claimed run, that it is unknown, or that it never
/// ran and the claim is void.
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

/// Stores one piece of a submitted request. The work is complete when
/// mTotalBytes have come; a piece that is there already changes nothing.
struct SubmitWorkCommand
{
  AccountId mAccount;
  std::string mWork;
  std::string mFingerprint;
  std::uint64_t mTotalBytes = 0;
  std::uint64_t mOffset = 0;
  std::string mPiece;
  /// Time from submission after which the work and its result are dropped.
  LogMillis mRetention = 0;

  auto operator==(const SubmitWorkCommand&) const -> bool = default;
};

/// Takes the oldest complete work that nobody holds.
struct TakeWorkCommand
{
  std::string mHolder;
  /// Names this attempt to take: a resend gets the same work again.
  std::string mToken;
  LogMillis mLease = 0;

  auto operator==(const TakeWorkCommand&) const -> bool = default;
};

/// Keeps a taken work for longer.
struct RenewWorkCommand
{
  AccountId mAccount;
  std::string mWork;
  std::string mToken;
  LogMillis mLease = 0;

  auto operator==(const RenewWorkCommand&) const -> bool = default;
};

/// Stores one piece of a result; complete when mTotalBytes have come.
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
  /// Done, or was done before by the same request.
  Accepted,
  /// Another revision is in force; mRevision and mBytes tell which.
  RevisionConflict,
  /// The run is claimed by another attempt and has not finished.
  InProgress,
  /// The run has finished; mBytes is its recorded answer.
  Finished,
  /// The run was claimed, and nobody knows how it ended.
  OutcomeUnknown,
  /// The same key came with another body.
  FingerprintMismatch,
  /// Another holder has the lease, or the token is not the current one.
  HeldByOther,
  /// There is no such record.
  NotFound,
  /// A bound of the control state is reached.
  Full,
  /// No quorum answered in time; the change may or may not come into force.
  NoQuorum,
  /// The disk of the leader takes no more changes.
  DiskFull,
  /// The command breaks a bound or can't be read.
  Invalid
};

/// What a command did. Unused members are empty.
struct CommandResult
{
  CommandStatus mStatus = CommandStatus::Invalid;
  /// Revision of the template concerned, or fencing number of a lease.
  Revision mRevision = 0;
  /// Holder of a lease, or account of taken work.
  std::string mHolder;
  /// Name of taken work.
  std::string mWork;
  std::string mBytes;

  auto operator==(const CommandResult&) const -> bool = default;
};

} // namespace cuminslip
