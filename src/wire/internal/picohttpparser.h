#pragma once

#include "wire/internal/answerparser.h"

#include <sys/types.h>

#include <cstddef>

// NOTE: libh2o exports its copy of picohttpparser without a header.
struct PhrHeader
{
  const char* mName;
  std::size_t mNameSize;
  const char* mValue;
  std::size_t mValueSize;
};

extern "C"
{
  // NOLINTBEGIN(readability-identifier-naming)
  auto phr_parse_request(const char* aBytes,
                         std::size_t aSize,
                         const char** aMethod,
                         std::size_t* aMethodSize,
                         const char** aPath,
                         std::size_t* aPathSize,
                         int* aMinorVersion,
                         PhrHeader* aHeaders,
                         std::size_t* aHeaderCount,
                         std::size_t aLastSize) -> int;
  auto phr_parse_response(const char* aBytes,
                          std::size_t aSize,
                          int* aMinorVersion,
                          int* aStatus,
                          const char** aReason,
                          std::size_t* aReasonSize,
                          PhrHeader* aHeaders,
                          std::size_t* aHeaderCount,
                          std::size_t aLastSize) -> int;
  auto phr_decode_chunked(cuminslip::wire::ChunkDecoder* aDecoder,
                          char* aBytes,
                          std::size_t* aSize) -> ssize_t;
  // NOLINTEND(readability-identifier-naming)
}

namespace cuminslip::wire {

inline constexpr auto kMaxHeaders = std::size_t{ 100 };
/// What the functions return when more bytes are needed.
inline constexpr auto kIncomplete = -2;

/// Returns aText with its ASCII letters in lower case.
auto
ToLower(std::string_view aText) -> std::string;

/// Returns the decimal number that aText consists of, without a sign.
auto
ReadNumber(std::string_view aText) -> std::optional<std::size_t>;

} // namespace cuminslip::wire
