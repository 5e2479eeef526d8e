#include "fakes/engine/answertext.h"
#include "fakes/engine/enginecore.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace cuminslip;
using namespace cuminslip::fakes;

namespace {

constexpr auto kStart = TimePoint(Seconds(1000));
constexpr auto kLong = Seconds(600);

auto
SmallEngine() -> EngineSettings
{
  auto settings = EngineSettings{};
  settings.mName = "engine-1";
  settings.mModels = { { "drafter", "3", { "tax" } } };
  settings.mPrefillTokensPerSecond = 10000;
  settings.mDecodeTokensPerSecond = 100;
  settings.mDecodeSlowdownPerStream = 0;
  settings.mChunkTokens = 1000;
  settings.mBatchSlots = 4;
  settings.mMaxWaiting = 2;
  settings.mTotalKvTokens = 100000;
  return settings;
}

auto
Stream(const std::string& aAttempt, std::int64_t aPrompt, std::int64_t aPieces)
  -> StreamRequest
{
  auto request = StreamRequest{};
  request.mAttempt = aAttempt;
  request.mOwner = "entry-1";
  request.mOwnerIncarnation = 4;
  request.mModel = "drafter";
  request.mVersion = "3";
  request.mPromptTokens = aPrompt;
  request.mDigest = aPrompt;
  request.mMaxTokens = aPieces;
  request.mAllowance = kLong;
  request.mLease = kLong;
  return request;
}

auto
Hashes(const std::string& aName, std::int64_t aTokens)
  -> std::vector<std::string>
{
  auto hashes = std::vector<std::string>{};
  for (auto i = std::int64_t{ 0 }; i < aTokens / kBlockTokens; ++i) {
    hashes.push_back(aName + std::to_string(i));
  }
  return hashes;
}

/// Runs until nothing is due or aUntil; returns when each attempt's first
/// piece came.
auto
RunFirstPieces(Engine& aEngine, TimePoint aUntil)
  -> std::map<std::string, Millis>
{
  auto first = std::map<std::string, Millis>{};
  while (NextDue(aEngine).value_or(aUntil + Micros(1)) <= aUntil) {
    Advance(aEngine, *NextDue(aEngine));
    for (const auto& output : TakeOutputs(aEngine)) {
      if (output.mKind == OutputKind::Piece) {
        first.try_emplace(output.mAttempt, MillisBetween(kStart, aEngine.mNow));
      }
    }
  }
  return first;
}

auto
TextOfAttempt(const std::vector<EngineOutput>& aOutputs,
              const std::string& aAttempt) -> std::string
{
  auto text = std::string{};
  for (const auto& output : aOutputs) {
    if (output.mAttempt == aAttempt) {
      text += output.mText;
    }
  }
  return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(ReadsTheWholePromptBeforeTheFirstPiece)
{
  auto engine = CreateEngine(SmallEngine(), 1, kStart);
  BOOST_TEST(SubmitStream(engine, Stream("a", 5000, 3), kStart).mIsAccepted);
  const auto first = RunFirstPieces(engine, kStart + kLong);
  BOOST_TEST(first.at("a").count() == 500);
  BOOST_TEST(MillisBetween(kStart, engine.mNow).count() == 520);
  BOOST_TEST(CountUsed(engine.mMemory) == 0);
}

BOOST_AUTO_TEST_CASE(UrgentPromptsAreReadBeforePatientOnes)
{
  for (const auto honours : { true, false }) {
    auto settings = SmallEngine();
    settings.mHonoursPriority = honours;
    auto engine = CreateEngine(settings, 1, kStart);
    auto patient = Stream("patient", 50000, 1);
    patient.mPriority = 2;
    auto urgent = Stream("urgent", 1000, 1);
    urgent.mPriority = 0;
    SubmitStream(engine, patient, kStart);
    SubmitStream(engine, urgent, kStart);
    const auto first = RunFirstPieces(engine, kStart + kLong);
    BOOST_TEST(first.at("urgent").count() == (honours ? 200 : 5100));
  }
}

BOOST_AUTO_TEST_CASE(TimeScaleAndSlowFactorChangeRates)
{
  auto engine = CreateEngine(SmallEngine(), 10, kStart);
  engine.mSlowFactor = 2;
  SubmitStream(engine, Stream("a", 5000, 1), kStart);
  BOOST_TEST(RunFirstPieces(engine, kStart + kLong).at("a").count() == 100);
}

BOOST_AUTO_TEST_CASE(CachedPrefixIsNotReadAgain)
{
  auto engine = CreateEngine(SmallEngine(), 1, kStart);
  auto request = Stream("a", 5120, 1);
  request.mPrefixHashes = Hashes("p", 5120);
  SubmitStream(engine, request, kStart);
  RunFirstPieces(engine, kStart + kLong);
  BOOST_TEST(engine.mMemory.mBlocks.size() == 10U);
  request.mAttempt = "b";
  SubmitStream(engine, request, engine.mNow);
  RunFirstPieces(engine, kStart + kLong);
  BOOST_TEST(engine.mCounters.mCachedTokens == 9 * kBlockTokens);
  BOOST_TEST(engine.mCounters.mPrefillTokens == 5120 + 512);
}

BOOST_AUTO_TEST_CASE(RefusesBeforeRunning)
{
  struct Row
  {
    const char* mName;
    std::function<void(StreamRequest&)> mChange;
    int mStatus;
    const char* mReason;
  };
  const auto rows = std::vector<Row>{
    { "unknown model",
      [](auto& aIt) { aIt.mModel = "other"; },
      409,
      "model_not_loaded" },
    { "unknown version",
      [](auto& aIt) { aIt.mVersion = "4"; },
      409,
      "model_not_loaded" },
    { "unknown adapter",
      [](auto& aIt) { aIt.mAdapter = "other"; },
      409,
      "model_not_loaded" },
    { "larger than the memory",
      [](auto& aIt) { aIt.mPromptTokens = 100000; },
      409,
      "too_large" },
    { "attempt id used twice",
      [](auto& aIt) { aIt.mAttempt = "running"; },
      409,
      "attempt_known" },
  };
  for (const auto& row : rows) {
    auto engine = CreateEngine(SmallEngine(), 1, kStart);
    SubmitStream(engine, Stream("running", 1000, 1), kStart);
    auto request = Stream("new", 1000, 1);
    row.mChange(request);
    const auto verdict = SubmitStream(engine, request, kStart);
    BOOST_TEST_CONTEXT(row.mName)
    {
      BOOST_TEST(!verdict.mIsAccepted);
      BOOST_TEST(verdict.mStatus == row.mStatus);
      BOOST_TEST(verdict.mReason == row.mReason);
      BOOST_TEST(engine.mStreams.size() == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(RefusesWhenTooManyWait)
{
  auto engine = CreateEngine(SmallEngine(), 1, kStart);
  for (auto i = 0; i < 6; ++i) {
    const auto request = Stream("a" + std::to_string(i), 1000, 1000);
    SubmitStream(engine, request, kStart);
    Advance(engine, kStart + Seconds(1 + i));
  }
  const auto verdict =
    SubmitStream(engine, Stream("b", 1000, 1), kStart + Seconds(7));
  BOOST_TEST(verdict.mStatus == 429);
}

BOOST_AUTO_TEST_CASE(ResumedStreamMissesNothing)
{
  auto whole = CreateEngine(SmallEngine(), 1, kStart);
  SubmitStream(whole, Stream("a", 1000, 20), kStart);
  Advance(whole, kStart + kLong);
  const auto expected = TextOfAttempt(TakeOutputs(whole), "a");

  auto engine = CreateEngine(SmallEngine(), 1, kStart);
  SubmitStream(engine, Stream("a", 1000, 20), kStart);
  Advance(engine, kStart + Millis(150));
  const auto before = TakeOutputs(engine);
  DetachStream(engine, "a");
  Advance(engine, kStart + Seconds(5));
  const auto resume = ResumeRequest{ "a", "b", 6, "entry-2", 1, Millis(15000) };
  const auto verdict = ResumeStream(engine, resume, kStart + Seconds(5));
  const auto text =
    TextOfAttempt(before, "a") + TextOfAttempt(TakeOutputs(engine), "b");
  BOOST_TEST(verdict.mIsAccepted);
  BOOST_TEST(text == expected);
  BOOST_TEST(engine.mStreams.empty());

  auto elsewhere = CreateEngine(SmallEngine(), 1, kStart);
  auto rest = Stream("c", 1000, 20);
  rest.mSkipPieces = 6;
  SubmitStream(elsewhere, rest, kStart);
  Advance(elsewhere, kStart + kLong);
  BOOST_TEST(TextOfAttempt(before, "a") +
               TextOfAttempt(TakeOutputs(elsewhere), "c") ==
             expected);
}

BOOST_AUTO_TEST_CASE(LeaseEndsFreeMemory)
{
  auto engine = CreateEngine(SmallEngine(), 1, kStart);
  auto request = Stream("a", 1000, 100000 - 1000);
  request.mLease = Millis(500);
  SubmitStream(engine, request, kStart);
  Advance(engine, kStart + Millis(499));
  BOOST_TEST(CountUsed(engine.mMemory) == 100000);
  const auto unknown =
    RenewLeases(engine, "entry-1", 4, Millis(500), { "a", "x" }, engine.mNow);
  BOOST_TEST(unknown.size() == 1U);
  Advance(engine, kStart + Millis(998));
  BOOST_TEST(CountUsed(engine.mMemory) == 100000);
  Advance(engine, kStart + Millis(999));
  BOOST_TEST(CountUsed(engine.mMemory) == 0);
  BOOST_TEST(TakeOutputs(engine).back().mReason == "lease");
}

BOOST_AUTO_TEST_CASE(PartsMakeTheSameAnswerAsTheWholePrompt)
{
  const auto prompt = std::string(5000 * kBytesPerToken, 'q');
  const auto cut = static_cast<std::size_t>(4096 * kBytesPerToken);
  const auto first = ExtendDigest(0, prompt.substr(0, cut));
  BOOST_TEST(ExtendDigest(first, prompt.substr(cut)) ==
             ExtendDigest(0, prompt));

  auto engine = CreateEngine(SmallEngine(), 1, kStart);
  const auto hold =
    HoldRequest{ "r", "reservation", "entry-1", 4, Millis(10000), 5000 };
  BOOST_TEST(Reserve(engine, hold, kStart).mIsAccepted);
  BOOST_TEST(
    SubmitPart(engine, { "r", "1", 4096, first, 1 }, kStart).mIsAccepted);
  BOOST_TEST(SubmitPart(engine, { "r", "2", 4096, first, 1 }, kStart).mReason ==
             "reservation_full");
  Advance(engine, kStart + Seconds(1));
  BOOST_TEST(engine.mHoldings.at("r.1").mDigest == first);
  BOOST_TEST(CountUsed(engine.mMemory) == 5000);
  ReleaseHolding(engine, "r", kStart + Seconds(1));
  BOOST_TEST(engine.mHoldings.empty());
  BOOST_TEST(CountUsed(engine.mMemory) == 0);
}

BOOST_AUTO_TEST_CASE(ExportedPrefixIsKeptAndImported)
{
  auto from = CreateEngine(SmallEngine(), 1, kStart);
  auto request = Stream("a", 5120, 1);
  request.mPrefixHashes = Hashes("p", 5120);
  SubmitStream(from, request, kStart);
  Advance(from, kStart + Seconds(5));
  const auto hold =
    HoldRequest{ "h", "export", "entry-1", 4, Millis(10000), 0 };
  BOOST_TEST(ExportPrefix(from, hold, "p7", from.mNow).mIsAccepted);
  BOOST_TEST(ExportPrefix(from, { "g" }, "q7", from.mNow).mStatus == 404);
  const auto blocks = from.mHoldings.at("h").mBlocks;
  BOOST_TEST(blocks.size() == 8U);

  auto into = CreateEngine(SmallEngine(), 1, kStart);
  const auto import =
    HoldRequest{ "i", "import", "entry-1", 4, Millis(10000), 0 };
  BOOST_TEST(ImportPrefix(into, import, blocks, kStart).mIsAccepted);
  SubmitStream(into, request, kStart);
  Advance(into, kStart + Seconds(5));
  BOOST_TEST(into.mCounters.mCachedTokens == 8 * kBlockTokens);
  ReleaseHolding(into, "i", into.mNow);
  BOOST_TEST(CountUsed(into.mMemory) == 0);
}

BOOST_AUTO_TEST_CASE(OrdersFollowTheFencingSetting)
{
  for (const auto checks : { true, false }) {
    auto settings = SmallEngine();
    settings.mChecksFencing = checks;
    auto engine = CreateEngine(settings, 1, kStart);
    auto store = WeightStore{ 8, {} };
    const auto newer = OrderRequest{ "o1",         9,         Millis(60000),
                                     "load_model", "drafter", "4",
                                     "",           "" };
    auto older = newer;
    older.mOrder = "o2";
    older.mFencing = 8;
    older.mVersion = "5";
    BOOST_TEST(SubmitOrder(engine, store, newer, kStart).mIsAccepted);
    BOOST_TEST(SubmitOrder(engine, store, older, kStart).mIsAccepted != checks);
    Advance(engine, kStart + Millis(1999));
    BOOST_TEST(engine.mOrders.at("o1").mState == "running");
    Advance(engine, kStart + Millis(4000));
    BOOST_TEST(engine.mOrders.at("o1").mState == "done");
    BOOST_TEST(engine.mModels.size() == 2U);
    if (!checks) {
      BOOST_TEST(engine.mOrders.at("o2").mState == "failed");
    }
  }
}

BOOST_AUTO_TEST_CASE(NoMemoryIsLostUnderRandomWork)
{
  for (const auto seed : { 1U, 2U, 3U, 4U, 5U }) {
    BOOST_TEST_MESSAGE("seed " << seed);
    auto random = std::mt19937_64(seed);
    auto engine = CreateEngine(SmallEngine(), 1, kStart);
    auto now = kStart;
    for (auto i = 0; i < 2000; ++i) {
      const auto id = "a" + std::to_string(random() % 40);
      const auto prompt = static_cast<std::int64_t>(random() % 40000);
      auto request = Stream(id, prompt, 1 + (i % 30));
      request.mPrefixHashes =
        Hashes("p" + std::to_string(random() % 3) + "-", prompt);
      request.mLease = Millis(random() % 3000);
      const auto hold =
        HoldRequest{ "h" + id, "reservation",           "o",
                     1,        Millis(random() % 3000), prompt };
      auto exported = hold;
      exported.mKind = "export";
      switch (random() % 8) {
        case 0:
          CancelStream(engine, id, now);
          break;
        case 1:
          Reserve(engine, hold, now);
          break;
        case 2:
          SubmitPart(engine, { "h" + id, "1", prompt / 2, 1, 1 }, now);
          break;
        case 3:
          ReleaseHolding(engine, "h" + id, now);
          break;
        case 4:
          ExportPrefix(engine, exported, "p1-" + std::to_string(i % 9), now);
          break;
        default:
          SubmitStream(engine, request, now);
      }
      now += Millis(random() % 200);
      Advance(engine, now);
      BOOST_REQUIRE(CountUsed(engine.mMemory) <= engine.mMemory.mTotal);
      BOOST_REQUIRE(engine.mMemory.mPrivate >= 0);
    }
    Advance(engine, now + Seconds(3600));
    BOOST_TEST(engine.mStreams.empty());
    BOOST_TEST(engine.mHoldings.empty());
    BOOST_TEST(CountUsed(engine.mMemory) == 0);
  }
}
