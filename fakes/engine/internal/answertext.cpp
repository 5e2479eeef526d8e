#include "fakes/engine/answertext.h"

#include "base/digest.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>

namespace cuminslip::fakes {

namespace {

constexpr auto kBlockBytes =
  static_cast<std::size_t>(kBlockTokens * kBytesPerToken);
constexpr auto kHexadecimal = 16;
constexpr auto kWordDigits = std::size_t{ 5 };
constexpr auto kWordShift = 44U;

auto
ToHexadecimal(std::uint64_t aValue) -> std::string
{
  auto buf = std::array<char, 16>{};
  const auto [end, ec] =
    std::to_chars(buf.data(), buf.data() + buf.size(), aValue, kHexadecimal);
  return { buf.data(), end };
}

struct HashStateDeleter
{
  auto operator()(XXH3_state_t* aState) const -> void
  {
    XXH3_freeState(aState);
  }
};

} // namespace

auto
CountTokens(std::string_view aText) -> std::int64_t
{
  const auto bytes = static_cast<std::int64_t>(aText.size());
  return (bytes + kBytesPerToken - 1) / kBytesPerToken;
}

auto
ExtendDigest(std::uint64_t aBefore, std::string_view aText) -> std::uint64_t
{
  auto digest = aBefore;
  while (!aText.empty()) {
    const auto size = std::min(kBlockBytes, aText.size());
    digest = Checksum(aText.substr(0, size), digest);
    aText.remove_prefix(size);
  }
  return digest;
}

auto
AnswerDigest(std::uint64_t aPrompt,
             std::string_view aModel,
             std::string_view aVersion) -> std::uint64_t
{
  return Checksum(aVersion, Checksum(aModel, aPrompt));
}

auto
AnswerPiece(std::uint64_t aAnswerDigest, std::int64_t aPiece) -> std::string
{
  const auto index = std::to_string(aPiece);
  const auto word = Checksum(index, aAnswerDigest) >> kWordShift;
  auto text = ToHexadecimal(word);
  text.insert(0, kWordDigits - std::min(kWordDigits, text.size()), '0');
  text += ' ';
  return text;
}

auto
PrefixHashes(std::string_view aPrompt) -> std::vector<std::string>
{
  const auto state =
    std::unique_ptr<XXH3_state_t, HashStateDeleter>(XXH3_createState());
  XXH3_64bits_reset(state.get());
  auto hashes = std::vector<std::string>{};
  while (aPrompt.size() >= kBlockBytes) {
    XXH3_64bits_update(state.get(), aPrompt.data(), kBlockBytes);
    hashes.push_back(ToHexadecimal(XXH3_64bits_digest(state.get())));
    aPrompt.remove_prefix(kBlockBytes);
  }
  return hashes;
}

} // namespace cuminslip::fakes
