#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Checks a streamed answer against the one that the prompt has. Pure; not
/// thread safe.
namespace cuminslip::fakes {

/// What a streamed answer has shown so far.
struct AnswerCheck
{
  std::uint64_t mDigest = 0;
  std::int64_t mExpected = 0;
  std::int64_t mNext = 0;
  std::int64_t mLost = 0;
  std::int64_t mDoubled = 0;
  std::int64_t mForeign = 0;
  /// Text after the last whole word.
  std::string mRest;
};

/// Takes the next text of the answer; returns the number of whole words in it.
auto
CheckText(AnswerCheck& aCheck, std::string_view aText) -> std::int64_t;

/// Counts what is missing at the end of a whole answer.
auto
CheckEnd(AnswerCheck& aCheck) -> void;

/// What a body of server-sent events has shown so far.
struct EventReader
{
  std::string mLine;
  bool mIsErrorNext = false;
};

/// One thing that a body says.
struct AnswerEvent
{
  enum class Kind : std::uint8_t
  {
    Text,
    End,
    Error
  };
  Kind mKind = Kind::Text;
  /// The text, the end's reason or the error's JSON.
  std::string mText;
};

/// Reads the next complete event from aBytes, which is shortened by what was
/// read; false when more bytes are needed. Knows both the callers' form and
/// the engines' own.
auto
ReadEvent(EventReader& aReader, std::string_view& aBytes, AnswerEvent& aEvent)
  -> bool;

} // namespace cuminslip::fakes
