#include "client/client.h"
#include "client/internal/formatjson.h"
#include "client/tests/fakeoperator.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <fstream>
#include <sstream>

using namespace cuminslip;
using client::testing::FakeOperator;
using wire::HttpRequest;
using wire::HttpResponse;
using wire::JsonResponse;

namespace {

namespace json = boost::json;

const auto kTemplateFile =
  std::string(CUMINSLIP_SOURCE_DIR) + "/examples/templates/glasovna-soba.yaml";
const auto kSettingsFile =
  std::string(CUMINSLIP_SOURCE_DIR) + "/examples/one-instance.yaml";
/// Nothing listens on this port.
constexpr auto kNowhere = "127.0.0.1:1";

auto
ReadText(const std::string& aPath) -> std::string
{
  auto text = std::ostringstream{};
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

auto
WriteText(const std::string& aName, const std::string& aText) -> std::string
{
  auto path = std::string(CUMINSLIP_BINARY_DIR) + "/" + aName;
  std::ofstream(path) << aText;
  return path;
}

struct Result
{
  ExitCode mCode;
  std::string mOut;
  std::string mErr;
};

auto
Run(std::vector<std::string> aArguments, const std::string& aInstances)
  -> Result
{
  const auto key = WriteText("client-test.key", "operator-key\n");
  const auto access =
    std::vector<std::string>{ "--instance", aInstances,         "--key-file",
                              key,          "--retry-delay-ms", "1" };
  aArguments.insert(aArguments.end(), access.begin(), access.end());
  auto out = std::ostringstream{};
  auto err = std::ostringstream{};
  const auto code = RunClientCommand(aArguments, out, err);
  return { code, out.str(), err.str() };
}

auto
Contains(const std::string& aText, const std::string& aPart) -> bool
{
  return aText.find(aPart) != std::string::npos;
}

auto
IsCode(const Result& aResult, ExitCode aCode) -> bool
{
  return aResult.mCode == aCode;
}

auto
Current(std::uint64_t aRevision, const std::string& aRevisionKey) -> std::string
{
  return json::serialize(
    json::object{ { "account", "glasovna-soba" },
                  { aRevisionKey, aRevision },
                  { "document", ReadText(kTemplateFile) } });
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClientTests)

BOOST_AUTO_TEST_CASE(PublishesWithRevisionKeyAndRequestId)
{
  auto instance = FakeOperator([](const HttpRequest&) {
    return JsonResponse(200, R"({"account":"glasovna-soba","revision":7})");
  });

  const auto result =
    Run({ "template", "publish", kTemplateFile, "--expected-revision", "6" },
        instance.Address());

  BOOST_TEST(IsCode(result, ExitCode::Ok), result.mErr);
  BOOST_TEST(result.mOut == "glasovna-soba: revision 7 accepted\n");
  const auto request = instance.Seen().at(0);
  BOOST_TEST(request.mMethod == "PUT");
  BOOST_TEST(request.mPath == "/operator/v1/templates/glasovna-soba");
  BOOST_TEST(wire::BearerKey(request.mHeaders) == "operator-key");
  const auto body = json::parse(request.mBody.Bytes());
  BOOST_TEST(body.at("expected_revision").as_int64() == 6);
  BOOST_TEST(body.at("request_id").as_string().size() == 32);
  BOOST_TEST(body.at("document").as_string().c_str() ==
             ReadText(kTemplateFile));
}

BOOST_AUTO_TEST_CASE(ResendsALostPublishToAnotherInstanceWithTheSameId)
{
  auto first = FakeOperator([](const HttpRequest&) {
    return HttpResponse{ 0, {}, "" };
  });
  auto second = FakeOperator([](const HttpRequest&) {
    return JsonResponse(200, R"({"account":"glasovna-soba","revision":1})");
  });

  const auto result =
    Run({ "template", "publish", kTemplateFile },
        std::string(kNowhere) + "," + first.Address() + "," + second.Address());

  BOOST_TEST(IsCode(result, ExitCode::Ok), result.mErr);
  BOOST_REQUIRE(first.Seen().size() == 1);
  BOOST_REQUIRE(second.Seen().size() == 1);
  BOOST_TEST(first.Seen()[0].mBody == second.Seen()[0].mBody);
}

BOOST_AUTO_TEST_CASE(TellsThatALostPublishIsUnknown)
{
  auto instance = FakeOperator([](const HttpRequest&) {
    return HttpResponse{ 0, {}, "" };
  });

  const auto result =
    Run({ "template", "publish", kTemplateFile, "--request-id", "r1" },
        instance.Address());

  BOOST_TEST(IsCode(result, ExitCode::Unknown));
  BOOST_TEST(Contains(result.mErr, "resend with --request-id r1"));
  BOOST_TEST(instance.Seen().size() > 1);
}

BOOST_AUTO_TEST_CASE(TellsThatNothingWasDone)
{
  auto noQuorum = FakeOperator([](const HttpRequest&) {
    return JsonResponse(503, R"({"error":{"message":"no quorum","ran":"no"}})");
  });

  const auto nowhere = Run({ "template", "list" }, kNowhere);
  const auto refused =
    Run({ "template", "publish", kTemplateFile }, noQuorum.Address());

  BOOST_TEST(IsCode(nowhere, ExitCode::Unavailable));
  BOOST_TEST(IsCode(refused, ExitCode::Unavailable));
  BOOST_TEST(Contains(refused.mErr, "no quorum"));
}

BOOST_AUTO_TEST_CASE(ShowsWhatAConflictIsAbout)
{
  auto instance = FakeOperator([](const HttpRequest&) {
    return JsonResponse(409, Current(9, "current_revision"));
  });
  auto text = ReadText(kTemplateFile);
  text.replace(text.find("deadline: 60 s"), 14, "deadline: 70 s");
  const auto file = WriteText("conflict.yaml", text);

  const auto result =
    Run({ "template", "publish", file, "-e", "8" }, instance.Address());

  BOOST_TEST(IsCode(result, ExitCode::Conflict));
  BOOST_TEST(Contains(result.mErr, "expected revision 8, but revision 9"));
  BOOST_TEST(
    Contains(result.mOut, "work_kinds.session-notes.deadline: 1 min -> 70 s"));
}

BOOST_AUTO_TEST_CASE(DryRunSendsNothingButAQuestion)
{
  auto instance = FakeOperator([](const HttpRequest&) {
    return JsonResponse(200, Current(4, "revision"));
  });

  const auto result = Run({ "template", "publish", kTemplateFile, "--dry-run" },
                          instance.Address());
  const auto stale =
    Run({ "template", "publish", kTemplateFile, "--dry-run", "-e", "3" },
        instance.Address());

  BOOST_TEST(IsCode(result, ExitCode::Ok));
  BOOST_TEST(Contains(result.mOut, "revision 4"));
  BOOST_TEST(Contains(result.mOut, "no changes"));
  BOOST_TEST(IsCode(stale, ExitCode::Conflict));
  for (const auto& request : instance.Seen()) {
    BOOST_TEST(request.mMethod == "GET");
  }
}

BOOST_AUTO_TEST_CASE(PrintsADocumentThatCanBePublishedAgain)
{
  auto instance = FakeOperator([](const HttpRequest&) {
    return JsonResponse(200, Current(4, "revision"));
  });

  const auto result =
    Run({ "template", "get", "glasovna-soba" }, instance.Address());
  const auto copy = WriteText("copy.yaml", result.mOut);

  BOOST_TEST(Contains(result.mOut, "# revision 4 of glasovna-soba\n"));
  BOOST_TEST(IsCode(Run({ "check", copy }, kNowhere), ExitCode::Ok));
}

BOOST_AUTO_TEST_CASE(MapsStatusesToExitCodes)
{
  auto status = std::atomic<int>{ 0 };
  auto instance = FakeOperator([&](const HttpRequest&) {
    return JsonResponse(
      status,
      R"({"findings":[{"source":"t","line":3,"column":5,"key":"k",)"
      R"("problem":"p","expected":"e"}]})");
  });
  const auto cases = std::vector<std::pair<int, ExitCode>>{
    { 200, ExitCode::Ok },       { 401, ExitCode::Refused },
    { 403, ExitCode::Refused },  { 404, ExitCode::NotFound },
    { 409, ExitCode::Conflict }, { 422, ExitCode::Invalid },
    { 500, ExitCode::Failed },
  };
  for (const auto& [code, expected] : cases) {
    status = code;
    const auto result = Run({ "endpoint", "drain", "e1" }, instance.Address());
    BOOST_TEST(IsCode(result, expected), code);
    BOOST_TEST((code == 200 || Contains(result.mErr, "t:3:5: k: p")));
  }
  BOOST_TEST(instance.Seen().at(0).mPath == "/operator/v1/endpoints/e1/drain");
}

BOOST_AUTO_TEST_CASE(ChecksFilesWithoutAnInstance)
{
  const auto wrong = WriteText("wrong.yaml", "account: a\nregion: b\n");

  const auto settings = Run({ "check", kSettingsFile }, kNowhere);
  const auto file = Run({ "check", kTemplateFile }, kNowhere);
  const auto findings = Run({ "check", wrong }, kNowhere);
  const auto machine = Run({ "check", wrong, "--json" }, kNowhere);

  BOOST_TEST(IsCode(settings, ExitCode::Ok), settings.mErr);
  BOOST_TEST(IsCode(file, ExitCode::Ok), file.mErr);
  BOOST_TEST(IsCode(findings, ExitCode::Invalid));
  BOOST_TEST(Contains(findings.mErr, "wrong.yaml:2:1: region: unknown key"));
  BOOST_TEST(json::parse(machine.mOut).at("findings").as_array().size() > 1);
}

BOOST_AUTO_TEST_CASE(HashesAKey)
{
  const auto key = WriteText("demo.key", "demo-operator-key\n");

  const auto result = Run({ "key-hash", key }, kNowhere);

  BOOST_TEST(Contains(ReadText(kSettingsFile),
                      result.mOut.substr(0, result.mOut.size() - 1)));
}

BOOST_AUTO_TEST_CASE(RefusesWrongCommandLines)
{
  for (const auto& words : std::vector<std::vector<std::string>>{
         { "template" },
         { "template", "get" },
         { "template", "get", "a", "b" },
         { "status", "--nonsense" },
         { "status", "-i", "host:1" },
         { "status", "-e", "x" },
         { "status", "--trust", "/nowhere.pem" },
         { "nonsense" } }) {
    BOOST_TEST(IsCode(Run(words, kNowhere), ExitCode::Usage));
  }
  BOOST_TEST(IsClientCommand("template"));
  BOOST_TEST(!IsClientCommand("serve"));
}

BOOST_AUTO_TEST_CASE(LaysOutTables)
{
  const auto value = json::parse(
    R"({"leader":"i1","level":0.25,"none":[],"rows":[{"a":"x","b":1},{"a":"long","c":[2,3]}]})");

  BOOST_TEST(client::FormatForPeople(value) == "leader: i1\n"
                                               "level: 0.25\n"
                                               "none: none\n"
                                               "\n"
                                               "rows:\n"
                                               "a     b  c\n"
                                               "x     1  -\n"
                                               "long  -  2,3\n");
}

BOOST_AUTO_TEST_CASE(ListsEndpointsWithTheirLoad)
{
  auto instance = FakeOperator([](const HttpRequest&) {
    return JsonResponse(
      200,
      R"({"endpoints":[{"endpoint":"e1","state":"active","load":)"
      R"({"running_streams":3},"models":[{"model":"m","version":"2"}]}]})");
  });

  const auto result = Run({ "endpoint", "list" }, instance.Address());

  BOOST_TEST(Contains(result.mOut, "running_streams"));
  BOOST_TEST(Contains(result.mOut, "active"));
  BOOST_TEST(Contains(result.mOut, "m/2"));
  BOOST_TEST(client::FormatForPeople(
               json::parse(R"({"endpoints":{"active":2,"leaving":0}})")) ==
             "endpoints: active=2 leaving=0\n");
}

BOOST_AUTO_TEST_SUITE_END()
