#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The text that stand-in engines answer, and the hashes of prompt prefixes.
/// All functions are thread safe.
namespace cuminslip::fakes {

inline constexpr auto kBytesPerToken = std::int64_t{ 4 };
inline constexpr auto kBlockTokens = std::int64_t{ 512 };

/// Number of tokens of a text: one for each four bytes, rounded up.
auto
CountTokens(std::string_view aText) -> std::int64_t;

/// Digest of a prompt's continuation. Precondition: the text before it, whose
/// digest is aBefore, was a whole number of blocks.
auto
ExtendDigest(std::uint64_t aBefore, std::string_view aText) -> std::uint64_t;

/// Digest with which model and version answer the prompt aPrompt.
auto
AnswerDigest(std::uint64_t aPrompt,
             std::string_view aModel,
             std::string_view aVersion) -> std::uint64_t;

/// Piece aPiece, counted from 0, of the answer to aAnswerDigest.
auto
AnswerPiece(std::uint64_t aAnswerDigest, std::int64_t aPiece) -> std::string;

/// The XXH3 of each whole number of blocks of the prompt, in hexadecimal.
auto
PrefixHashes(std::string_view aPrompt) -> std::vector<std::string>;

} // namespace cuminslip::fakes
