#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Numbers with units, as written in settings and templates. Thread safe.
namespace cuminslip::documents {

/// Parses "500 ms", "2 s", "1.5 s", "5 min" or "1 h"; no value for anything
/// else. A fraction of a millisecond is rounded up.
auto
ParseDuration(std::string_view aText) -> std::optional<Millis>;

/// Parses "512 B", "64 KiB", "8 MiB" or "2 GiB"; no value for anything else.
auto
ParseBytes(std::string_view aText) -> std::optional<std::int64_t>;

/// Formats in the largest unit that divides it, as ParseDuration reads it.
auto
FormatDuration(Millis aDuration) -> std::string;

/// Formats in the largest unit that divides it, as ParseBytes reads it.
auto
FormatBytes(std::int64_t aBytes) -> std::string;

} // namespace cuminslip::documents
