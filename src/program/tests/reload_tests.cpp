#include "base/digest.h"
#include "program/internal/reload.h"
#include "wire/testing/testcertificate.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

using namespace cuminslip;
using namespace cuminslip::program;

namespace {

constexpr auto kOk = 200;
constexpr auto kUnauthorized = 401;
constexpr auto kRound = Millis(5);
constexpr auto kLongestTest = Seconds(20);
constexpr auto kMaxBody = std::size_t{ 1000000 };

const auto kFolder =
  std::filesystem::path(CUMINSLIP_BINARY_DIR) / "reload-test";

auto
InstanceSettings() -> Settings
{
  const auto freePort = wire::SocketAddress{ "127.0.0.1", 0 };
  auto settings = Settings{};
  settings.mInstance = { "entry-1" };
  settings.mFailureDomain = { "poa-1" };
  settings.mRegion = { "porto-alegre" };
  settings.mRoles = { Role::Entry, Role::Control };
  settings.mListen = { freePort, freePort, freePort, freePort, freePort };
  settings.mDataFolder = (kFolder / "data").string();
  settings.mKeys.mOperators = { { Sha256Hex("first-key"), "ana" } };
  return settings;
}

/// Writes a settings file with these operator keys and this certificate.
auto
WriteSettings(const std::vector<std::string>& aKeys,
              const wire::testing::TestCertificate& aCertificate) -> std::string
{
  auto path = (kFolder / "settings.yaml").string();
  auto file = std::ofstream(path);
  file << "instance: entry-1\nfailure_domain: poa-1\nregion: porto-alegre\n"
          "roles: [entry, control]\ndata_folder: unused\n"
          "listen: {caller: '127.0.0.1:1', endpoint: '127.0.0.1:2', "
          "platform: '127.0.0.1:3', operator: '127.0.0.1:4'}\n"
          "keys:\n  operators:\n";
  for (const auto& key : aKeys) {
    file << "    - {sha256: " << Sha256Hex(key) << ", name: ana}\n";
  }
  if (!aCertificate.mKeyFile.empty()) {
    file << "tls: {certificate: " << aCertificate.mCertificateFile
         << ", key: " << aCertificate.mKeyFile << "}\n";
  }
  return path;
}

struct ReloadFixture
{
  std::unique_ptr<Instance> mInstance;
  wire::HttpClientPtr mClient;

  ReloadFixture()
  {
    std::filesystem::remove_all(kFolder);
    std::filesystem::create_directories(kFolder);
    auto outcome = CollectOutcome<std::unique_ptr<Instance>>(
      [] { return StartInstance(InstanceSettings()); });
    BOOST_REQUIRE_MESSAGE(outcome.mValue.has_value(),
                          FormatFindings(outcome.mFindings));
    mInstance = std::move(*outcome.mValue);
    mClient = wire::CreateHttpClient(*mInstance->mLoop);
  }

  /// Status of an answer to the key's bearer; 0 without one.
  auto Ask(const std::string& aKey) -> int
  {
    auto call =
      wire::HttpCall{ wire::ListenAddress(*mInstance->mOperatorServer),
                      { "GET",
                        "/operator/v1/status",
                        "",
                        { { "authorization", "Bearer " + aKey } },
                        "" } };
    auto status = std::optional<int>{};
    wire::FetchResponse(
      *mClient,
      call,
      kMaxBody,
      [&](wire::CallEnd aEnd, const wire::HttpResponse& aResponse) {
        status = aEnd == wire::CallEnd::Complete ? aResponse.mStatus : 0;
      });
    const auto limit = MonotonicNow() + kLongestTest;
    while (!status && MonotonicNow() < limit) {
      wire::RunLoopOnce(*mInstance->mLoop, kRound);
    }
    return status.value_or(-1);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReloadTests, ReloadFixture)

BOOST_AUTO_TEST_CASE(ChangesAKeyWithoutARefusedRequest)
{
  BOOST_TEST(Ask("first-key") == kOk);
  BOOST_TEST(Ask("second-key") == kUnauthorized);

  ReloadSettings(*mInstance, WriteSettings({ "first-key", "second-key" }, {}));
  BOOST_TEST(Ask("first-key") == kOk);
  BOOST_TEST(Ask("second-key") == kOk);

  ReloadSettings(*mInstance, WriteSettings({ "second-key" }, {}));
  BOOST_TEST(Ask("first-key") == kUnauthorized);
  BOOST_TEST(Ask("second-key") == kOk);
}

BOOST_AUTO_TEST_CASE(KeepsTheFormerKeysWhenTheFileIsWrong)
{
  const auto path = WriteSettings({ "second-key" }, {});
  std::ofstream(path, std::ios::app) << "unknown: 1\n";
  ReloadSettings(*mInstance, path);
  ReloadSettings(*mInstance, "/nowhere.yaml");
  ReloadSettings(*mInstance,
                 WriteSettings({ "second-key" }, { "/nowhere.pem", "/k" }));

  BOOST_TEST(Ask("first-key") == kOk);
  BOOST_TEST(Ask("second-key") == kUnauthorized);
}

BOOST_AUTO_TEST_CASE(ChangesTheCertificate)
{
  for (const auto* name : { "first", "second" }) {
    const auto certificate =
      wire::testing::MakeTestCertificate((kFolder / name).string());
    const auto trust = CollectOutcome<wire::TlsContextPtr>(
      [&] { return wire::LoadClientTls(certificate.mCertificateFile); });

    ReloadSettings(*mInstance, WriteSettings({ "first-key" }, certificate));

    wire::SetTls(*mClient, trust.mValue.value());
    BOOST_TEST(Ask("first-key") == kOk);
    wire::SetTls(*mClient, nullptr);
    BOOST_TEST(Ask("first-key") == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
