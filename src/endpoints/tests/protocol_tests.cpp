#include "endpoints/protocol.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace cuminslip;
using namespace cuminslip::endpoints;

namespace {

auto
Whole() -> Announcement
{
  auto it = Announcement{};
  it.mEndpoint = { "engine-1" };
  it.mIncarnation = 12;
  it.mSequence = 77;
  it.mAddress = "127.0.0.1:9001";
  it.mFailureDomain = { "poa-1" };
  it.mRegion = { "porto-alegre" };
  it.mInterval = Millis(500);
  it.mRole = EngineRole::Prefill;
  it.mChecksFencing = true;
  it.mModels = { { { "drafter" }, { "3" }, { "tax" } } };
  it.mLoad = { 3, 1, 8, 100, 90000, 120000, 50000, 40 };
  it.mLoadAge = Millis(200);
  it.mCacheEvents = { 9, { { 8, CacheEventKind::Evicted, "8f3a", 512 } } };
  it.mHoldings = {
    { { "h1" }, HoldingKind::Export, { "entry-1" }, 4, 2000, Millis(9000) }
  };
  return it;
}

auto
FindingsOf(const std::string& aBody) -> Findings
{
  return CollectOutcome<Announcement>([&] { return DecodeAnnouncement(aBody); })
    .mFindings;
}

/// The whole announcement with one member replaced or, for "", removed.
auto
BodyWith(const std::string& aPointer, const std::string& aValue) -> std::string
{
  auto value = boost::json::parse(EncodeAnnouncement(Whole()));
  const auto slash = aPointer.rfind('/');
  auto& parent = value.at_pointer(aPointer.substr(0, slash)).as_object();
  const auto key = aPointer.substr(slash + 1);
  if (aValue.empty()) {
    parent.erase(key);
  } else {
    parent[key] = boost::json::parse(aValue);
  }
  return boost::json::serialize(value);
}

struct WrongMember
{
  std::string mPointer;
  std::string mValue;
  std::string mKey;
};

const auto kWrongMembers = std::vector<WrongMember>{
  { "/endpoint", "", "endpoint" },
  { "/endpoint", "7", "endpoint" },
  { "/endpoint", R"("")", "endpoint" },
  { "/endpoint", R"("a/b")", "endpoint" },
  { "/endpoint", "\"" + std::string(129, 'a') + "\"", "endpoint" },
  { "/incarnation", "", "incarnation" },
  { "/incarnation", "-1", "incarnation" },
  { "/incarnation", "1.5", "incarnation" },
  { "/sequence", R"("77")", "sequence" },
  { "/kind", R"("database")", "kind" },
  { "/kind", R"("plain_service")", "service" },
  { "/service", R"("billing")", "service" },
  { "/address", R"("engine-1:9001")", "address" },
  { "/address", R"("127.0.0.1")", "address" },
  { "/failure_domain", "", "failure_domain" },
  { "/region", "null", "region" },
  { "/state", R"("dead")", "state" },
  { "/interval_ms", "0", "interval_ms" },
  { "/interval_ms", "86400000", "interval_ms" },
  { "/role", R"("boss")", "role" },
  { "/checks_fencing", R"("yes")", "checks_fencing" },
  { "/models", "{}", "models" },
  { "/models", "[7]", "models[0]" },
  { "/models", R"([{"model": "a"}])", "models[0].version" },
  { "/models",
    R"([{"model": "a", "version": "1", "adapters": [1]}])",
    "models[0].adapters[0]" },
  { "/load", "[]", "load" },
  { "/load/running_streams", "-3", "load.running_streams" },
  { "/load/batch_slots", "0", "load.batch_slots" },
  { "/load/free_kv_tokens", "120001", "load.free_kv_tokens" },
  { "/load/free_kv_tokens", "1e300", "load.free_kv_tokens" },
  { "/load/decode_tokens_per_second", "-1", "load.decode_tokens_per_second" },
  { "/cache_events/next_sequence", "", "cache_events.next_sequence" },
  { "/cache_events/next_sequence", "8", "cache_events.events[0].sequence" },
  { "/cache_events/events",
    R"([{"sequence": 1, "kind": "lost", "prefix": "a"}])",
    "cache_events.events[0].kind" },
  { "/holdings", R"([{"id": "h"}])", "holdings[0].kind" },
  { "/holdings",
    R"([{"id": "h", "kind": "pin", "owner": "", "owner_incarnation": 1}])",
    "holdings[0].owner" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(ProtocolTests)

BOOST_AUTO_TEST_CASE(AnnouncementSurvivesTheRoundTrip)
{
  const auto outcome = CollectOutcome<Announcement>(
    [] { return DecodeAnnouncement(EncodeAnnouncement(Whole())); });

  BOOST_TEST(FormatFindings(outcome.mFindings) == "");
  BOOST_TEST_REQUIRE(outcome.mValue.has_value());
  BOOST_TEST((*outcome.mValue == Whole()));
}

BOOST_AUTO_TEST_CASE(FencingThatIsNotStatedStaysUnknown)
{
  auto announcement = Whole();
  announcement.mChecksFencing.reset();

  const auto outcome = CollectOutcome<Announcement>(
    [&] { return DecodeAnnouncement(EncodeAnnouncement(announcement)); });

  BOOST_TEST_REQUIRE(outcome.mValue.has_value());
  BOOST_TEST(!outcome.mValue->mChecksFencing.has_value());
}

BOOST_AUTO_TEST_CASE(ReportsEachInvalidMember)
{
  for (const auto& row : kWrongMembers) {
    BOOST_TEST_CONTEXT(row.mPointer << " = " << row.mValue)
    {
      const auto findings = FindingsOf(BodyWith(row.mPointer, row.mValue));
      BOOST_TEST_REQUIRE(!IsEmpty(findings));
      BOOST_TEST(findings.mItems.front().mKey == row.mKey);
    }
  }
}

BOOST_AUTO_TEST_CASE(ReportsAllFindingsUpToTheLimit)
{
  BOOST_TEST(FindingsOf("{}").mItems.size() == 9U);

  auto announcement = Whole();
  announcement.mHoldings.assign(500, HoldingReport{});
  BOOST_TEST(FindingsOf(EncodeAnnouncement(announcement)).mItems.size() ==
             kMaxFindings);
}

BOOST_AUTO_TEST_CASE(BodiesThatAreNotJsonObjectsAreRefused)
{
  const auto deep = std::string(64, '[') + std::string(64, ']');
  const auto bodies = std::vector<std::string>{
    "",
    "[]",
    "null",
    "{",
    "{} x",
    "{\"endpoint\": \"\xff\"}",
    "{\"a\": " + deep + "}",
    std::string(kMaxAnnouncementBytes + 1, ' '),
  };
  for (const auto& body : bodies) {
    BOOST_TEST_CONTEXT(body.substr(0, 40))
    {
      BOOST_TEST(FindingsOf(body).mItems.size() == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(SyntaxErrorsReportTheirPosition)
{
  const auto finding = FindingsOf("{\n \"a\": x}").mItems.front();

  BOOST_TEST(finding.mPlace.mLine == 2);
  BOOST_TEST(finding.mPlace.mColumn >= 7);
}

BOOST_AUTO_TEST_CASE(RequestsHaveTheMembersOfTheInterfacePage)
{
  const auto owner = Owner{ { "entry-1" }, 4 };
  auto stream = StreamRequest{};
  stream.mAttempt = { "a-1" };
  stream.mOwner = owner;
  stream.mKvParts = { { "127.0.0.1:1", { "h" }, 5 } };
  const auto rows = std::vector<std::pair<std::string, std::string>>{
    { EncodeStreamRequest(stream),
      "attempt model version adapter prompt max_tokens priority allowance_ms "
      "lease_ms prefix_hashes skip_pieces kv_parts owner owner_incarnation" },
    { EncodeResumeRequest({ { "a-2" }, 3, owner, Millis(5) }),
      "new_attempt from_piece lease_ms owner owner_incarnation" },
    { EncodeReservationRequest({ { "r" }, owner, 7, Millis(5) }),
      "id tokens lease_ms owner owner_incarnation" },
    { EncodePartRequest({}),
      "reservation part model version prompt position priority imports" },
    { EncodeExportRequest({}),
      "holding prefix lease_ms owner owner_incarnation" },
    { EncodeImportRequest({}),
      "id address holding lease_ms owner owner_incarnation" },
    { EncodeRenewRequest({ owner, Millis(5), { { "h" } } }),
      "lease_ms ids owner owner_incarnation" },
    { EncodeOrder({}),
      "order fencing expires_in_ms action model version adapter role" },
  };
  for (const auto& [body, members] : rows) {
    auto names = std::string{};
    const auto value = boost::json::parse(body);
    for (const auto& member : value.as_object()) {
      names += (names.empty() ? "" : " ") + std::string(member.key());
    }
    BOOST_TEST(names == members);
  }
}

BOOST_AUTO_TEST_CASE(RefusalRanUnlessTheEndpointDeniesIt)
{
  struct Row
  {
    std::string mBody;
    bool mRan;
    std::string mReason;
  };
  const auto rows = std::vector<Row>{
    { R"({"refused": true, "ran": "no", "reason": "no_memory"})",
      false,
      "no_memory" },
    { R"({"refused": true, "ran": "unknown"})", true, "" },
    { R"({"ran": "no"})", true, "" },
    { R"({"refused": true, "reason": "x"})", true, "x" },
    { "internal error", true, "answer_not_understood" },
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.mBody)
    {
      const auto refusal = DecodeRefusal(row.mBody);
      BOOST_TEST(refusal.mRan == row.mRan);
      BOOST_TEST(refusal.mReason == row.mReason);
    }
  }
  const auto old = DecodeRefusal(
    R"({"refused": true, "reason": "old_fencing", "highest": 9})");
  BOOST_TEST((old.mHighestFencing == std::uint64_t{ 9 }));
}

BOOST_AUTO_TEST_CASE(ReleaseCountsOnlyWhenConfirmed)
{
  BOOST_TEST(IsReleaseConfirmed(R"({"released": true})"));
  BOOST_TEST(!IsReleaseConfirmed(R"({"released": false})"));
  BOOST_TEST(!IsReleaseConfirmed(R"({"released": 1})"));
  BOOST_TEST(!IsReleaseConfirmed("{}"));
  BOOST_TEST(!IsReleaseConfirmed(""));
}

BOOST_AUTO_TEST_SUITE_END()
