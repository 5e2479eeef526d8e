#include "base/digest.h"
#include "settings/keys.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace cuminslip;

namespace {

constexpr auto kPeerSecret = "peer-key-0123456789";

auto
MakeKeys() -> KeySettings
{
  return { { { Sha256Hex("caller-key"), "desconto-certo" },
             { Sha256Hex("caller-key-2"), "desconto-certo" } },
           { { Sha256Hex("operator-key"), "ana" } },
           { { Sha256Hex("endpoint-key"), "engines" } },
           "" };
}

/// Whom each interface takes the bearer of a key for.
struct KeyCase
{
  std::string mKey;
  const char* mCaller;
  const char* mOperator;
  const char* mEndpoint;
  bool mIsPeer;
};

auto
KeyCases() -> std::vector<KeyCase>
{
  return {
    { "caller-key", "desconto-certo", "", "", false },
    { "caller-key-2", "desconto-certo", "", "", false },
    { "operator-key", "", "ana", "", false },
    { "endpoint-key", "", "", "engines", false },
    { kPeerSecret, "", "", "", true },
    { "", "", "", "", false },
    { "caller-ke", "", "", "", false },
    { "caller-key ", "", "", "", false },
    { "Caller-Key", "", "", "", false },
    { std::string("caller-key\0", 11), "", "", "", false },
    { Sha256Hex("caller-key"), "", "", "", false },
    { Sha256Hex(kPeerSecret), "", "", "", false },
    { std::string(1000000, 'x'), "", "", "", false },
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeysTests)

BOOST_AUTO_TEST_CASE(EachKeyOpensItsOwnInterfaceOnly)
{
  const auto keys = MakeKeys();
  for (const auto& it : KeyCases()) {
    const auto name = it.mKey.substr(0, 20);
    BOOST_TEST(IdentifyCaller(keys, it.mKey).value_or(AccountId{}).mValue ==
                 it.mCaller,
               name);
    BOOST_TEST(IdentifyOperator(keys, it.mKey).value_or("") == it.mOperator,
               name);
    BOOST_TEST(IdentifyEndpoint(keys, it.mKey).value_or("") == it.mEndpoint,
               name);
    BOOST_TEST(IsPeerKey(kPeerSecret, it.mKey) == it.mIsPeer, name);
  }
}

BOOST_AUTO_TEST_CASE(NoKeyFitsWhereNoneIsSet)
{
  for (const auto& it : KeyCases()) {
    BOOST_TEST(!IdentifyCaller({}, it.mKey).has_value());
    BOOST_TEST(!IsPeerKey("", it.mKey));
  }
}

BOOST_AUTO_TEST_SUITE_END()
