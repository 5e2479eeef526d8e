#pragma once

#include "base/types/ids.h"

#include <cstdint>
#include <string>
#include <variant>

/// Events of an engine's stream.
namespace cuminslip::endpoints {

/// One numbered piece of an answer.
struct StreamPiece
{
  AttemptId mAttempt;
  std::int64_t mNumber = 0;
  std::string mText;

  auto operator==(const StreamPiece&) const -> bool = default;
};

/// The end of a stream; mPieces is the number of pieces of the whole answer.
struct StreamEnd
{
  AttemptId mAttempt;
  std::int64_t mPieces = 0;
  std::string mReason;

  auto operator==(const StreamEnd&) const -> bool = default;
};

/// A comment line, such as a keep-alive while the prompt is read.
struct StreamComment
{
  std::string mText;

  auto operator==(const StreamComment&) const -> bool = default;
};

/// Input that is not an event of the protocol.
struct StreamMalformed
{
  std::string mReason;

  auto operator==(const StreamMalformed&) const -> bool = default;
};

using StreamEvent =
  std::variant<StreamPiece, StreamEnd, StreamComment, StreamMalformed>;

} // namespace cuminslip::endpoints
