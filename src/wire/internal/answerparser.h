#pragma once

#include "wire/types/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <optional>

/// Frames HTTP/1.1 answers piece by piece. Pure; the tokenizer is the one that
/// h2o brings along (picohttpparser).
namespace cuminslip::wire {

enum class AnswerPhase : std::uint8_t
{
  Head,
  LengthBody,
  ChunkedBody,
  /// The body has no stated length and ends with the connection.
  OpenBody,
  Done,
  Failed,
  /// The head is larger than allowed.
  TooLarge
};

/// State of the chunk decoder; its layout is picohttpparser's.
struct ChunkDecoder
{
  std::size_t mBytesLeft = 0;
  char mConsumesTrailer = 1;
  char mHexCount = 0;
  char mState = 0;
};

/// State between two calls of ParseAnswer.
struct AnswerParser
{
  AnswerPhase mPhase = AnswerPhase::Head;
  std::size_t mMaxHeadBytes = std::size_t{ 32 } * 1024;
  /// The request was a HEAD, whose answer has no body whatever it states.
  bool mIsToHead = false;
  std::size_t mBodyLeft = 0;
  ChunkDecoder mChunks;
};

struct AnswerHead
{
  int mStatus = 0;
  Headers mHeaders;
  /// The server keeps the connection after this answer.
  bool mIsPersistent = true;
  /// Time for which the server keeps it idle, in seconds, if stated.
  std::optional<int> mKeepAliveSeconds;

  auto operator==(const AnswerHead&) const -> bool = default;
};

/// What one call found. The first mConsumed bytes are used up and mLeft valid
/// ones follow; mPiece points into the buffer given.
struct ParsedPart
{
  std::optional<AnswerHead> mHead;
  std::string_view mPiece;
  std::size_t mConsumed = 0;
  std::size_t mLeft = 0;
};

/// Takes the next part out of aBytes, which a chunked body decodes in place.
/// Nothing consumed and no head means that more bytes are needed, unless the
/// phase is now Done: the decoding itself took them.
/// Precondition: the phase is none of Done, Failed and TooLarge.
auto
ParseAnswer(AnswerParser& aParser, char* aBytes, std::size_t aSize)
  -> ParsedPart;

} // namespace cuminslip::wire
