#pragma once

#include "control/controlcodec.h"

#include <optional>

/// File format of the control store.
///
/// A record is a header of three little-endian 64-bit words (magic number and
/// payload size, synced size of the file when the record was written, XXH3
/// checksum) followed by a Cap'n Proto message. All offsets are multiples of
/// eight.
namespace cuminslip {

inline constexpr auto kRecordHeaderBytes = std::uint64_t{ 24 };

/// One record as found in a file.
struct FramedRecord
{
  std::string_view mPayload;
  /// Bytes of the file that were synced when the record was written.
  std::uint64_t mSyncedSize = 0;
  /// Offset of the next record.
  std::uint64_t mEnd = 0;
};

/// Appends a record that will start at aOffset of file number aFile.
/// Precondition: the size of aPayload is a multiple of eight bytes and below
/// 2^40, as it shares a header word with the magic number.
auto
AppendRecord(std::string& aTo,
             std::uint64_t aFile,
             std::uint64_t aOffset,
             std::uint64_t aSyncedSize,
             std::string_view aPayload) -> void;

/// The record at aOffset, or none when it is incomplete or damaged.
auto
ParseRecord(std::string_view aBytes, std::uint64_t aFile, std::uint64_t aOffset)
  -> std::optional<FramedRecord>;

/// True when an intact record after aOffset shows that the byte at aOffset was
/// synced before.
auto
WasSynced(std::string_view aBytes, std::uint64_t aFile, std::uint64_t aOffset)
  -> bool;

auto
SegmentName(std::uint64_t aNumber) -> std::string;

auto
SnapshotName(Revision aIndex) -> std::string;

/// The number that follows aPrefix in aName; none for any other name.
auto
NumberInName(std::string_view aName, std::string_view aPrefix)
  -> std::optional<std::uint64_t>;

inline constexpr auto kSegmentPrefix = std::string_view{ "log-" };
inline constexpr auto kSnapshotPrefix = std::string_view{ "snapshot-" };
inline constexpr auto kVoteName = std::string_view{ "vote" };
inline constexpr auto kTemporarySuffix = std::string_view{ ".tmp" };

} // namespace cuminslip
