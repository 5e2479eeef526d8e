#include "policy/enginelanes.h"
#include "policy/passmodel.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace cuminslip;

namespace {

auto
Timing() -> routing::EngineTiming
{
  auto timing = routing::EngineTiming{};
  timing.mSlots = 16;
  timing.mKvCacheTokens = 315000;
  timing.mStepsPerPass = 51;
  timing.mStepMillis = 0.85;
  timing.mStepMillisPerDecodingRequest = 0.00425;
  timing.mStepMillisPerThousandContextTokens = 0.00285;
  timing.mPrefilledTokensPerSecond = 177000;
  timing.mPrefillMillisPerMillionPairs = 0.184;
  timing.mChunkTokens = 2048;
  return timing;
}

auto
Prompt(std::int64_t aTokens, Millis aTarget) -> PromptWork
{
  return { aTokens, 800, aTarget, Millis(250), Millis(0), Millis(15000) };
}

auto
ShortPrompt() -> PromptWork
{
  return Prompt(5000, Millis(300));
}

auto
LongPrompt() -> PromptWork
{
  return Prompt(154000, Millis(3000));
}

auto
Engines(std::size_t aCount) -> std::vector<EngineCandidate>
{
  auto engines = std::vector<EngineCandidate>(aCount);
  for (auto i = std::size_t{ 0 }; i < aCount; ++i) {
    engines[i].mOrder = i;
  }
  return engines;
}

auto
AddShorts(EngineCandidate& aEngine, std::int64_t aCount) -> void
{
  aEngine.mWork.mStreams += aCount;
  aEngine.mWork.mContextTokens += aCount * 5000;
}

auto
Choose(const PromptWork& aPrompt, const std::vector<EngineCandidate>& aEngines)
  -> LaneChoice
{
  return ChooseEngines(Timing(), aPrompt, aEngines, {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineLanesTests)

BOOST_AUTO_TEST_CASE(TimesFollowThePublishedModel)
{
  // 154,000 tokens: 870 ms from the rate and 2,182 ms from the token pairs.
  BOOST_TEST(PrefillMillis(Timing(), 154000) == 3052,
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(PassMillis(Timing(), 1, 5000) == 44.3,
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(IsLongPrompt(Timing(), LongPrompt()));
  BOOST_TEST(!IsLongPrompt(Timing(), ShortPrompt()));
}

BOOST_AUTO_TEST_CASE(ShortPromptsArePackedAtOneEndOfTheOrder)
{
  auto engines = Engines(10);
  for (auto i = 0; i < 30; ++i) {
    const auto choice = Choose(ShortPrompt(), engines);
    BOOST_REQUIRE(choice.mEngine.has_value());
    AddShorts(engines[*choice.mEngine], 1);
  }
  auto used = 0;
  for (auto i = std::size_t{ 0 }; i < engines.size(); ++i) {
    used += engines[i].mWork.mStreams > 0 ? 1 : 0;
    BOOST_TEST((engines[i].mWork.mStreams == 0 || i >= 7),
               "engine " << i << " outside the packed end has a short prompt");
  }
  BOOST_TEST(used == 3);
}

/// 80 instances with the same information each place a short prompt before they
/// learn of one another's. Without sampling, the baseline, all of them choose
/// the same engine.
BOOST_AUTO_TEST_CASE(ManyInstancesDoNotAllChooseTheSameEngine)
{
  auto engines = Engines(80);
  for (auto& it : engines) {
    AddShorts(it, 8);
  }
  AddShorts(engines[79], -1);
  const auto mostOnOne = [&](std::size_t aSample) {
    auto rules = LaneRules{};
    rules.mSample = aSample;
    auto random = std::mt19937_64(7);
    auto counts = std::vector<int>(engines.size(), 0);
    for (auto i = 0; i < 80; ++i) {
      for (auto& it : engines) {
        it.mRandomKey = random();
      }
      ++counts[*ChooseEngines(Timing(), ShortPrompt(), engines, rules).mEngine];
    }
    return *std::max_element(counts.begin(), counts.end());
  };

  BOOST_TEST(mostOnOne(0) == 80);
  BOOST_TEST(mostOnOne(3) <= 10);
}

BOOST_AUTO_TEST_CASE(ShortPromptsSpillWherePackedEnginesWouldBeLate)
{
  auto engines = Engines(4);
  engines[3].mWork.mReadMillis = 2000;
  const auto choice = Choose(ShortPrompt(), engines);

  BOOST_TEST((choice.mReason == LaneReason::Spilled));
  BOOST_TEST(*choice.mEngine != 3U);
}

/// A burst of short prompts fills all engines up to their packed share while
/// most of them still prefill parts of long prompts. With a sample, the engines
/// that are in time must be found; the baseline took the best of three at
/// random.
BOOST_AUTO_TEST_CASE(ABurstFindsTheEnginesThatAreInTime)
{
  auto engines = Engines(60);
  auto random = std::mt19937_64(7);
  for (auto i = std::size_t{ 0 }; i < engines.size(); ++i) {
    AddShorts(engines[i], 9);
    engines[i].mWork.mReadMillis = i % 6 == 0 ? 0 : 1500;
  }
  auto rules = LaneRules{};
  rules.mSample = 3;
  rules.mPackShare = 0.5;
  auto used = std::set<std::size_t>{};
  for (auto i = 0; i < 100; ++i) {
    for (auto& it : engines) {
      it.mRandomKey = random();
    }
    const auto choice = ChooseEngines(Timing(), ShortPrompt(), engines, rules);
    BOOST_TEST(choice.mFirstEventMillis <= 300);
    used.insert(*choice.mEngine);
  }
  BOOST_TEST(used.size() == 10U, "all engines in time are used");
}

BOOST_AUTO_TEST_CASE(ALongPromptIsPrefilledByManyEnginesInTime)
{
  const auto choice = Choose(LongPrompt(), Engines(23));

  BOOST_TEST((choice.mReason == LaneReason::Together));
  BOOST_TEST(choice.mHelpers.size() == 16U);
  BOOST_TEST(choice.mFirstEventMillis < 300);
}

BOOST_AUTO_TEST_CASE(ALongPromptAvoidsEnginesWithShortPrompts)
{
  auto engines = Engines(14);
  for (auto i = std::size_t{ 10 }; i < engines.size(); ++i) {
    AddShorts(engines[i], 8);
  }
  const auto choice = Choose(LongPrompt(), engines);
  BOOST_REQUIRE(choice.mEngine.has_value());
  BOOST_TEST(*choice.mEngine < 10U);
  for (const auto& it : choice.mHelpers) {
    BOOST_TEST(it.mEngine < 10U);
  }
}

BOOST_AUTO_TEST_CASE(PartsAreNotAddedToEnginesStillInPrefill)
{
  auto engines = Engines(14);
  for (auto i = std::size_t{ 0 }; i < 8; ++i) {
    engines[i].mWork.mReadMillis = 200;
    engines[i].mWork.mLongPromptsInPrefill = 1;
  }
  const auto choice = Choose(LongPrompt(), engines);
  BOOST_REQUIRE(choice.mEngine.has_value());
  BOOST_TEST(choice.mHelpers.size() == 5U);
  for (const auto& it : choice.mHelpers) {
    BOOST_TEST(it.mEngine >= 8U);
  }
}

BOOST_AUTO_TEST_CASE(ALongPromptWaitsWhileAllEnginesPrefillAndIsFinallyRefused)
{
  auto engines = Engines(14);
  for (auto& it : engines) {
    it.mWork.mReadMillis = 200;
    it.mWork.mLongPromptsInPrefill = 2;
  }
  BOOST_TEST((Choose(LongPrompt(), engines).mReason == LaneReason::Wait));
  auto late = LongPrompt();
  late.mWaited = Millis(8000);
  late.mAllowance = Millis(7000);
  BOOST_TEST((Choose(late, engines).mReason == LaneReason::Refuse));
}

BOOST_AUTO_TEST_CASE(APromptAboveOneEnginesMemoryIsHeldBySeveral)
{
  const auto prompt = Prompt(600000, Millis(3000));
  const auto choice = Choose(prompt, Engines(23));
  BOOST_REQUIRE(choice.mEngine.has_value());
  auto held = std::int64_t{ 0 };
  for (const auto& it : choice.mHelpers) {
    held += it.mHoldTokens;
    BOOST_TEST(it.mHoldTokens <= Timing().mKvCacheTokens);
  }
  BOOST_TEST(held + Timing().mKvCacheTokens >= 600800);
  BOOST_TEST((Choose(prompt, Engines(1)).mReason == LaneReason::Wait));
}

BOOST_AUTO_TEST_CASE(MemoryInUseIsNotGivenTwice)
{
  auto engines = Engines(3);
  engines[0].mWork = { 1, 200000, 0, 1, 1000, 0, 0 };
  engines[2].mWork = { 1, 200000, 0, 1, 1000, 0, 0 };
  const auto choice = Choose(Prompt(100000, Millis(3000)), engines);
  BOOST_REQUIRE(choice.mEngine.has_value());

  BOOST_TEST(*choice.mEngine == 1U);
}

/// Guards against placing a short prompt on an engine without free memory: one
/// waited 2 s at an engine that was decoding the answer to a prompt of 214,000
/// tokens.
BOOST_AUTO_TEST_CASE(AShortPromptGoesWhereItHasMemory)
{
  auto engines = Engines(2);
  engines[1].mWork = { 1, 314000, 0, 1, 1000, 0, 0 };

  BOOST_TEST(*Choose(ShortPrompt(), engines).mEngine == 0U);
}

BOOST_AUTO_TEST_CASE(NothingIsChosenAmongNoEngines)
{
  BOOST_TEST((Choose(ShortPrompt(), {}).mReason == LaneReason::Refuse));
}

BOOST_AUTO_TEST_CASE(WorkOfTwoInstancesAddsUp)
{
  const auto sum = AddWork({ 2, 100, 300, 1, 1000, 1, 1 },
                           { 3, 50, 200, 0, kNoPauseLimitMillis, 0, 0 });

  BOOST_TEST((sum == EngineWork{ 5, 150, 300, 1, 1000, 1, 1 }));
}

/// Long prompts arrive faster than one engine could prefill them. If all
/// engines prefill them together, one after the other, they stay on time; if
/// each has an engine of its own, the baseline, they do not.
BOOST_AUTO_TEST_CASE(ABurstOfLongPromptsIsPrefilledFasterTogetherThanApart)
{
  constexpr auto kLongPrompts = 12;
  constexpr auto kGap = 400.0;
  const auto timeFor = [&](std::size_t aReaders) {
    auto rules = LaneRules{};
    rules.mMaxReaders = aReaders;
    rules.mMaxCostWhileWaiting = 1e9;
    auto freeAt = std::vector<double>(14, 0.0);
    auto sum = 0.0;
    for (auto i = 0; i < kLongPrompts; ++i) {
      const auto now = i * kGap;
      auto engines = Engines(freeAt.size());
      for (auto n = std::size_t{ 0 }; n < engines.size(); ++n) {
        engines[n].mWork.mReadMillis = std::max(freeAt[n] - now, 0.0);
      }
      const auto choice = ChooseEngines(Timing(), LongPrompt(), engines, rules);
      BOOST_REQUIRE(choice.mEngine.has_value());
      sum += choice.mFirstEventMillis;
      const auto end = now + choice.mFirstEventMillis;
      freeAt[*choice.mEngine] = end;
      for (const auto& it : choice.mHelpers) {
        freeAt[it.mEngine] = now + it.mReadMillis;
      }
    }
    return sum / kLongPrompts;
  };

  BOOST_TEST(timeFor(17) * 3 < timeFor(1));
}

// Load: files of 45,000 tokens beside short prompts on all engines, which allow
// pauses of 200 ms. A part of 150 ms and a pass pause them for too long.
BOOST_AUTO_TEST_CASE(PartsAreSmallerWhereStreamsAllowShortPausesOnly)
{
  auto engines = Engines(14);
  for (auto& it : engines) {
    AddShorts(it, 6);
  }
  auto strict = Prompt(45000, Millis(1500));
  strict.mStrictestPause = Millis(200);
  const auto choice = Choose(strict, engines);
  BOOST_REQUIRE(choice.mEngine.has_value());
  BOOST_TEST(choice.mHelpers.size() == 4U);

  strict.mStrictestPause = Millis(250);
  const auto wider = Choose(strict, engines);
  BOOST_REQUIRE(wider.mEngine.has_value());
  BOOST_TEST(wider.mHelpers.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
