#pragma once

#include "control/controlcodec.h"

#include <optional>

/// Layout of the files of the control store.
///
/// A record is a header of three little-endian 64-bit words (mark and size,
/// synced size of the file when the record was written, XXH3 checksum)
/// followed by a Cap'n Proto message. All offsets are multiples of eight.
namespace cuminslip {

inline constexpr auto kRecordHeaderBytes = std::uint64_t{ 24 };

/// One record as found in a file.
struct FramedRecord
{
  std::string_view mPayload;
  /// Bytes of the file that were on the disk when it was written.
  std::uint64_t mSyncedSize = 0;
  /// Offset of the record after it.
  std::uint64_t mEnd = 0;
};

/// Appends a record that will begin at aOffset of file number aFile.
auto
AppendRecord(std::string& aTo,
             std::uint64_t aFile,
             std::uint64_t aOffset,
             std::uint64_t aSyncedSize,
             std::string_view aPayload) -> void;

/// The record at aOffset, or none when it is not whole.
auto
ParseRecord(std::string_view aBytes, std::uint64_t aFile, std::uint64_t aOffset)
  -> std::optional<FramedRecord>;

/// True when a whole record after aOffset says that aOffset was synced.
auto
WasSynced(std::string_view aBytes, std::uint64_t aFile, std::uint64_t aOffset)
  -> bool;

auto
SegmentName(std::uint64_t aNumber) -> std::string;

auto
SnapshotName(Revision aIndex) -> std::string;

/// The number in a name with the given prefix; none for another name.
auto
NumberInName(std::string_view aName, std::string_view aPrefix)
  -> std::optional<std::uint64_t>;

inline constexpr auto kSegmentPrefix = std::string_view{ "log-" };
inline constexpr auto kSnapshotPrefix = std::string_view{ "snapshot-" };
inline constexpr auto kVoteName = std::string_view{ "vote" };
inline constexpr auto kTemporarySuffix = std::string_view{ ".tmp" };

} // namespace cuminslip
