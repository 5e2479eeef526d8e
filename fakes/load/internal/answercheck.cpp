#include "fakes/load/answercheck.h"

#include "fakes/engine/answertext.h"
#include "fakes/engine/jsonread.h"

#include <algorithm>

namespace cuminslip::fakes {

namespace {

/// How far a word is looked for after and before its place.
constexpr auto kSearch = std::int64_t{ 64 };

auto
FindWord(const AnswerCheck& aCheck,
         const std::string& aWord,
         std::int64_t aFrom,
         std::int64_t aTo) -> std::int64_t
{
  for (auto i = std::max<std::int64_t>(aFrom, 0); i < aTo; ++i) {
    if (AnswerPiece(aCheck.mDigest, i) == aWord) {
      return i;
    }
  }
  return -1;
}

auto
CheckWord(AnswerCheck& aCheck, const std::string& aWord) -> void
{
  const auto next = aCheck.mNext;
  const auto isInside = next < aCheck.mExpected;
  if (isInside && AnswerPiece(aCheck.mDigest, next) == aWord) {
    aCheck.mNext += 1;
    return;
  }
  const auto later =
    FindWord(aCheck, aWord, next, std::min(next + kSearch, aCheck.mExpected));
  if (later >= 0) {
    aCheck.mLost += later - next;
    aCheck.mNext = later + 1;
    return;
  }
  if (FindWord(aCheck, aWord, next - kSearch, next) >= 0) {
    aCheck.mDoubled += 1;
    return;
  }
  aCheck.mForeign += 1;
}

auto
FirstChoice(const boost::json::object& aObject) -> const boost::json::object*
{
  const auto* choices = aObject.if_contains("choices");
  if (choices == nullptr || !choices->is_array() ||
      choices->as_array().empty() || !choices->as_array()[0].is_object()) {
    return nullptr;
  }
  return &choices->as_array()[0].as_object();
}

auto
ReadData(EventReader& aReader, std::string_view aData, AnswerEvent& aEvent)
  -> bool
{
  if (std::exchange(aReader.mIsErrorNext, false)) {
    aEvent = { AnswerEvent::Kind::Error, std::string(aData) };
    return true;
  }
  if (aData == "[DONE]") {
    aEvent = { AnswerEvent::Kind::End, "length" };
    return true;
  }
  const auto object = ParseObject(aData);
  if (!object.has_value()) {
    aEvent = { AnswerEvent::Kind::Error, "" };
    return true;
  }
  if (TruthOf(*object, "end")) {
    aEvent = { AnswerEvent::Kind::End, TextOf(*object, "reason") };
    return true;
  }
  const auto* choice = FirstChoice(*object);
  aEvent = { AnswerEvent::Kind::Text,
             TextOf(choice == nullptr ? *object : *choice, "text") };
  return !aEvent.mText.empty();
}

/// Reads one line; true when it is an event.
auto
ReadLine(EventReader& aReader, std::string_view aLine, AnswerEvent& aEvent)
  -> bool
{
  constexpr auto kData = std::string_view("data: ");
  if (aLine.ends_with('\r')) {
    aLine.remove_suffix(1);
  }
  if (aLine == "event: error") {
    aReader.mIsErrorNext = true;
    return false;
  }
  if (!aLine.starts_with(kData)) {
    return false;
  }
  return ReadData(aReader, aLine.substr(kData.size()), aEvent);
}

} // namespace

auto
CheckText(AnswerCheck& aCheck, std::string_view aText) -> std::int64_t
{
  aCheck.mRest += aText;
  auto words = std::int64_t{ 0 };
  while (true) {
    const auto space = aCheck.mRest.find(' ');
    if (space == std::string::npos) {
      return words;
    }
    CheckWord(aCheck, aCheck.mRest.substr(0, space + 1));
    aCheck.mRest.erase(0, space + 1);
    ++words;
  }
}

auto
CheckEnd(AnswerCheck& aCheck) -> void
{
  aCheck.mLost += std::max<std::int64_t>(aCheck.mExpected - aCheck.mNext, 0);
  if (!aCheck.mRest.empty()) {
    aCheck.mForeign += 1;
  }
}

auto
ReadEvent(EventReader& aReader, std::string_view& aBytes, AnswerEvent& aEvent)
  -> bool
{
  while (!aBytes.empty()) {
    const auto end = aBytes.find('\n');
    if (end == std::string_view::npos) {
      aReader.mLine += aBytes;
      aBytes = {};
      return false;
    }
    aReader.mLine += aBytes.substr(0, end);
    aBytes.remove_prefix(end + 1);
    const auto line = std::exchange(aReader.mLine, {});
    if (ReadLine(aReader, line, aEvent)) {
      return true;
    }
  }
  return false;
}

} // namespace cuminslip::fakes
