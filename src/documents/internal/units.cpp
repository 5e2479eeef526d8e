#include "documents/units.h"

#include <array>
#include <charconv>
#include <limits>
#include <span>

namespace cuminslip::documents {

namespace {

struct Unit
{
  std::string_view mName;
  std::int64_t mFactor;
};

/// Largest unit first.
constexpr auto kDurationUnits = std::array{
  Unit{ "h", 3600000 },
  Unit{ "min", 60000 },
  Unit{ "s", 1000 },
  Unit{ "ms", 1 },
};

/// Largest unit first.
constexpr auto kByteUnits = std::array{
  Unit{ "GiB", std::int64_t{ 1 } << 30U },
  Unit{ "MiB", std::int64_t{ 1 } << 20U },
  Unit{ "KiB", std::int64_t{ 1 } << 10U },
  Unit{ "B", 1 },
};

auto
ParseWithUnit(std::string_view aText, std::span<const Unit> aUnits)
  -> std::optional<std::int64_t>
{
  auto number = std::int64_t{ 0 };
  const auto* begin = aText.data();
  const auto* end = begin + aText.size();
  const auto [rest, ec] = std::from_chars(begin, end, number);
  if (ec != std::errc{} || number < 0) {
    return std::nullopt;
  }
  auto name = std::string_view(rest, static_cast<std::size_t>(end - rest));
  name.remove_prefix(std::min(name.find_first_not_of(' '), name.size()));
  for (const auto& unit : aUnits) {
    if (unit.mName != name) {
      continue;
    }
    if (number > std::numeric_limits<std::int64_t>::max() / unit.mFactor) {
      return std::nullopt;
    }
    return number * unit.mFactor;
  }
  return std::nullopt;
}

auto
FormatWithUnit(std::int64_t aNumber, std::span<const Unit> aUnits)
  -> std::string
{
  for (const auto& unit : aUnits) {
    if (aNumber != 0 && aNumber % unit.mFactor == 0) {
      return std::to_string(aNumber / unit.mFactor) + " " +
             std::string(unit.mName);
    }
  }
  return std::to_string(aNumber) + " " + std::string(aUnits.back().mName);
}

} // namespace

auto
ParseDuration(std::string_view aText) -> std::optional<Millis>
{
  const auto millis = ParseWithUnit(aText, kDurationUnits);
  if (!millis) {
    return std::nullopt;
  }
  return Millis(*millis);
}

auto
ParseBytes(std::string_view aText) -> std::optional<std::int64_t>
{
  return ParseWithUnit(aText, kByteUnits);
}

auto
FormatDuration(Millis aDuration) -> std::string
{
  return FormatWithUnit(aDuration.count(), kDurationUnits);
}

auto
FormatBytes(std::int64_t aBytes) -> std::string
{
  return FormatWithUnit(aBytes, kByteUnits);
}

} // namespace cuminslip::documents
