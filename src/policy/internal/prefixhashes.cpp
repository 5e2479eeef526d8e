#include "policy/prefixhashes.h"

#include "policy/tokens.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>

namespace cuminslip {

namespace {

constexpr std::size_t kHashDigits = 16;

} // namespace

auto
HashPrefixes(std::string_view aPrompt, std::size_t aMaxCount)
  -> std::vector<PrefixHash>
{
  constexpr auto kStepBytes =
    static_cast<std::size_t>(kPrefixStepTokens * kBytesPerToken);
  const auto count = std::min(aPrompt.size() / kStepBytes, aMaxCount);
  auto hashes = std::vector<PrefixHash>{};
  if (count == 0) {
    return hashes;
  }
  hashes.reserve(count);
  const auto state = std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)>(
    XXH3_createState(), &XXH3_freeState);
  XXH3_64bits_reset(state.get());
  for (auto i = std::size_t{ 0 }; i < count; ++i) {
    const auto step = aPrompt.substr(i * kStepBytes, kStepBytes);
    XXH3_64bits_update(state.get(), step.data(), step.size());
    hashes.push_back(XXH3_64bits_digest(state.get()));
  }
  return hashes;
}

auto
FormatPrefixHash(PrefixHash aHash) -> std::string
{
  auto buf = std::array<char, kHashDigits>{};
  const auto [end, ec] =
    std::to_chars(buf.data(), buf.data() + buf.size(), aHash, 16);
  const auto used = static_cast<std::size_t>(end - buf.data());
  return std::string(kHashDigits - used, '0') + std::string(buf.data(), used);
}

auto
ParsePrefixHash(std::string_view aText) -> std::optional<PrefixHash>
{
  if (aText.size() > kHashDigits) {
    return std::nullopt;
  }
  auto hash = PrefixHash{ 0 };
  const auto* last = aText.data() + aText.size();
  const auto [end, ec] = std::from_chars(aText.data(), last, hash, 16);
  if (ec != std::errc{} || end != last) {
    return std::nullopt;
  }
  return hash;
}

} // namespace cuminslip
