#include "base/digest.h"
#include "client/client.h"
#include "platform/platform.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace cuminslip;

namespace {

namespace json = boost::json;

auto
Document() -> json::object
{
  return json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "r1", "host": "a.example", "path_prefix": "/d/",
       "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 300,
       "target_gap_ms": 250, "priority": 1, "max_attempts": 2,
       "backends": [{"service": "drafts", "weight": 90},
                    {"service": "plain", "weight": 10}],
       "public": false, "resumable": true},
      {"name": "r2", "host": "a.example", "path_prefix": "/s/",
       "kind": "non_idempotent", "timeout_ms": 1000, "service": "plain",
       "priority": 2, "max_attempts": 1, "public": true}],
    "services": [
      {"name": "drafts", "health_path": "/healthz", "max_conns": 274,
       "engine": {"slots": 16, "kv_capacity_tokens": 315000, "stride": 51,
                  "step_ms": 0.85, "per_seq_ms": 0.00425,
                  "context_per_k": 0.00285, "read_per_s": 177000.0,
                  "pairs_per_m": 0.184, "chunk": 2048, "hop_ms": 0.05,
                  "report_lag_ms": 200.0}},
      {"name": "plain", "health_path": "/healthz", "max_conns": 110}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "t1", "api_keys": ["secret-a", "secret-b"],
                 "priority": 1},
                {"name": "t2", "api_keys": ["secret-c"]}]})")
    .as_object();
}

auto
WriteText(const std::string& aName, const std::string& aText) -> std::string
{
  const auto folder =
    std::filesystem::path(CUMINSLIP_BINARY_DIR) / "check-test";
  std::filesystem::create_directories(folder);
  auto path = (folder / aName).string();
  std::ofstream(path) << aText;
  return path;
}

auto
WriteDocument(const std::string& aName, const json::object& aDocument)
  -> std::string
{
  return WriteText(aName, json::serialize(aDocument));
}

struct Result
{
  int mCode;
  std::string mOut;
  std::string mErr;
};

auto
Check(std::vector<std::string> aArguments) -> Result
{
  aArguments.insert(aArguments.begin(), "check");
  auto out = std::ostringstream{};
  auto err = std::ostringstream{};
  const auto code =
    RunClientCommand(aArguments, out, err, platform::MakeRoutingFormat());
  return { static_cast<int>(code), out.str(), err.str() };
}

auto
Contains(const std::string& aText, const std::string& aPart) -> bool
{
  return aText.find(aPart) != std::string::npos;
}

/// Returns the keys of the differences that the check prints as JSON.
auto
DifferingKeys(const std::string& aNext, const std::string& aInForce)
  -> std::set<std::string>
{
  const auto result = Check({ aNext, "--against", aInForce, "--json" });
  auto keys = std::set<std::string>{};
  const auto output = json::parse(result.mOut);
  for (const auto& it : output.at("findings").as_array()) {
    if (it.at("severity") == "difference") {
      keys.emplace(it.at("key").as_string());
    }
  }
  return keys;
}

/// Members that are neither names nor lists, and whose change is a difference
/// of this member only.
struct Member
{
  std::string mPointer;
  std::string mKey;
};

auto
ListMembers() -> std::vector<Member>
{
  const auto document = Document();
  const auto places = std::vector<Member>{
    { "/routes/0", "routes[0]" },
    { "/services/0", "services[0]" },
    { "/services/0/engine", "services[0].engine" },
    { "/limits", "limits" },
    { "/tenants/0", "tenants[0]" },
  };
  auto members = std::vector<Member>{};
  for (const auto& place : places) {
    const auto value = json::value(document).at_pointer(place.mPointer);
    for (const auto& it : value.as_object()) {
      if (it.key() != "name" && !it.value().is_structured()) {
        const auto name = std::string(it.key());
        members.push_back(
          { place.mPointer + "/" + name, place.mKey + "." + name });
      }
    }
  }
  return members;
}

