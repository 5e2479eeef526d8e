#include "wire/testing/testcertificate.h"
#include "wire/tests/httpfixture.h"

#include <fstream>

using namespace cuminslip;
using namespace cuminslip::wire;
using namespace cuminslip::wire::testing;

namespace {

auto
FilePrefix(const std::string& aName) -> std::string
{
  return std::string(CUMINSLIP_BINARY_DIR) + "/tls-test-" + aName;
}

auto
ServerTls(const TestCertificate& aCertificate) -> TlsContextPtr
{
  return CollectOutcome<TlsContextPtr>([&] {
           return LoadServerTls(aCertificate.mCertificateFile,
                                aCertificate.mKeyFile);
         })
    .mValue.value();
}

auto
ClientTls(const std::string& aTrustFile) -> TlsContextPtr
{
  return CollectOutcome<TlsContextPtr>(
           [&] { return LoadClientTls(aTrustFile); })
    .mValue.value();
}

/// A file with the certificates of both.
auto
JoinTrust(const TestCertificate& aFirst, const TestCertificate& aSecond)
  -> std::string
{
  auto path = FilePrefix("both.pem");
  auto file = std::ofstream(path);
  file << std::ifstream(aFirst.mCertificateFile).rdbuf()
       << std::ifstream(aSecond.mCertificateFile).rdbuf();
  return path;
}

auto
EchoHandler(const HttpRequest& aRequest, const ResponderPtr& aResponder) -> void
{
  SendResponse(aResponder, { 200, {}, aRequest.mBody });
}

struct TlsFixture : Fixture
{
  TestCertificate mFirst = MakeTestCertificate(FilePrefix("first"));
  TestCertificate mSecond = MakeTestCertificate(FilePrefix("second"));
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TlsTests, TlsFixture)

BOOST_AUTO_TEST_CASE(CarriesALargeBodyBothWays)
{
  Serve(EchoHandler);
  SetTls(*mServer, ServerTls(mFirst));
  SetTls(*mClient, ClientTls(mFirst.mCertificateFile));
  const auto body = std::string(kMaxBody - 1, 'b');

  const auto answer = Fetch(*this, Call("POST", "/", body));

  BOOST_TEST((answer.mEnd == CallEnd::Complete));
  BOOST_TEST((answer.mResponse.mBody == body));
}

BOOST_AUTO_TEST_CASE(RefusesWhoIsNotTrusted)
{
  auto calls = 0;
  Serve([&](const HttpRequest& aRequest, const ResponderPtr& aResponder) {
    ++calls;
    EchoHandler(aRequest, aResponder);
  });
  SetTls(*mServer, ServerTls(mFirst));

  SetTls(*mClient, ClientTls(mSecond.mCertificateFile));
  BOOST_TEST(
    (Fetch(*this, Call("GET", "/", "")).mEnd == CallEnd::NotConnected));
  SetTls(*mClient, nullptr);
  BOOST_TEST((Fetch(*this, Call("GET", "/", "")).mEnd != CallEnd::Complete));
  SetTls(*mServer, nullptr);
  SetTls(*mClient, ClientTls(mFirst.mCertificateFile));
  BOOST_TEST(
    (Fetch(*this, Call("GET", "/", "")).mEnd == CallEnd::NotConnected));

  BOOST_TEST(calls == 0);
}

BOOST_AUTO_TEST_CASE(RotatesTheCertificateWithoutALostRequest)
{
  auto stream = ResponderPtr{};
  Serve([&](const HttpRequest& aRequest, const ResponderPtr& aResponder) {
    if (aRequest.mPath != "/stream") {
      EchoHandler(aRequest, aResponder);
      return;
    }
    stream = aResponder;
    StartStream(aResponder, 200, {});
    SendPiece(aResponder, "before ");
  });
  SetTls(*mServer, ServerTls(mFirst));
  SetTls(*mClient, ClientTls(JoinTrust(mFirst, mSecond)));
  auto text = std::string{};
  auto end = std::optional<CallEnd>{};
  StartCall(*mClient,
            Call("GET", "/stream", ""),
            { nullptr,
              [&](std::string_view aPiece) { text += aPiece; },
              [&](CallEnd aEnd) { end = aEnd; } });
  RunUntil([&] { return text == "before "; });

  constexpr auto kCalls = 20;
  for (auto i = 0; i < kCalls; ++i) {
    if (i == kCalls / 2) {
      SetTls(*mServer, ServerTls(mSecond));
    }
    const auto answer = Fetch(*this, Call("POST", "/", std::to_string(i)));
    BOOST_TEST((answer.mEnd == CallEnd::Complete));
    BOOST_TEST(answer.mResponse.mBody == std::to_string(i));
  }
  SendPiece(stream, "after");
  FinishStream(stream);
  RunUntil([&] { return end.has_value(); });

  BOOST_TEST((end == CallEnd::Complete));
  BOOST_TEST(text == "before after");
  SetTls(*mClient, ClientTls(mFirst.mCertificateFile));
  BOOST_TEST(
    (Fetch(*this, Call("GET", "/", "")).mEnd == CallEnd::NotConnected));
}

BOOST_AUTO_TEST_CASE(NoticesACallerWhoLeavesBeforeTheResponse)
{
  auto responder = ResponderPtr{};
  Serve([&](const HttpRequest&, const ResponderPtr& aResponder) {
    responder = aResponder;
  });
  SetTls(*mServer, ServerTls(mFirst));
  SetTls(*mClient, ClientTls(mFirst.mCertificateFile));
  const auto id = StartCall(*mClient, Call("GET", "/", ""), {});
  RunUntil([&] { return responder != nullptr; });
  BOOST_TEST(!IsClosed(responder));

  CancelCall(*mClient, id);

  RunUntil([&] { return IsClosed(responder); });
}

BOOST_AUTO_TEST_CASE(ReportsFilesThatDoNotFit)
{
  struct FileCase
  {
    std::string mCertificate;
    std::string mKey;
    std::string mPlace;
  };
  for (const auto& it : std::vector<FileCase>{
         { "/nowhere.pem", mFirst.mKeyFile, "/nowhere.pem" },
         { mFirst.mKeyFile, mFirst.mKeyFile, mFirst.mKeyFile },
         { mFirst.mCertificateFile, "/nowhere.key", "/nowhere.key" },
         { mFirst.mCertificateFile, mSecond.mKeyFile, mSecond.mKeyFile } }) {
    const auto outcome = CollectOutcome<TlsContextPtr>(
      [&] { return LoadServerTls(it.mCertificate, it.mKey); });
    BOOST_REQUIRE(outcome.mFindings.mItems.size() == 1);
    BOOST_TEST(outcome.mFindings.mItems[0].mPlace.mSource == it.mPlace);
  }
  BOOST_TEST(!CollectOutcome<TlsContextPtr>([] {
                return LoadClientTls("/nowhere.pem");
              }).mValue.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
