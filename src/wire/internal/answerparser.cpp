#include "wire/internal/answerparser.h"

#include "wire/internal/picohttpparser.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace cuminslip::wire {

namespace {

constexpr auto kFirstStatus = 100;
constexpr auto kSwitchingProtocols = 101;
constexpr auto kFirstFinalStatus = 200;
constexpr auto kLastStatus = 599;
constexpr auto kNoContent = 204;
constexpr auto kNotModified = 304;

auto
ReadKeepAlive(const Headers& aHeaders) -> std::optional<int>
{
  constexpr auto kKey = std::string_view("timeout=");
  const auto value = ToLower(FindHeader(aHeaders, "keep-alive").value_or(""));
  const auto begin = value.find(kKey);
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  const auto digits = value.substr(begin + kKey.size());
  const auto size = digits.find_first_not_of("0123456789");
  const auto number = ReadNumber(std::string_view(digits).substr(0, size));
  return number ? std::optional(static_cast<int>(*number)) : std::nullopt;
}

/// Returns true if the head states two different lengths.
auto
HasConflictingLengths(const Headers& aHeaders) -> bool
{
  const auto first = FindHeader(aHeaders, "content-length");
  return std::any_of(aHeaders.begin(), aHeaders.end(), [&](const auto& aItem) {
    return aItem.mName == "content-length" && aItem.mValue != *first;
  });
}

/// Returns true if the body has transfer codings other than one of chunks.
auto
HasOtherCodings(const Headers& aHeaders) -> bool
{
  auto count = 0;
  for (const auto& it : aHeaders) {
    if (it.mName == "transfer-encoding" &&
        (++count > 1 || ToLower(it.mValue) != "chunked")) {
      return true;
    }
  }
  return false;
}

/// Returns true if requests of this client can be answered with aStatus. None
/// asks for another protocol.
auto
IsAnswerStatus(int aStatus) -> bool
{
  return aStatus >= kFirstStatus && aStatus <= kLastStatus &&
         aStatus != kSwitchingProtocols;
}

/// Sets the phase for the body that follows aHead.
auto
EnterBody(AnswerParser& aParser, const AnswerHead& aHead) -> void
{
  const auto isChunked =
    FindHeader(aHead.mHeaders, "transfer-encoding").has_value();
  const auto length = FindHeader(aHead.mHeaders, "content-length");
  if (aParser.mIsToHead || aHead.mStatus == kNoContent ||
      aHead.mStatus == kNotModified) {
    aParser.mPhase = AnswerPhase::Done;
  } else if (isChunked) {
    aParser.mPhase = AnswerPhase::ChunkedBody;
    aParser.mChunks = {};
  } else if (length) {
    const auto number = ReadNumber(*length);
    aParser.mBodyLeft = number.value_or(0);
    aParser.mPhase = !number        ? AnswerPhase::Failed
                     : *number == 0 ? AnswerPhase::Done
                                    : AnswerPhase::LengthBody;
  } else {
    aParser.mPhase = AnswerPhase::OpenBody;
  }
}

auto
ParseHead(AnswerParser& aParser, const char* aBytes, std::size_t aSize)
  -> ParsedPart
{
  auto headers = std::array<PhrHeader, kMaxHeaders>{};
  auto count = headers.size();
  auto minor = 0;
  auto head = AnswerHead{};
  const char* reason = nullptr;
  auto reasonSize = std::size_t{ 0 };
  const auto used = phr_parse_response(aBytes,
                                       aSize,
                                       &minor,
                                       &head.mStatus,
                                       &reason,
                                       &reasonSize,
                                       headers.data(),
                                       &count,
                                       0);
  if (used == kIncomplete && aSize <= aParser.mMaxHeadBytes) {
    return {};
  }
  if (used < 0 || static_cast<std::size_t>(used) > aParser.mMaxHeadBytes) {
    aParser.mPhase = used == -1 ? AnswerPhase::Failed : AnswerPhase::TooLarge;
    return {};
  }
  for (auto i = std::size_t{ 0 }; i < count; ++i) {
    const auto& it = headers.at(i);
    // NOTE: a line without a name continues the one before.
    if (it.mName == nullptr) {
      head.mHeaders.back().mValue +=
        " " + std::string(it.mValue, it.mValueSize);
      continue;
    }
    head.mHeaders.push_back(
      { ToLower({ it.mName, it.mNameSize }), { it.mValue, it.mValueSize } });
  }
  const auto connection =
    ToLower(FindHeader(head.mHeaders, "connection").value_or(""));
  head.mIsPersistent =
    minor == 0 ? connection == "keep-alive" : connection != "close";
  // NOTE: of two framings the chunks count, but the server may mean the other.
  head.mIsPersistent &= !FindHeader(head.mHeaders, "transfer-encoding") ||
                        !FindHeader(head.mHeaders, "content-length");
  head.mKeepAliveSeconds = ReadKeepAlive(head.mHeaders);
  auto part = ParsedPart{};
  part.mConsumed = static_cast<std::size_t>(used);
  part.mLeft = aSize - part.mConsumed;
  if (!IsAnswerStatus(head.mStatus) || HasOtherCodings(head.mHeaders) ||
      HasConflictingLengths(head.mHeaders)) {
    aParser.mPhase = AnswerPhase::Failed;
    return {};
  }
  // NOTE: an interim answer is followed by the final one.
  if (head.mStatus >= kFirstFinalStatus) {
    EnterBody(aParser, head);
    part.mHead = std::move(head);
  }
  return part;
}

auto
ParseChunks(AnswerParser& aParser, char* aBytes, std::size_t aSize)
  -> ParsedPart
{
  auto decoded = aSize;
  const auto left = phr_decode_chunked(&aParser.mChunks, aBytes, &decoded);
  if (left == -1) {
    aParser.mPhase = AnswerPhase::Failed;
    return {};
  }
  auto part = ParsedPart{};
  part.mPiece = { aBytes, decoded };
  if (left == kIncomplete) {
    part.mConsumed = aSize;
    return part;
  }
  // NOTE: the bytes behind the body now stand behind the decoded ones.
  aParser.mPhase = AnswerPhase::Done;
  part.mConsumed = decoded;
  part.mLeft = static_cast<std::size_t>(left);
  return part;
}

} // namespace

auto
ToLower(std::string_view aText) -> std::string
{
  auto text = std::string(aText);
  for (auto& it : text) {
    if (it >= 'A' && it <= 'Z') {
      it = static_cast<char>(it - 'A' + 'a');
    }
  }
  return text;
}

auto
ReadNumber(std::string_view aText) -> std::optional<std::size_t>
{
  auto number = std::size_t{ 0 };
  const auto* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, number);
  if (ec != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return number;
}

auto
ParseAnswer(AnswerParser& aParser, char* aBytes, std::size_t aSize)
  -> ParsedPart
{
  if (aParser.mPhase == AnswerPhase::Head) {
    return ParseHead(aParser, aBytes, aSize);
  }
  if (aParser.mPhase == AnswerPhase::ChunkedBody) {
    return ParseChunks(aParser, aBytes, aSize);
  }
  auto part = ParsedPart{};
  part.mConsumed = aSize;
  if (aParser.mPhase == AnswerPhase::LengthBody) {
    part.mConsumed = std::min(aSize, aParser.mBodyLeft);
    aParser.mBodyLeft -= part.mConsumed;
    if (aParser.mBodyLeft == 0) {
      aParser.mPhase = AnswerPhase::Done;
    }
  }
  part.mPiece = { aBytes, part.mConsumed };
  part.mLeft = aSize - part.mConsumed;
  return part;
}

} // namespace cuminslip::wire
