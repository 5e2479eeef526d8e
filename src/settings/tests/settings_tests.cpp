#include "settings/settings.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace cuminslip;

namespace {

const auto kExamples = std::string(CUMINSLIP_SOURCE_DIR) + "/examples/";

auto
ReadExample(const std::string& aName) -> std::string
{
  auto file = std::ifstream(kExamples + aName);
  auto text = std::ostringstream{};
  text << file.rdbuf();
  return text.str();
}

auto
Replace(std::string aText, const std::string& aOld, const std::string& aNew)
  -> std::string
{
  const auto i = aText.find(aOld);
  BOOST_REQUIRE_MESSAGE(i != std::string::npos, aOld);
  return aText.replace(i, aOld.size(), aNew);
}

auto
FindingsOf(const std::string& aText) -> std::string
{
  return FormatFindings(CollectOutcome<Settings>([&] {
                          return ParseSettings(aText, "s.yaml");
                        }).mFindings);
}

struct WrongCase
{
  const char* mOld;
  const char* mNew;
  const char* mFinding;
};

constexpr auto kWrongCases = std::array{
  WrongCase{ "instance: entry-1", "instance:", "instance: missing" },
  WrongCase{ "region:", "regoin:", "s.yaml:6:1: regoin: unknown key" },
  WrongCase{ "region: porto-alegre", "", "region: missing" },
  WrongCase{ "region: porto-alegre",
             "instance: b",
             "s.yaml:6:1: instance: stands twice" },
  WrongCase{ "body: 8 MiB",
             "body: 8 MB",
             "s.yaml:19:9: limits.body: is \"8 MB\"; expected a size" },
  WrongCase{ "body: 8 MiB", "body: 1 GiB", "limits.waiting_bytes: less than" },
  WrongCase{ "body: 8 MiB",
             "body: 8 MiB\n  memory: 39 MiB",
             "s.yaml:20:11: limits.memory: too little for limits.body" },
  WrongCase{ "body: 8 MiB",
             "body: 8 MiB\n  memory: 160",
             "limits.memory: is \"160\"" },
  WrongCase{ "10 s", "10", "limits.request_timeout: is \"10\"" },
  WrongCase{ "10 s", "0 s", "limits.request_timeout: is \"0 s\"" },
  WrongCase{ "4096", "many", "limits.connections: is \"many\"" },
  WrongCase{ "4096", "0", "limits.connections: is \"0\"" },
  WrongCase{ "127.0.0.1:8100", "localhost:8100", "listen.caller: is" },
  WrongCase{ "127.0.0.1:8101", "127.0.0.1:8100", "has the address of" },
  WrongCase{ "  caller: 127.0.0.1:8100", "", "listen.caller: missing" },
  WrongCase{ "  platform: 127.0.0.1:8103", "", "listen.platform: missing" },
  WrongCase{ "[entry, control]", "[]", "roles: none" },
  WrongCase{ "[entry, control]", "[entry, boss]", "unknown role \"boss\"" },
  WrongCase{ "[entry, control]", "entry", "roles: not a list" },
  WrongCase{ "[entry, control]", "[entry]", "control_instances: none" },
  WrongCase{ "data_folder: build/demo/data", "", "data_folder: missing" },
  WrongCase{ "placement: best",
             "placement: luck",
             "is \"luck\"; expected one" },
  WrongCase{ "classes: true", "classes: yes", "expected true or false" },
  WrongCase{ "level: info", "level: loud", "log.level: is \"loud\"" },
  WrongCase{ "sha256: ", "sha256: x", "keys.callers[0].sha256: not a hash" },
  WrongCase{ "fencing:",
             "tls: {key: k}\nfencing:",
             "tls.certificate: missing" },
  WrongCase{ "account: desconto-certo", "", "callers[0].account: missing" },
  WrongCase{
    "[entry, control]",
    "[entry, control]\ndomain_instances: [{id: b, address: '127.0.0.1:1'}]",
    "keys.peer_file: missing" },
  WrongCase{ "[entry, control]",
             "[entry, control]\ndomain_instances: [{id: entry-1, address: "
             "'127.0.0.1:1'}]",
             "lists this instance" },
  WrongCase{
    "[entry, control]",
    "[entry, control]\ncontrol_instances: [{id: b, address: '127.0.0.1:1'}]",
    "does not list this instance" },
  WrongCase{ "[entry, control]",
             "[entry, control]\ncontrol_instances: [{id: entry-1, address: "
             "'127.0.0.1:1'}]",
             "another address than listen.peer" },
  WrongCase{ "listen: ", "listen: [", "not YAML" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsTests)

BOOST_AUTO_TEST_CASE(ReadsTheExampleOfOneInstance)
{
  const auto outcome = CollectOutcome<Settings>(
    [] { return LoadSettings(kExamples + "one-instance.yaml"); });

  BOOST_TEST(FormatFindings(outcome.mFindings) == "");
  const auto& settings = outcome.mValue.value();
  BOOST_TEST(settings.mInstance.mValue == "entry-1");
  BOOST_TEST(HasRole(settings, Role::Control));
  BOOST_TEST(settings.mLimits.mMaxBodyBytes == 8 * 1024 * 1024);
  BOOST_TEST((settings.mLimits.mStopTime == Seconds(30)));
  BOOST_TEST(settings.mKeys.mCallers.at(0).mName == "desconto-certo");
}

BOOST_AUTO_TEST_CASE(ReadsTheExampleOfNineInstances)
{
  auto addresses = std::set<wire::SocketAddress>{};
  auto controlInstances = std::vector<InstanceAddress>{};
  auto count = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(kExamples + "nine-instances")) {
    if (entry.path().extension() != ".yaml") {
      continue;
    }
    const auto outcome =
      CollectOutcome<Settings>([&] { return LoadSettings(entry.path()); });
    BOOST_TEST(FormatFindings(outcome.mFindings) == "");
    const auto& settings = outcome.mValue.value();
    BOOST_TEST(entry.path().stem().string() == settings.mInstance.mValue);
    BOOST_TEST(addresses.insert(*settings.mListen.mCaller).second);
    BOOST_TEST(addresses.insert(*settings.mListen.mPeer).second);
    if (count > 0) {
      BOOST_TEST((settings.mControlInstances == controlInstances));
    }
    controlInstances = settings.mControlInstances;
    BOOST_TEST(settings.mDomainInstances.size() == 2);
    ++count;
  }
  BOOST_TEST(count == 9);
}

BOOST_AUTO_TEST_CASE(LoadsThePeerKey)
{
  auto settings = Settings{};
  const auto load = [&] {
    return CollectOutcome<std::string>([&] { return LoadPeerKey(settings); });
  };
  BOOST_TEST(load().mValue.value() == "");

  settings.mKeys.mPeerFile = kExamples + "nine-instances/peer.key";
  BOOST_TEST(load().mValue.value() == "demo-peer-key-for-loopback-only");

  settings.mKeys.mPeerFile = "/dev/null";
  BOOST_TEST(FormatFindings(load().mFindings) ==
             "/dev/null: too short; expected 16 characters\n");
}

BOOST_AUTO_TEST_CASE(PlacesEachWrongValue)
{
  const auto right = ReadExample("one-instance.yaml");
  for (const auto& wrong : kWrongCases) {
    const auto findings = FindingsOf(Replace(right, wrong.mOld, wrong.mNew));
    BOOST_TEST(findings.find(wrong.mFinding) != std::string::npos,
               wrong.mNew << " gave " << findings);
  }
}

BOOST_AUTO_TEST_CASE(ReportsAllProblemsAtOnce)
{
  auto text = ReadExample("one-instance.yaml");
  text = Replace(text, "8 MiB", "8 MB");
  text = Replace(text, "level: info", "level: loud");
  text = Replace(text, "region: ", "regoin: ");

  const auto outcome =
    CollectOutcome<Settings>([&] { return ParseSettings(text, "s"); });

  BOOST_TEST(outcome.mFindings.mItems.size() == 4);
}

BOOST_AUTO_TEST_CASE(RefusesAKeyThatStandsTwice)
{
  auto text = ReadExample("one-instance.yaml");
  const auto i = text.find("sha256: ") + 8;
  const auto hash = text.substr(i, 64);
  const auto j = text.find("sha256: ", i) + 8;
  text.replace(j, 64, hash);

  BOOST_TEST(FindingsOf(text).find("this key stands twice") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ReportsAMissingFile)
{
  const auto outcome =
    CollectOutcome<Settings>([] { return LoadSettings("/nowhere.yaml"); });

  BOOST_TEST(FormatFindings(outcome.mFindings) ==
             "/nowhere.yaml: can't be read; expected a readable file\n");
}

namespace {

/// As deploy/settings.tmpl gives it for an entry instance.
constexpr auto kDiscovered = R"(
instance: "edge-a-1"
failure_domain: "a"
region: "r"
roles: [entry]
adapter: platform
listen:
  peer: 10.1.0.40:7340
  caller: 10.1.0.40:8227
  platform: 10.1.0.40:8220
discovery:
  seeds:
    - 10.1.0.43:8229
    - 10.2.0.32:8229
  peer_port: 7340
  may_found: true
  heartbeat: 1200 ms
retries:
  ratio: 0.2
  slack: 104
  window: 10 s
overload:
  defer: true
  order: true
warm_up:
  overshoot: 1.5
  slack: 5
keys:
  peer_file: deploy/peer.key
)";

} // namespace

BOOST_AUTO_TEST_CASE(InstancesMayBeDiscovered)
{
  const auto settings = CollectOutcome<Settings>(
    [&] { return ParseSettings(kDiscovered, "s.yaml"); });
  BOOST_REQUIRE_MESSAGE(settings.mValue.has_value(),
                        FormatFindings(settings.mFindings));
  BOOST_TEST((settings.mValue->mAdapter == AdapterKind::Platform));
  BOOST_TEST(settings.mValue->mDiscovery.mSeeds.size() == 2U);
  BOOST_TEST(settings.mValue->mDiscovery.mMayFound);
  BOOST_TEST(settings.mValue->mRetries.mSlack == 104);
  BOOST_TEST(settings.mValue->mOverload.mDefersLate);
  BOOST_TEST((settings.mValue->mWarmUp == WarmUpSettings{ 1.5, 5 }));
  BOOST_TEST(settings.mValue->mOverload.mOrdersWork);
}

/// A platform scales its bounds with the size of a deployment.
BOOST_AUTO_TEST_CASE(BoundsOfThePlatformMayBeFractions)
{
  auto text = std::string(kDiscovered);
  text.replace(text.find("slack: 104"), 10, "slack: 34.73684210526316");
  text.replace(text.find("window: 10 s"), 12, "window: 9.5 s");
  const auto settings =
    CollectOutcome<Settings>([&] { return ParseSettings(text, "s.yaml"); });
  BOOST_REQUIRE_MESSAGE(settings.mValue.has_value(),
                        FormatFindings(settings.mFindings));
  BOOST_TEST(settings.mValue->mRetries.mSlack == 34.73684210526316);
  BOOST_TEST((settings.mValue->mRetries.mWindow == Millis(9500)));
}

/// A platform without the bound leaves the section out.
BOOST_AUTO_TEST_CASE(WithoutItsSectionThereIsNoWarmUpBound)
{
  const auto text =
    Replace(kDiscovered, "warm_up:\n  overshoot: 1.5\n  slack: 5\n", "");
  const auto settings =
    CollectOutcome<Settings>([&] { return ParseSettings(text, "s.yaml"); });
  BOOST_REQUIRE_MESSAGE(settings.mValue.has_value(),
                        FormatFindings(settings.mFindings));
  BOOST_TEST(!settings.mValue->mWarmUp.has_value());
}

BOOST_AUTO_TEST_CASE(ContradictionsOfDiscoveryAreFound)
{
  const auto cases = std::array{
    WrongCase{ "roles: [entry]", "roles: [entry, control]", "roles: both" },
    WrongCase{ "peer_port: 7340",
               "peer_port: 7341",
               "peer has another port than discovery.peer_port" },
    WrongCase{ "  peer_port: 7340\n", "", "discovery.peer_port: missing" },
    WrongCase{ "10.2.0.32:8229", "nowhere", "discovery.seeds: has" },
    WrongCase{ "peer: 10.1.0.40:7340", "", "listen.peer: missing" },
    WrongCase{ "ratio: 0.2", "ratio: 7", "retries.ratio" },
    WrongCase{ "defer: true", "defer: 3", "overload.defer" },
    WrongCase{ "overshoot: 1.5", "overshoot: -1", "warm_up.overshoot" },
    WrongCase{ "  overshoot: 1.5\n", "", "warm_up.overshoot: missing" },
    WrongCase{ "slack: 5\n", "slack: much\n", "warm_up.slack" },
    WrongCase{ "order: true", "order: 3", "overload.order" },
    WrongCase{ "adapter: platform", "adapter: other", "adapter: " },
  };
  for (const auto& it : cases) {
    const auto findings = FindingsOf(Replace(kDiscovered, it.mOld, it.mNew));
    BOOST_TEST(findings.find(it.mFinding) != std::string::npos,
               it.mNew << " gives " << findings);
  }
}

BOOST_AUTO_TEST_SUITE_END()
