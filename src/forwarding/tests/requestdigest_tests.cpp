#include "forwarding/requestdigest.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>

using namespace cuminslip;
using namespace cuminslip::forwarding;

namespace {

auto
MakePost(std::string aBody) -> wire::HttpRequest
{
  auto request = wire::HttpRequest{};
  request.mMethod = "POST";
  request.mHost = "h";
  request.mPath = "/a/b";
  request.mQuery = "q=1";
  request.mBody = std::move(aBody);
  return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestDigestTests)

BOOST_AUTO_TEST_CASE(EachFieldCountsAndHeadersDoNot)
{
  const auto account = AccountId{ "claims" };
  const auto request = MakePost("body");
  auto other = request;
  other.mHeaders = { { "x-attempt-id", "2" } };
  BOOST_TEST(DigestRequest(request, account) == DigestRequest(other, account));

  auto digests = std::set<std::uint64_t>{ DigestRequest(request, account),
                                          DigestRequest(request, { "other" }) };
  const auto change = [&](auto aField, const std::string& aValue) {
    auto changed = request;
    changed.*aField = aValue;
    digests.insert(DigestRequest(changed, account));
  };
  change(&wire::HttpRequest::mMethod, "GET");
  change(&wire::HttpRequest::mHost, "i");
  change(&wire::HttpRequest::mPath, "/a/");
  change(&wire::HttpRequest::mQuery, "q=2");
  change(&wire::HttpRequest::mBody, "");
  BOOST_TEST(digests.size() == 7U);

  auto moved = request;
  moved.mPath = "/a/bq=1";
  moved.mQuery = "";
  BOOST_TEST(!digests.contains(DigestRequest(moved, account)));
}

BOOST_AUTO_TEST_CASE(BothEndsAndTheLengthOfALongBodyCount)
{
  constexpr auto kLong = std::size_t{ 4 } << 20U;
  auto digests = std::set<std::uint64_t>{};
  for (const auto length : { kLong, kLong + 1 }) {
    for (const auto at : { std::size_t{ 0 }, length / 2, length - 1 }) {
      for (const auto letter : { 'a', 'b' }) {
        auto body = std::string(length, 'a');
        body[at] = letter;
        digests.insert(DigestRequest(MakePost(std::move(body)), {}));
      }
    }
  }
  // A body of the letter a only, and two with another one at its ends, of each
  // length. What lies between two pieces does not count.
  BOOST_TEST(digests.size() >= 6U);
}

BOOST_AUTO_TEST_CASE(TheHashingOfLongBodiesIsBounded)
{
  constexpr auto kHashed = std::size_t{ 64 } * 1024;
  constexpr auto kLength = 256 * kHashed;
  constexpr auto kStep = std::size_t{ 4099 };
  const auto bytes = std::make_shared<std::string>(kLength, 'a');
  auto request = MakePost("");
  request.mBody = wire::Body(std::shared_ptr<const std::string>(bytes));
  const auto digest = DigestRequest(request, {});
  auto changed = std::size_t{ 0 };
  for (auto at = std::size_t{ 0 }; at < kLength; at += kStep) {
    (*bytes)[at] = 'b';
    changed += DigestRequest(request, {}) == digest ? 0 : 1;
    (*bytes)[at] = 'a';
  }
  BOOST_TEST(changed > 0U);
  BOOST_TEST(changed <= 2 * kHashed / kStep);
}

BOOST_AUTO_TEST_SUITE_END()
