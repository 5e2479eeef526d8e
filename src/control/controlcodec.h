#pragma once

#include "base/findings.h"
#include "control/types/command.h"
#include "control/types/controlmessage.h"
#include "control/types/controlstate.h"
#include "control/types/snapshot.h"
#include "control/types/voterecord.h"

#include <string_view>

/// Cap'n Proto encoding of the control log's values. Thread safe. Decoding
/// fails with Findings on malformed input and never reads past its end.
namespace cuminslip {

/// Log segment record: entries from mFrom on are discarded.
struct TruncateRecord
{
  Revision mFrom = 0;

  auto operator==(const TruncateRecord&) const -> bool = default;
};

/// Log segment record: entries up to mCommitFloor are committed.
struct FloorRecord
{
  Revision mCommitFloor = 0;

  auto operator==(const FloorRecord&) const -> bool = default;
};

/// Log segment record: an installed snapshot replaced the log, which restarts
/// after mIndex.
struct BaseRecord
{
  Revision mIndex = 0;
  Term mTerm = 0;

  auto operator==(const BaseRecord&) const -> bool = default;
};

/// One record of a log segment.
using LogRecord =
  std::variant<LogEntry, TruncateRecord, FloorRecord, BaseRecord>;

/// The vote record with the fields that the store adds.
struct StoredVote
{
  /// Grows with each write of the vote record.
  std::uint64_t mSequence = 0;
  VoteRecord mVote;
  /// Number of the last segment that was started.
  std::uint64_t mLastSegment = 0;
  /// Index up to which entries are known to be committed.
  Revision mFloor = 0;

  auto operator==(const StoredVote&) const -> bool = default;
};

auto
EncodeMembership(const Membership& aMembership) -> std::string;

auto
DecodeMembership(std::string_view aBytes) -> leaf::result<Membership>;

auto
EncodeCommand(const Command& aCommand) -> std::string;

auto
DecodeCommand(std::string_view aBytes) -> leaf::result<Command>;

auto
EncodeCommandResult(const CommandResult& aResult) -> std::string;

auto
DecodeCommandResult(std::string_view aBytes) -> leaf::result<CommandResult>;

auto
EncodeControlMessage(const ControlMessage& aMessage) -> std::string;

auto
DecodeControlMessage(std::string_view aBytes) -> leaf::result<ControlMessage>;

auto
EncodeLogRecord(const LogRecord& aRecord) -> std::string;

auto
DecodeLogRecord(std::string_view aBytes) -> leaf::result<LogRecord>;

auto
EncodeStoredVote(const StoredVote& aVote) -> std::string;

auto
DecodeStoredVote(std::string_view aBytes) -> leaf::result<StoredVote>;

auto
EncodeSnapshot(const Snapshot& aSnapshot) -> std::string;

auto
DecodeSnapshot(std::string_view aBytes) -> leaf::result<Snapshot>;

auto
EncodeControlState(const ControlState& aState) -> std::string;

auto
DecodeControlState(std::string_view aBytes) -> leaf::result<ControlState>;

} // namespace cuminslip
