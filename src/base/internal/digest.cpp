#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace cuminslip {

auto
Checksum(std::string_view aBytes, std::uint64_t aSeed) -> std::uint64_t
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

auto
Sha256Hex(std::string_view aBytes) -> std::string
{
  constexpr auto kDigits = std::string_view("0123456789abcdef");
  auto digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>{};
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()),
         aBytes.size(),
         digest.data());
  auto text = std::string{};
  for (const auto byte : digest) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xfU];
  }
  return text;
}

auto
EqualsConstantTime(std::string_view aLeft, std::string_view aRight) -> bool
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  return CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace cuminslip
