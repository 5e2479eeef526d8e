#pragma once

#include "policy/types/requestfacts.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Hashes of the prefixes of a prompt, by which engines identify what they
/// cache.
namespace cuminslip {

constexpr std::int64_t kPrefixStepTokens = 512;
constexpr std::size_t kMaxPrefixes = 2048;

/// Hashes the text of the first 512, 1024, ... tokens, shortest first, in one
/// pass over the prompt. A remainder below one step has no hash. Thread safe.
auto
HashPrefixes(std::string_view aPrompt, std::size_t aMaxCount = kMaxPrefixes)
  -> std::vector<PrefixHash>;

/// Formats a hash as 16 lower-case hexadecimal digits, as in `prefix_hashes`.
/// Thread safe.
auto
FormatPrefixHash(PrefixHash aHash) -> std::string;

/// Parses 1 to 16 hexadecimal digits; returns empty for anything else. Thread
/// safe.
auto
ParsePrefixHash(std::string_view aText) -> std::optional<PrefixHash>;

} // namespace cuminslip
