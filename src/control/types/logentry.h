#pragma once

#include "base/types/ids.h"

#include <cstdint>
#include <string>

/// Entries of the replicated control log.
namespace cuminslip {

/// Election period of the control log; grows with each election.
using Term = std::uint64_t;

/// Random identity of one member's disk. An emptied disk gets a new one.
using MemberId = std::uint64_t;

/// Random identity of the whole control log, made when it is founded.
using ClusterId = std::uint64_t;

/// Milliseconds of the log's own clock. The leader moves it forward by its
/// monotonic clock; it never counts more than the time that really passed.
using LogMillis = std::uint64_t;

enum class EntryKind : std::uint8_t
{
  /// First entry of each term; carries nothing.
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
