#include "evacuation/evacuation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace cuminslip;
using namespace cuminslip::evacuation;

namespace {

auto
Order(const std::string& aDomain, bool aIsEvacuated) -> EvacuationOrder
{
  return { { aDomain }, aIsEvacuated };
}

/// What an instance does with an order that it read aRead for, when aPresent is
/// what it finds at the time of its publication.
auto
Carry(const Evacuations& aRead,
      const Evacuations& aPresent,
      const EvacuationOrder& aOrder) -> Evacuations
{
  return IsStillDue(aRead, aPresent, aOrder) ? ApplyOrder(aPresent, aOrder)
                                             : aPresent;
}

constexpr auto kUnsorted =
  R"({"domains":[{"name":"b","evacuated":true,"changes":1},
                 {"name":"a","evacuated":true,"changes":1}]})";

auto
Parse(const std::string& aText) -> Outcome<Evacuations>
{
  return CollectOutcome<Evacuations>([&] { return ParseEvacuations(aText); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(EvacuationTests)

BOOST_AUTO_TEST_CASE(ADomainIsEvacuatedAndRestored)
{
  auto now = ApplyOrder({}, Order("b", true));
  now = ApplyOrder(now, Order("a", true));
  BOOST_TEST(IsEvacuated(now, { "a" }));
  BOOST_TEST(IsEvacuated(now, { "b" }));
  BOOST_TEST(!IsEvacuated(now, { "c" }));

  now = ApplyOrder(now, Order("b", false));
  BOOST_TEST(!IsEvacuated(now, { "b" }));
  BOOST_TEST(IsEvacuated(now, { "a" }));
}

BOOST_AUTO_TEST_CASE(AnOrderThatIsSentAgainChangesNothing)
{
  const auto now = ApplyOrder({}, Order("a", true));
  BOOST_TEST(IsInForce(now, Order("a", true)));
  BOOST_TEST((ApplyOrder(now, Order("a", true)) == now));
  BOOST_TEST(IsInForce({}, Order("a", false)), "nothing to withdraw");
}

// Guards against an evacuation that comes back: an instance that was paused
// carries out an order that was withdrawn elsewhere meanwhile.
BOOST_AUTO_TEST_CASE(AnOrderThatWasOvertakenIsNotCarriedOut)
{
  const auto read = Evacuations{};
  auto present = ApplyOrder(read, Order("a", true));
  present = ApplyOrder(present, Order("a", false));
  BOOST_TEST(!IsEvacuated(Carry(read, present, Order("a", true)), { "a" }));
}

BOOST_AUTO_TEST_CASE(OrdersForOtherDomainsDoNotOvertake)
{
  const auto present = ApplyOrder({}, Order("b", true));
  const auto after = Carry({}, present, Order("a", true));
  BOOST_TEST(IsEvacuated(after, { "a" }));
  BOOST_TEST(IsEvacuated(after, { "b" }));
}

BOOST_AUTO_TEST_CASE(NamesAndTheirNumberAreBounded)
{
  BOOST_TEST(!IsAcceptable({}, Order("", true)));
  BOOST_TEST(!IsAcceptable({}, Order("a/b", true)));
  BOOST_TEST(!IsAcceptable({}, Order(std::string(257, 'a'), true)));
  auto full = Evacuations{};
  for (auto i = 0; i < 256; ++i) {
    full = ApplyOrder(full, Order("d" + std::to_string(i), true));
  }
  BOOST_TEST(!IsAcceptable(full, Order("more", true)));
  BOOST_TEST(IsAcceptable(full, Order("d7", false)));
}

BOOST_AUTO_TEST_CASE(ADocumentIsReadAsItWasWritten)
{
  rc::check([](const std::vector<std::uint8_t>& aOrders) {
    auto now = Evacuations{};
    for (const auto it : aOrders) {
      now = ApplyOrder(now, Order("\"" + std::to_string(it / 2), it % 2 == 0));
    }
    const auto read = Parse(FormatEvacuations(now));
    RC_ASSERT(read.mValue.has_value());
    RC_ASSERT(*read.mValue == now);
  });
}

BOOST_AUTO_TEST_CASE(AMalformedDocumentIsRefused)
{
  for (const auto* it :
       { "",
         "{}",
         "[]",
         R"({"domains":{}})",
         R"({"domains":[{"name":"a"}]})",
         R"({"domains":[{"name":1,"evacuated":true,"changes":1}]})",
         R"({"domains":[{"name":"a","evacuated":true,"changes":-1}]})",
         kUnsorted }) {
    BOOST_TEST(!Parse(it).mValue.has_value(), it);
  }
}

BOOST_AUTO_TEST_SUITE_END()
