#pragma once

#include "base/types/ids.h"

#include <cstdint>
#include <string>

/// Entries of the replicated control log.
namespace cuminslip {

/// Raft term of the control log; increases with each election.
using Term = std::uint64_t;

/// Random identity of a member's disk. An emptied disk gets a new one.
using MemberId = std::uint64_t;

/// Random identity of the control log, chosen when the log is created.
using ClusterId = std::uint64_t;

/// Milliseconds of the log's clock. The leader advances it by its monotonic
/// clock; it never runs ahead of the time that has passed.
using LogMillis = std::uint64_t;

enum class EntryKind : std::uint8_t
{
  /// First entry of each term; has no payload.
  NoOperation,
  /// A Command, encoded by EncodeCommand.
  Command,
  /// A Membership, encoded by EncodeMembership.
  Membership
};

/// One entry of the control log.
struct LogEntry
{
  Revision mIndex = 0;
  Term mTerm = 0;
  EntryKind mKind = EntryKind::NoOperation;
  LogMillis mClock = 0;
  std::string mPayload;

  auto operator==(const LogEntry&) const -> bool = default;
};

} // namespace cuminslip
