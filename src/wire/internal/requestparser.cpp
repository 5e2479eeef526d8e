#include "wire/internal/requestparser.h"

#include "wire/internal/picohttpparser.h"

#include <algorithm>
#include <array>

namespace cuminslip::wire {

namespace {

constexpr auto kBadRequest = 400;
constexpr auto kTooLarge = 413;
constexpr auto kExpectationFailed = 417;
constexpr auto kHeadTooLarge = 431;
/// Bytes of chunked framing on end: sizes, extensions, trailers.
constexpr auto kMaxUselessBytes = std::size_t{ 16 } * 1024;
/// A chunked body may have this many times the bytes of its largest payload;
/// chunks of one byte have six times.
constexpr auto kChunkedShare = std::size_t{ 8 };

auto
Fail(RequestParser& aParser, int aStatus) -> void
{
  aParser.mPhase = RequestPhase::Failed;
  aParser.mProblem = aStatus;
}

/// Splits a request target in absolute form, which names the host.
auto
TakeTarget(HttpRequest& aRequest, std::string_view aTarget) -> bool
{
  constexpr auto kScheme = std::string_view("http://");
  if (ToLower(aTarget.substr(0, kScheme.size())) == kScheme) {
    aTarget.remove_prefix(kScheme.size());
    const auto slash = std::min(aTarget.find('/'), aTarget.size());
    aRequest.mHost = aTarget.substr(0, slash);
    aTarget.remove_prefix(slash);
    aTarget = aTarget.empty() ? "/" : aTarget;
  }
  const auto question = aTarget.find('?');
  aRequest.mPath = aTarget.substr(0, question);
  if (question != std::string_view::npos) {
    aRequest.mQuery = aTarget.substr(question + 1);
  }
  return aTarget.starts_with('/') || aTarget == "*";
}

/// What the headers say of the message itself, which are not passed on.
struct Framing
{
  std::optional<std::string> mHost;
  std::optional<std::string> mLength;
  std::optional<std::string> mCoding;
  std::optional<std::string> mExpected;
  /// A header stands twice with different values.
  bool mIsContradictory = false;
};

/// Takes a header out of those that are passed on. False if it is not one of
/// them.
auto
TakeFraming(Framing& aFraming,
            const std::string& aName,
            std::string_view aValue) -> bool
{
  const auto take = [&](std::optional<std::string>& aField, bool aIsOnce) {
    aFraming.mIsContradictory |= aField && (aIsOnce || *aField != aValue);
    aField = std::string(aValue);
    return true;
  };
  if (aName == "host") {
    return take(aFraming.mHost, false);
  }
  if (aName == "content-length") {
    return take(aFraming.mLength, false);
  }
  if (aName == "transfer-encoding") {
    return take(aFraming.mCoding, true);
  }
  if (aName == "expect") {
    return take(aFraming.mExpected, false);
  }
  return aName == "upgrade";
}

/// Sets the phase for the body.
auto
EnterBody(RequestParser& aParser, const Framing& aFraming, RequestHead& aHead)
  -> void
{
  if (aFraming.mCoding) {
    // NOTE: of two framings a proxy in between may have taken the other.
    if (aFraming.mLength || ToLower(*aFraming.mCoding) != "chunked" ||
        !aHead.mReadsChunks) {
      return Fail(aParser, kBadRequest);
    }
    aParser.mPhase = RequestPhase::ChunkedBody;
    return;
  }
  const auto length = ReadNumber(aFraming.mLength.value_or("0"));
  if (!length) {
    // NOTE: a number beyond all bounds is a length, too.
    const auto isNumber =
      !aFraming.mLength->empty() &&
      aFraming.mLength->find_first_not_of("0123456789") == std::string::npos;
    return Fail(aParser, isNumber ? kTooLarge : kBadRequest);
  }
  if (*length > aParser.mMaxBodyBytes) {
    return Fail(aParser, kTooLarge);
  }
  aHead.mBodyBytes = *length;
  aParser.mBodyLeft = *length;
  aParser.mPhase = *length == 0 ? RequestPhase::Done : RequestPhase::LengthBody;
}

auto
ParseChunks(RequestParser& aParser, char* aBytes, std::size_t aSize) -> BodyPart
{
  auto decoded = aSize;
  const auto left = phr_decode_chunked(&aParser.mChunks, aBytes, &decoded);
  if (left == -1) {
    Fail(aParser, kBadRequest);
    return {};
  }
  aParser.mPayload += decoded;
  aParser.mChunkedBytes += aSize;
  aParser.mUselessBytes = decoded > 0 ? 0 : aParser.mUselessBytes + aSize;
  if (aParser.mPayload > aParser.mMaxBodyBytes ||
      aParser.mChunkedBytes >
        kChunkedShare * aParser.mMaxBodyBytes + kMaxUselessBytes) {
    Fail(aParser, kTooLarge);
    return {};
  }
  if (left == kIncomplete) {
    if (aParser.mUselessBytes > kMaxUselessBytes) {
      Fail(aParser, kBadRequest);
    }
    return { { aBytes, decoded }, {} };
  }
  aParser.mPhase = RequestPhase::Done;
  // NOTE: the bytes behind the body now stand behind the decoded ones.
  return { { aBytes, decoded },
           { aBytes + decoded, static_cast<std::size_t>(left) } };
}

} // namespace

auto
ParseRequestHead(RequestParser& aParser,
                 std::string_view aBytes,
                 std::size_t& aUsed) -> std::optional<RequestHead>
{
  auto headers = std::array<PhrHeader, kMaxHeaders>{};
  auto count = headers.size();
  auto minor = 0;
  const char* method = nullptr;
  const char* path = nullptr;
  auto methodSize = std::size_t{ 0 };
  auto pathSize = std::size_t{ 0 };
  const auto used = phr_parse_request(aBytes.data(),
                                      aBytes.size(),
                                      &method,
                                      &methodSize,
                                      &path,
                                      &pathSize,
                                      &minor,
                                      headers.data(),
                                      &count,
                                      aParser.mLookedAt);
  aParser.mLookedAt = aBytes.size();
  const auto size = used < 0 ? aBytes.size() : static_cast<std::size_t>(used);
  if (used != -1 && size > aParser.mMaxHeadBytes) {
    Fail(aParser, kHeadTooLarge);
    return std::nullopt;
  }
  if (used < 0) {
    if (used != kIncomplete) {
      Fail(aParser, kBadRequest);
    }
    return std::nullopt;
  }
  aUsed = size;
  auto head = RequestHead{};
  auto framing = Framing{};
  auto& request = head.mRequest;
  request.mMethod = { method, methodSize };
  const auto isTarget = TakeTarget(request, { path, pathSize });
  for (auto i = std::size_t{ 0 }; i < count; ++i) {
    const auto& it = headers.at(i);
    // NOTE: a line without a name continues the one before; it could hide a
    // header from a proxy in between.
    if (it.mName == nullptr) {
      Fail(aParser, kBadRequest);
      return std::nullopt;
    }
    auto name = ToLower({ it.mName, it.mNameSize });
    const auto value = std::string_view(it.mValue, it.mValueSize);
    if (!TakeFraming(framing, name, value)) {
      request.mHeaders.push_back({ std::move(name), std::string(value) });
    }
  }
  if (request.mHost.empty()) {
    request.mHost = framing.mHost.value_or("");
  }
  const auto connection =
    ToLower(FindHeader(request.mHeaders, "connection").value_or(""));
  head.mReadsChunks = minor > 0;
  head.mIsPersistent = minor == 0
                         ? connection.find("keep-alive") != std::string::npos
                         : connection.find("close") == std::string::npos;
  head.mExpectsContinue = minor > 0 && framing.mExpected.has_value();
  if (framing.mIsContradictory || !isTarget) {
    Fail(aParser, kBadRequest);
  } else if (framing.mExpected &&
             ToLower(*framing.mExpected) != "100-continue") {
    Fail(aParser, kExpectationFailed);
  } else {
    EnterBody(aParser, framing, head);
  }
  return head;
}

auto
ParseRequestBody(RequestParser& aParser, char* aBytes, std::size_t aSize)
  -> BodyPart
{
  if (aParser.mPhase == RequestPhase::ChunkedBody) {
    return ParseChunks(aParser, aBytes, aSize);
  }
  const auto taken = std::min(aSize, aParser.mBodyLeft);
  aParser.mBodyLeft -= taken;
  if (aParser.mBodyLeft == 0) {
    aParser.mPhase = RequestPhase::Done;
  }
  return { { aBytes, taken }, { aBytes + taken, aSize - taken } };
}

} // namespace cuminslip::wire
