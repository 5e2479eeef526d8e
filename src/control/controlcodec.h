#pragma once

#include "base/findings.h"
#include "control/types/command.h"
#include "control/types/controlmessage.h"
#include "control/types/controlstate.h"
#include "control/types/snapshot.h"
#include "control/types/voterecord.h"

#include <string_view>

/// Cap'n Proto form of the control log's values. Thread safe. Decoding fails
/// with Findings for bytes that are no such value; it never reads past them.
namespace cuminslip {

/// One record of a log segment.
struct TruncateRecord
{
  Revision mFrom = 0;

  auto operator==(const TruncateRecord&) const -> bool = default;
};

struct FloorRecord
{
  Revision mCommitFloor = 0;

  auto operator==(const FloorRecord&) const -> bool = default;
};

/// The log begins anew after this index.
struct BaseRecord
{
  Revision mIndex = 0;
  Term mTerm = 0;

  auto operator==(const BaseRecord&) const -> bool = default;
};

using LogRecord =
  std::variant<LogEntry, TruncateRecord, FloorRecord, BaseRecord>;

/// The vote record with the storage's own members.
struct StoredVote
{
  std::uint64_t mSequence = 0;
  VoteRecord mVote;
  std::uint64_t mLastSegment = 0;
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
