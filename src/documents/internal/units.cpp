#include "documents/units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
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

/// Returns the factor of the unit named after any spaces, or no value.
auto
FindFactor(std::string_view aText, std::span<const Unit> aUnits)
  -> std::optional<std::int64_t>
{
  aText.remove_prefix(std::min(aText.find_first_not_of(' '), aText.size()));
  const auto it =
    std::find_if(aUnits.begin(), aUnits.end(), [&](const auto& aUnit) {
      return aUnit.mName == aText;
    });
  return it == aUnits.end() ? std::nullopt : std::optional(it->mFactor);
}

auto
ParseWithUnit(std::string_view aText, std::span<const Unit> aUnits)
  -> std::optional<std::int64_t>
{
  auto number = std::int64_t{ 0 };
  const auto* begin = aText.data();
  const auto* end = begin + aText.size();
  const auto [rest, ec] = std::from_chars(begin, end, number);
  const auto factor = FindFactor({ rest, end }, aUnits);
  if (ec != std::errc{} || number < 0 || !factor ||
      number > std::numeric_limits<std::int64_t>::max() / *factor) {
    return std::nullopt;
  }
  return number * *factor;
}

/// Like ParseWithUnit, but the number may have decimals. Rounds up to a whole
/// number of the smallest unit.
auto
ParseDecimalWithUnit(std::string_view aText, std::span<const Unit> aUnits)
  -> std::optional<std::int64_t>
{
  const auto length =
    std::min(aText.find_first_not_of("0123456789."), aText.size());
  const auto digits = aText.substr(0, length);
  if (digits.find('.') == std::string_view::npos) {
    return ParseWithUnit(aText, aUnits);
  }
  auto number = 0.0;
  const auto* end = digits.data() + digits.size();
  const auto [rest, ec] = std::from_chars(digits.data(), end, number);
  const auto factor = FindFactor(aText.substr(length), aUnits);
  const auto hasDigitsAround = digits.front() != '.' && digits.back() != '.';
  if (ec != std::errc{} || rest != end || !hasDigitsAround || !factor) {
    return std::nullopt;
  }
  const auto value = std::ceil(number * static_cast<double>(*factor));
  constexpr auto kHighest = 9e15;
  return value > kHighest ? std::nullopt
                          : std::optional(static_cast<std::int64_t>(value));
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
  const auto millis = ParseDecimalWithUnit(aText, kDurationUnits);
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
