#include "fakes/engine/engineserver.h"
#include "fakes/load/loadrun.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace cuminslip;
using namespace cuminslip::fakes;

namespace {

/// Sends a few short prompts to an engine with a fault.
auto
RunAgainst(const boost::json::object& aFault) -> std::vector<RequestRecord>
{
  const auto loop = wire::CreateEventLoop();
  const auto client = wire::CreateHttpClient(*loop);
  auto store = WeightStore{};
  auto engine = EngineSettings{};
  engine.mName = "engine-1";
  engine.mModels = { { "m", "1", {} } };
  engine.mPrefillTokensPerSecond = 1e7;
  engine.mDecodeTokensPerSecond = 2000;
  auto outcome = CollectOutcome<EngineServerPtr>([&] {
    return StartEngineServer({ loop.get(), client.get(), &store, 1 }, engine);
  });
  BOOST_REQUIRE(outcome.mValue.has_value());
  CommandFault(**outcome.mValue, aFault);

  auto settings = LoadSettings{};
  settings.mTargets = { wire::FormatAddress(EngineAddress(**outcome.mValue)) };
  settings.mIsDirect = true;
  settings.mRequestsPerSecond = 200;
  settings.mLengths.mLongShare = 0;
  settings.mAccounts = { { "a", "k", "m", "1", 1, 0.5, 2, 512 } };
  settings.mKinds = { { "short", 1000000, 4, 8, Millis(5000) } };
  settings.mPhases = { { "one", 0.1, 1 } };
  return RunLoad(*loop, settings, "test").mRecords;
}

auto
Sum(const std::vector<RequestRecord>& aRecords,
    std::int64_t RequestRecord::*aMember) -> std::int64_t
{
  return std::accumulate(
    aRecords.begin(),
    aRecords.end(),
    std::int64_t{ 0 },
    [&](auto aSum, const auto& aRecord) { return aSum + aRecord.*aMember; });
}

} // namespace

BOOST_AUTO_TEST_CASE(RunFindsWhatTheFaultsDid)
{
  struct Row
  {
    const char* mName;
    boost::json::object mFault;
    std::string mOutcome;
    bool mHasDoubled;
    bool mHasForeign;
  };
  const auto rows = std::vector<Row>{
    { "none", {}, "done", false, false },
    { "doubled", { { "duplicate_share", 1.0 } }, "done", true, false },
    { "foreign", { { "foreign_share", 1.0 } }, "done", false, true },
    { "refused", { { "refuse", true } }, "refused", false, false },
    { "huge", { { "huge_header_bytes", 1000000 } }, "failed", false, false },
  };
  for (const auto& row : rows) {
    const auto records = RunAgainst(row.mFault);
    BOOST_TEST_CONTEXT(row.mName)
    {
      BOOST_REQUIRE(!records.empty());
      for (const auto& record : records) {
        BOOST_TEST(record.mOutcome == row.mOutcome);
      }
      BOOST_TEST((Sum(records, &RequestRecord::mDoubled) > 0) ==
                 row.mHasDoubled);
      BOOST_TEST((Sum(records, &RequestRecord::mForeign) > 0) ==
                 row.mHasForeign);
      BOOST_TEST(Sum(records, &RequestRecord::mLost) == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(BrokenStreamsAreSentAgain)
{
  const auto records =
    RunAgainst({ { "drop_at_piece", 1 }, { "drop_count", 3 } });
  for (const auto& record : records) {
    BOOST_TEST(record.mOutcome == "done");
    BOOST_TEST(record.mLost == 0);
  }
  BOOST_TEST(Sum(records, &RequestRecord::mAttempts) ==
             static_cast<std::int64_t>(records.size()) + 3);
}
