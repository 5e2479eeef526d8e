#pragma once

#include "wire/internal/answerparser.h"
#include "wire/types/httpmessage.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// Frames HTTP/1.1 requests piece by piece. Pure; the tokenizer is the one that
/// h2o brings along (picohttpparser).
namespace cuminslip::wire {

enum class RequestPhase : std::uint8_t
{
  Head,
  LengthBody,
  ChunkedBody,
  Done,
  /// mProblem is the status that refuses the request.
  Failed
};

struct RequestParser
{
  RequestPhase mPhase = RequestPhase::Head;
  std::size_t mMaxHeadBytes = std::size_t{ 64 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 8 } * 1024 * 1024;
  int mProblem = 0;
  /// Bytes of the head that an earlier call has looked at.
  std::size_t mLookedAt = 0;
  std::size_t mBodyLeft = 0;
  /// Of a chunked body: payload, all bytes, and those since the last payload.
  std::size_t mPayload = 0;
  std::size_t mChunkedBytes = 0;
  std::size_t mUselessBytes = 0;
  ChunkDecoder mChunks;
};

struct RequestHead
{
  /// Without the body, and without the headers that frame it.
  HttpRequest mRequest;
  /// The body's stated length; empty for a chunked body.
  std::optional<std::size_t> mBodyBytes;
  /// The client keeps the connection after the answer.
  bool mIsPersistent = true;
  /// The client reads chunks (HTTP/1.1).
  bool mReadsChunks = true;
  /// The client waits for an interim answer before it sends the body.
  bool mExpectsContinue = false;

  auto operator==(const RequestHead&) const -> bool = default;
};

/// Looks for a whole head at the beginning of aBytes and sets aUsed to its
/// size. Empty when more bytes are needed or the phase is now Failed.
/// Precondition: the phase is Head; aBytes begin with those of earlier calls.
auto
ParseRequestHead(RequestParser& aParser,
                 std::string_view aBytes,
                 std::size_t& aUsed) -> std::optional<RequestHead>;

/// What one call found: a part of the body, and what follows it. Both point
/// into the buffer given.
struct BodyPart
{
  std::string_view mPayload;
  std::string_view mRest;
};

/// Takes the next part of the body out of aBytes, which chunks are decoded in.
/// Precondition: the phase is LengthBody or ChunkedBody.
auto
ParseRequestBody(RequestParser& aParser, char* aBytes, std::size_t aSize)
  -> BodyPart;

} // namespace cuminslip::wire
