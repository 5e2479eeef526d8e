#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Hashes: XXH3 for checksums and affinity, SHA-256 for secrets and
/// fingerprints.
namespace cuminslip {

/// 64-bit XXH3 of aBytes. Thread safe.
auto
Checksum(std::string_view aBytes, std::uint64_t aSeed = 0) -> std::uint64_t;

/// SHA-256 of aBytes as 64 lower-case hexadecimal digits. Thread safe.
auto
Sha256Hex(std::string_view aBytes) -> std::string;

/// Compares in a time that depends on the lengths only. Thread safe.
auto
EqualsConstantTime(std::string_view aLeft, std::string_view aRight) -> bool;

} // namespace cuminslip
