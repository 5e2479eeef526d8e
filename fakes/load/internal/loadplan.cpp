#include "fakes/load/loadplan.h"

#include "fakes/engine/answertext.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace cuminslip::fakes {

namespace {

constexpr auto kMicrosPerSecond = 1e6;
constexpr auto kLettersPerDraw = 8U;
constexpr auto kBitsPerLetter = 8U;

auto
DrawLogUniform(std::mt19937_64& aRandom,
               std::int64_t aLeast,
               std::int64_t aMost) -> std::int64_t
{
  auto draw = std::uniform_real_distribution<double>(
    std::log(static_cast<double>(aLeast)),
    std::log(static_cast<double>(aMost)));
  return std::clamp(std::llround(std::exp(draw(aRandom))),
                    static_cast<long long>(aLeast),
                    static_cast<long long>(aMost));
}

auto
DrawLength(std::mt19937_64& aRandom, const LoadLengths& aLengths)
  -> std::int64_t
{
  auto share = std::uniform_real_distribution<double>(0, 1);
  const auto isLong = share(aRandom) < aLengths.mLongShare;
  const auto least = isLong ? aLengths.mLongFrom : aLengths.mLeast;
  const auto most = isLong ? aLengths.mMost : aLengths.mLongFrom;
  return DrawLogUniform(aRandom, least, std::max(least, most));
}

auto
DrawAccount(std::mt19937_64& aRandom, const LoadSettings& aSettings)
  -> std::size_t
{
  auto weights = std::vector<double>{};
  for (const auto& account : aSettings.mAccounts) {
    weights.push_back(account.mWeight);
  }
  auto draw =
    std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  return draw(aRandom);
}

/// Index of the service that a request calls, or the number of services for
/// model work.
auto
DrawService(std::mt19937_64& aRandom, const LoadSettings& aSettings)
  -> std::size_t
{
  auto draw = std::uniform_real_distribution<double>(0, 1);
  auto rest = draw(aRandom);
  auto i = std::size_t{ 0 };
  for (; i < aSettings.mServices.size(); ++i) {
    rest -= aSettings.mServices[i].mShare;
    if (rest < 0) {
      break;
    }
  }
  return i;
}

auto
KindOfLength(const LoadSettings& aSettings, std::int64_t aTokens) -> std::size_t
{
  const auto& kinds = aSettings.mKinds;
  const auto it =
    std::find_if(kinds.begin(), kinds.end(), [&](const auto& aKind) {
      return aTokens <= aKind.mMaxPromptTokens;
    });
  const auto last = kinds.size() - 1;
  return std::min(static_cast<std::size_t>(it - kinds.begin()), last);
}

auto
DrawModelWork(std::mt19937_64& aRandom,
              const LoadSettings& aSettings,
              PlannedRequest& aRequest) -> void
{
  const auto& account = aSettings.mAccounts[aRequest.mAccount];
  aRequest.mPromptTokens = DrawLength(aRandom, aSettings.mLengths);
  aRequest.mKind = KindOfLength(aSettings, aRequest.mPromptTokens);
  const auto& kind = aSettings.mKinds[aRequest.mKind];
  aRequest.mAnswerTokens =
    DrawLogUniform(aRandom, kind.mMinAnswerTokens, kind.mMaxAnswerTokens);
  aRequest.mAllowance = kind.mAllowance;
  auto share = std::uniform_real_distribution<double>(0, 1);
  const auto hasPrefix = share(aRandom) < account.mPrefixShare;
  const auto prefix =
    aRandom() %
    static_cast<std::uint64_t>(std::max(account.mPrefixes, std::int64_t{ 1 }));
  aRequest.mTextSeed = aRandom();
  if (hasPrefix) {
    aRequest.mPrefixTokens =
      std::min(account.mPrefixTokens, aRequest.mPromptTokens);
    aRequest.mPrefixSeed = (aRequest.mAccount + 1) * 1000 + prefix;
  }
}

auto
DrawRequest(std::mt19937_64& aRandom, const LoadSettings& aSettings)
  -> PlannedRequest
{
  auto request = PlannedRequest{};
  request.mAccount = DrawAccount(aRandom, aSettings);
  const auto service = DrawService(aRandom, aSettings);
  if (service < aSettings.mServices.size()) {
    request.mIsService = true;
    request.mKind = service;
    request.mAllowance = aSettings.mServices[service].mAllowance;
    request.mTextSeed = aRandom();
    return request;
  }
  DrawModelWork(aRandom, aSettings, request);
  return request;
}

auto
IsLeftOut(const LoadSettings& aSettings, const PlannedRequest& aRequest) -> bool
{
  return aSettings.mOnlyUpTo > 0 &&
         aRequest.mPromptTokens > aSettings.mOnlyUpTo;
}

auto
AppendLetters(std::string& aText, std::uint64_t aSeed, std::size_t aSize)
  -> void
{
  constexpr auto kLetters =
    std::string_view("abcdefghijklmnopqrstuvwxyz     e");
  auto random = std::mt19937_64(aSeed);
  auto at = aText.size();
  const auto end = at + aSize;
  aText.resize(end);
  while (at < end) {
    auto bits = random();
    const auto stop = std::min<std::size_t>(at + kLettersPerDraw, end);
    for (; at < stop; ++at) {
      aText[at] = kLetters[bits % kLetters.size()];
      bits >>= kBitsPerLetter;
    }
  }
}

} // namespace

auto
MakePlan(const LoadSettings& aSettings) -> std::vector<PlannedRequest>
{
  auto random = std::mt19937_64(aSettings.mSeed);
  auto plan = std::vector<PlannedRequest>{};
  auto start = 0.0;
  auto index = std::int64_t{ 0 };
  for (auto phase = std::size_t{ 0 }; phase < aSettings.mPhases.size();
       ++phase) {
    const auto& it = aSettings.mPhases[phase];
    auto gap = std::exponential_distribution<double>(
      aSettings.mRequestsPerSecond * it.mFactor);
    const auto end = start + it.mSeconds;
    for (auto at = start + gap(random); at < end; at += gap(random)) {
      auto request = DrawRequest(random, aSettings);
      request.mIndex = index++;
      request.mPhase = phase;
      request.mAt = Micros(std::llround(at * kMicrosPerSecond));
      if (!IsLeftOut(aSettings, request)) {
        plan.push_back(request);
      }
    }
    start = end;
  }
  return plan;
}

auto
MakePrompt(const PlannedRequest& aRequest) -> std::string
{
  const auto bytes = [](std::int64_t aTokens) {
    return static_cast<std::size_t>(aTokens * kBytesPerToken);
  };
  auto text = std::string{};
  text.reserve(bytes(aRequest.mPromptTokens));
  AppendLetters(text, aRequest.mPrefixSeed, bytes(aRequest.mPrefixTokens));
  AppendLetters(text,
                aRequest.mTextSeed,
                bytes(aRequest.mPromptTokens - aRequest.mPrefixTokens));
  return text;
}

} // namespace cuminslip::fakes