auto
ChangeValue(json::value& aValue) -> void
{
  if (aValue.is_bool()) {
    aValue = !aValue.get_bool();
  } else if (aValue.is_string()) {
    aValue = aValue == "streaming" ? "idempotent" : "/changed/";
  } else {
    aValue = aValue.to_number<double>() + 1;
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(CheckTests)

BOOST_AUTO_TEST_CASE(AValidRoutingDocumentHasNoFindings)
{
  const auto path = WriteDocument("valid.json", Document());

  const auto text = Check({ path });
  const auto same = Check({ path, "--against", path, "--json" });

  BOOST_TEST(text.mCode == 0);
  BOOST_TEST(text.mOut == path + ": no findings\n");
  BOOST_TEST(same.mCode == 0);
  BOOST_TEST(same.mOut == "{\"findings\":[]}\n");
}

BOOST_AUTO_TEST_CASE(WarningsAndErrorsHaveTheirExitCodesAndNamesOfTheFile)
{
  auto document = Document();
  document["limits"].at("max_body_bytes") = 0;
  const auto warned = Check({ WriteDocument("warned.json", document) });
  document["routes"].at(1).at("timeout_ms") = 0;
  document["routes"].at(1).at("service") = "absent";
  document["version"] = 0;
  const auto failed = Check({ WriteDocument("failed.json", document) });

  BOOST_TEST(warned.mCode == 1);
  BOOST_TEST(
    Contains(warned.mErr, "warned.json: limits.max_body_bytes: warning: is 0"));
  BOOST_TEST(failed.mCode == 2);
  for (const auto* it : { "failed.json: version: error: is 0; expected 1 or",
                          "failed.json: routes[1].timeout_ms: error: is 0 ms",
                          "failed.json: routes[1].service: error: refers to",
                          "failed.json: limits.max_body_bytes: warning:" }) {
    BOOST_TEST(Contains(failed.mErr, it), failed.mErr);
  }
}

BOOST_AUTO_TEST_CASE(MalformedDocumentsAreReportedWithTheirPlace)
{
  const auto syntax = Check(
    { WriteText("syntax.json", "{\n \"routes\": [],\n \"services\": [}") });
  const auto cut = Check({ WriteText("cut.json", "{\"routes\": [\n") });
  const auto extra =
    Check({ WriteText("extra.json", "{\"routes\":[],\"services\":[]}\n\n ]") });
  const auto types = Check({ WriteText(
    "types.json", R"({"version":1,"routes":[{"kind":3}, 4],"services":[]})") });

  for (const auto& it : { syntax, cut, extra, types }) {
    BOOST_TEST(it.mCode == 2);
  }
  BOOST_TEST(Contains(syntax.mErr, "syntax.json:3:15: error: "), syntax.mErr);
  BOOST_TEST(Contains(cut.mErr, "cut.json:2:1: error: incomplete"), cut.mErr);
  BOOST_TEST(Contains(extra.mErr, "extra.json:3:2: error: extra"), extra.mErr);
  BOOST_TEST(Contains(types.mErr, "routes[0].kind: error: not a string"));
  BOOST_TEST(Contains(types.mErr, "routes[1]: error: not an object"));
}

// Guards against a member that is left out of the comparison, and against a
// name that is not the one in the file.
BOOST_AUTO_TEST_CASE(EachChangedMemberIsADifferenceUnderItsName)
{
  const auto inForce = WriteDocument("in-force.json", Document());
  const auto members = ListMembers();
  BOOST_TEST(members.size() == 28U);
  for (const auto& it : members) {
    auto next = json::value(Document());
    next.at("version") = 8;
    ChangeValue(next.at_pointer(it.mPointer));

    const auto keys =
      DifferingKeys(WriteDocument("next.json", next.as_object()), inForce);

    BOOST_TEST((keys == std::set<std::string>{ it.mKey }), it.mKey);
  }
}

BOOST_AUTO_TEST_CASE(ListsOfServicesAndEnginesAreCompared)
{
  const auto inForce = WriteDocument("in-force.json", Document());
  auto next = Document();
  next["version"] = 8;
  next["routes"].at(0).at("backends").at(1).at("weight") = 11;
  next["routes"].at(1).at("service") = "drafts";
  next["services"].at(0).as_object().erase("engine");
  const auto path = WriteDocument("next.json", next);

  const auto result = Check({ path, "--against", inForce });

  BOOST_TEST(result.mCode == 1);
  const auto prefix = path + ": ";
  BOOST_TEST(result.mErr ==
             prefix +
               "routes[0].backends: difference: changed from drafts 90, "
               "plain 10 to drafts 90, plain 11\n" +
               prefix +
               "routes[1].service: difference: changed from plain 1 "
               "to drafts 1\n" +
               prefix + "services[0].engine: difference: removed\n");
}

// Guards against keys in the output of a check, which ends in logs of
// pipelines.
BOOST_AUTO_TEST_CASE(KeysArePrintedAsDigests)
{
  const auto inForce = WriteDocument("in-force.json", Document());
  auto next = Document();
  next["version"] = 8;
  next["tenants"].at(1).at("api_keys") = { "secret-a", "secret-d" };
  const auto path = WriteDocument("next.json", next);

  const auto text = Check({ path, "--against", inForce });
  const auto machine = Check({ path, "--against", inForce, "--json" });
  const auto broken = Check(
    { WriteText("broken.json",
                R"({"routes":[],"tenants":[{"api_keys":["secret-a",]}]})") });

  BOOST_TEST(text.mCode == 2);
  const auto digest = [](const char* aKey) {
    return Sha256Hex(aKey).substr(0, 8);
  };
  for (const auto& it :
       { "tenants[1].api_keys[0]: error: the key " + digest("secret-a") +
           " already belongs to the client account t1",
         "tenants[1].api_keys: difference: key " + digest("secret-d") +
           " added",
         "tenants[1].api_keys: difference: key " + digest("secret-c") +
           " removed" }) {
    BOOST_TEST(Contains(text.mErr, it), text.mErr);
  }
  for (const auto& it : { text, machine, broken }) {
    BOOST_TEST(!Contains(it.mOut + it.mErr, "secret"));
  }
}

// Guards against settings or templates that are taken for routing documents.
BOOST_AUTO_TEST_CASE(OtherFilesKeepTheirExitCodes)
{
  const auto root = std::string(CUMINSLIP_SOURCE_DIR) + "/examples/";
  BOOST_TEST(Check({ root + "one-instance.yaml" }).mCode == 0);
  BOOST_TEST(Check({ root + "templates/glasovna-soba.yaml" }).mCode == 0);
  const auto wrong = WriteText("wrong.yaml", "account: a\nregion: b\n");
  BOOST_TEST(Check({ wrong }).mCode == 3);
  BOOST_TEST(Check({ WriteText("wrong.json", "{\"account\": 1}") }).mCode == 3);
  BOOST_TEST(Check({ wrong + ".absent" }).mCode == 3);
  BOOST_TEST(Check({ wrong, "--against", wrong }).mCode == 2);
}

BOOST_AUTO_TEST_CASE(AHugeDocumentIsReadAndCheckedInUnderASecond)
{
  auto document = Document();
  auto& routes = document["routes"].as_array();
  while (routes.size() < 1700) {
    auto route = routes[0].as_object();
    const auto n = std::to_string(routes.size());
    route["name"] = "n" + n;
    route["path_prefix"] = "/n" + n + "/";
    routes.push_back(std::move(route));
  }
  const auto inForce = WriteDocument("huge.json", document);
  document["version"] = 8;
  document["routes"].at(1699).at("priority") = 3;
  const auto next = WriteDocument("huge-next.json", document);

  const auto start = std::chrono::steady_clock::now();
  const auto result = Check({ next, "--against", inForce });
  const auto took = std::chrono::steady_clock::now() - start;

  BOOST_TEST(result.mCode == 1);
  BOOST_TEST(result.mErr == next + ": routes[1699].priority: difference: "
                                   "changed from 1 to 3\n");
  BOOST_TEST((took < std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
