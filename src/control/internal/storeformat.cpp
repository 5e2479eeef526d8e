#include "control/internal/storeformat.h"

#include "base/digest.h"

#include <charconv>
#include <cstdio>

namespace cuminslip {

namespace {

constexpr auto kRecordMagic = std::uint64_t{ 0xc5a117 };
constexpr auto kMagicShift = 40U;
constexpr auto kMaxPayloadBytes = std::uint64_t{ 1 } << kMagicShift;
constexpr auto kWordBytes = std::uint64_t{ 8 };
constexpr auto kBitsPerByte = 8U;
constexpr auto kByteMask = 0xffU;
constexpr auto kNumberDigits = 20;

auto
AppendWord(std::string& aTo, std::uint64_t aWord) -> void
{
  for (auto n = 0U; n < kWordBytes; ++n) {
    aTo.push_back(static_cast<char>((aWord >> (kBitsPerByte * n)) & kByteMask));
  }
}

auto
ReadWord(std::string_view aBytes, std::uint64_t aOffset) -> std::uint64_t
{
  auto word = std::uint64_t{ 0 };
  for (auto n = 0U; n < kWordBytes; ++n) {
    const auto byte = static_cast<unsigned char>(aBytes[aOffset + n]);
    word |= std::uint64_t{ byte } << (kBitsPerByte * n);
  }
  return word;
}

auto
RecordChecksum(std::string_view aPayload,
               std::uint64_t aFile,
               std::uint64_t aOffset,
               std::uint64_t aSyncedSize) -> std::uint64_t
{
  // NOTE: includes file and offset, so that a misplaced record is detected.
  auto place = std::string{};
  AppendWord(place, aFile);
  AppendWord(place, aOffset);
  AppendWord(place, aSyncedSize);
  AppendWord(place, aPayload.size());
  return Checksum(aPayload, Checksum(place));
}

auto
NumberedName(std::string_view aPrefix, std::uint64_t aNumber) -> std::string
{
  auto digits = std::to_string(aNumber);
  return std::string(aPrefix) +
         std::string(kNumberDigits - digits.size(), '0') + digits;
}

} // namespace

auto
AppendRecord(std::string& aTo,
             std::uint64_t aFile,
             std::uint64_t aOffset,
             std::uint64_t aSyncedSize,
             std::string_view aPayload) -> void
{
  AppendWord(aTo, (kRecordMagic << kMagicShift) | aPayload.size());
  AppendWord(aTo, aSyncedSize);
  AppendWord(aTo, RecordChecksum(aPayload, aFile, aOffset, aSyncedSize));
  aTo += aPayload;
}

auto
ParseRecord(std::string_view aBytes, std::uint64_t aFile, std::uint64_t aOffset)
  -> std::optional<FramedRecord>
{
  if (aOffset > aBytes.size() || aBytes.size() - aOffset < kRecordHeaderBytes) {
    return std::nullopt;
  }
  const auto first = ReadWord(aBytes, aOffset);
  const auto size = first & (kMaxPayloadBytes - 1);
  const auto room = aBytes.size() - aOffset - kRecordHeaderBytes;
  if (first >> kMagicShift != kRecordMagic || size > room ||
      size % kWordBytes != 0) {
    return std::nullopt;
  }
  const auto synced = ReadWord(aBytes, aOffset + kWordBytes);
  const auto payload = aBytes.substr(aOffset + kRecordHeaderBytes, size);
  if (ReadWord(aBytes, aOffset + 2 * kWordBytes) !=
      RecordChecksum(payload, aFile, aOffset, synced)) {
    return std::nullopt;
  }
  return FramedRecord{ payload, synced, aOffset + kRecordHeaderBytes + size };
}

auto
WasSynced(std::string_view aBytes, std::uint64_t aFile, std::uint64_t aOffset)
  -> bool
{
  for (auto offset = aOffset + kWordBytes; offset < aBytes.size();
       offset += kWordBytes) {
    const auto record = ParseRecord(aBytes, aFile, offset);
    if (record && record->mSyncedSize > aOffset) {
      return true;
    }
  }
  return false;
}

auto
SegmentName(std::uint64_t aNumber) -> std::string
{
  return NumberedName(kSegmentPrefix, aNumber);
}

auto
SnapshotName(Revision aIndex) -> std::string
{
  return NumberedName(kSnapshotPrefix, aIndex);
}

auto
NumberInName(std::string_view aName, std::string_view aPrefix)
  -> std::optional<std::uint64_t>
{
  if (!aName.starts_with(aPrefix)) {
    return std::nullopt;
  }
  const auto digits = aName.substr(aPrefix.size());
  auto number = std::uint64_t{ 0 };
  const auto* end = digits.data() + digits.size();
  const auto [rest, ec] = std::from_chars(digits.data(), end, number);
  if (ec != std::errc() || rest != end || digits.empty()) {
    return std::nullopt;
  }
  return number;
}

} // namespace cuminslip
