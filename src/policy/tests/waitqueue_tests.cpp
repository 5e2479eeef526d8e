#include "policy/waitqueue.h"

#include "policy/tests/builders.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <set>

using namespace cuminslip;

namespace {

const auto kNoLimits =
  AccountLimits{ 0, 0, 1000000, std::int64_t{ 1 } << 40, 1.0 };

auto
Always(const WaitEntry&) -> bool
{
  return true;
}

auto
MakeEntry(const std::string& aId,
          const std::string& aAccount,
          Priority aPriority,
          std::int64_t aTokens = 1000) -> WaitEntry
{
  auto entry = WaitEntry{};
  entry.mId = { aId };
  entry.mAccount = { aAccount };
  entry.mPriority = aPriority;
  entry.mCostTokens = aTokens;
  entry.mBytes = aTokens;
  entry.mEnqueued = kTestStart;
  entry.mExpires = kTestStart + Seconds(3600);
  entry.mLatestStart = kTestStart + Seconds(3000);
  return entry;
}

auto
TakeId(WaitQueue& aQueue, TimePoint aNow = kTestStart) -> std::string
{
  const auto started = TakeNext(aQueue, aNow, Always);
  return started ? started->mEntry.mId.mValue : "";
}

auto
CheckSums(const WaitQueue& aQueue) -> void
{
  auto requests = std::size_t{ 0 };
  auto bytes = std::int64_t{ 0 };
  auto tokens = std::int64_t{ 0 };
  for (const auto& [id, account] : aQueue.mAccounts) {
    requests += static_cast<std::size_t>(account.mRequests);
    bytes += account.mBytes;
    BOOST_REQUIRE(account.mRequests >= 0);
    for (const auto& [pool, byRank] : account.mTokens) {
      tokens += byRank[0] + byRank[1] + byRank[2];
    }
  }
  BOOST_REQUIRE_EQUAL(requests, aQueue.mEntries.size());
  BOOST_REQUIRE_EQUAL(bytes, aQueue.mBytes);
  BOOST_REQUIRE_EQUAL(tokens, aQueue.mCostTokens);
  BOOST_REQUIRE_EQUAL(requests, aQueue.mExpiries.size());
  BOOST_REQUIRE(aQueue.mBytes <= aQueue.mSettings.mMaxBytes);
  BOOST_REQUIRE(static_cast<std::int64_t>(requests) <=
                aQueue.mSettings.mMaxRequests);
}

/// Random operations on a small queue; each entry must leave exactly once.
class RandomRun
{
public:
  explicit RandomRun(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    mQueue.mSettings.mMaxRequests = 20;
    mQueue.mSettings.mMaxBytes = 30000;
  }

  auto Run(int aSteps) -> void
  {
    for (auto i = 0; i < aSteps; ++i) {
      mNow += Millis(Draw(0, 400));
      Step(Draw(0, 9));
      CheckSums(mQueue);
    }
    mNow += Seconds(100000);
    ExpireAll();
    BOOST_REQUIRE(mQueue.mEntries.empty());
    BOOST_REQUIRE(mInside.empty());
  }

private:
  auto Draw(std::int64_t aLow, std::int64_t aHigh) -> std::int64_t
  {
    return std::uniform_int_distribution<std::int64_t>(aLow, aHigh)(mRandom);
  }

  auto Step(std::int64_t aKind) -> void
  {
    if (aKind < 5) {
      Add();
    } else if (aKind < 8) {
      Take();
    } else if (aKind < 9) {
      ExpireAll();
    } else if (!mInside.empty()) {
      const auto id = *mInside.begin();
      BOOST_REQUIRE(RemoveEntry(mQueue, { id }).has_value());
      mInside.erase(id);
    }
  }

  auto Add() -> void
  {
    auto entry = MakeEntry(std::to_string(mNext++),
                           "account-" + std::to_string(Draw(0, 4)),
                           static_cast<Priority>(Draw(0, 2)),
                           Draw(1, 5000));
    entry.mPool = { static_cast<std::uint64_t>(Draw(0, 1)), Draw(0, 1) == 1 };
    entry.mValue = static_cast<double>(Draw(1, 8));
    entry.mEnqueued = mNow;
    entry.mExpires = mNow + Millis(Draw(-100, 20000));
    entry.mLatestStart = entry.mExpires - Millis(Draw(0, 30000));
    const auto result = Enqueue(mQueue, entry, kNoLimits, mNow);
    if (result.mReason == EnqueueReason::Accepted) {
      mInside.insert(entry.mId.mValue);
    }
    for (const auto& displaced : result.mDisplaced) {
      BOOST_REQUIRE_EQUAL(mInside.erase(displaced.mId.mValue), 1U);
    }
  }

  auto Take() -> void
  {
    const auto closed = Draw(0, 3);
    const auto started = TakeNext(mQueue, mNow, [&](const WaitEntry& aEntry) {
      return static_cast<std::int64_t>(aEntry.mPool.mPool * 2 +
                                       (aEntry.mPool.mIsLong ? 1 : 0)) !=
             closed;
    });
    if (started) {
      BOOST_REQUIRE((started->mEntry.mExpires > mNow));
      BOOST_REQUIRE_EQUAL(mInside.erase(started->mEntry.mId.mValue), 1U);
    }
  }

  auto ExpireAll() -> void
  {
    for (const auto& entry : TakeExpired(mQueue, mNow)) {
      BOOST_REQUIRE((entry.mExpires <= mNow));
      BOOST_REQUIRE_EQUAL(mInside.erase(entry.mId.mValue), 1U);
    }
    const auto next = NextExpiry(mQueue);
    BOOST_REQUIRE((!next || *next > mNow));
  }

  std::mt19937_64 mRandom;
  WaitQueue mQueue;
  std::set<std::string> mInside;
  TimePoint mNow = kTestStart;
  std::int64_t mNext = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(WaitQueueTests)

BOOST_AUTO_TEST_CASE(EveryEntryLeavesOnceAndBoundsHold)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= 30; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      RandomRun(seed).Run(600);
    }
  }
}

BOOST_AUTO_TEST_CASE(ServesBackloggedAccountsByWeight)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= 10; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto random = std::mt19937_64(seed);
      auto queue = WaitQueue{};
      auto tokens = std::uniform_int_distribution<std::int64_t>(1000, 100000);
      auto priority = std::uniform_int_distribution<int>(0, 2);
      constexpr auto kAccounts = 5;
      for (auto i = 0; i < 2000; ++i) {
        const auto account = i % kAccounts;
        auto entry = MakeEntry(std::to_string(i),
                               std::to_string(account),
                               static_cast<Priority>(priority(random)),
                               tokens(random));
        entry.mWeight = 1.0 + account;
        Enqueue(queue, entry, kNoLimits, kTestStart);
      }
      auto served = std::map<std::string, double>{};
      for (auto i = 0; i < 600; ++i) {
        const auto started = TakeNext(queue, kTestStart, Always);
        const auto& entry = started->mEntry;
        served[entry.mAccount.mValue] +=
          static_cast<double>(entry.mCostTokens) / entry.mWeight;
        const auto [least, most] =
          std::minmax_element(served.begin(),
                              served.end(),
                              [](const auto& aLeft, const auto& aRight) {
                                return aLeft.second < aRight.second;
                              });
        if (served.size() == kAccounts) {
          // NOTE: two requests, and the credit of urgent work.
          BOOST_REQUIRE_LE(most->second - least->second, 2 * 100000 + 200000);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(SmallAccountIsServedBesideLargeOnes)
{
  auto queue = WaitQueue{};
  for (auto i = 0; i < 500; ++i) {
    Enqueue(queue,
            MakeEntry(
              "large-" + std::to_string(i), "large", Priority::Urgent, 100000),
            kNoLimits,
            kTestStart);
  }
  Enqueue(queue,
          MakeEntry("small", "small", Priority::Patient),
          kNoLimits,
          kTestStart);
  auto position = 0;
  while (TakeId(queue) != "small") {
    ++position;
  }
  BOOST_TEST(position <= 4);
}

BOOST_AUTO_TEST_CASE(OrdersAnAccountByPrioritySlackAndValue)
{
  auto queue = WaitQueue{};
  auto early = MakeEntry("early", "a", Priority::Normal);
  early.mLatestStart -= Seconds(60);
  auto valuable = MakeEntry("valuable", "a", Priority::Normal);
  valuable.mLatestStart -= Seconds(55);
  valuable.mValue = 8;
  Enqueue(
    queue, MakeEntry("patient", "a", Priority::Patient), kNoLimits, kTestStart);
  Enqueue(
    queue, MakeEntry("normal", "a", Priority::Normal), kNoLimits, kTestStart);
  Enqueue(queue, early, kNoLimits, kTestStart);
  Enqueue(queue, valuable, kNoLimits, kTestStart);
  Enqueue(
    queue, MakeEntry("urgent", "a", Priority::Urgent), kNoLimits, kTestStart);

  for (const auto* wanted :
       { "urgent", "valuable", "early", "normal", "patient" }) {
    BOOST_TEST(TakeId(queue) == wanted);
  }
}

BOOST_AUTO_TEST_CASE(PatientWorkIsPromotedBeforeItsLatestStart)
{
  auto queue = WaitQueue{};
  auto patient = MakeEntry("patient", "a", Priority::Patient);
  patient.mLatestStart = kTestStart + Seconds(60);
  Enqueue(queue, patient, kNoLimits, kTestStart);
  auto now = kTestStart;
  auto startedAt = std::optional<TimePoint>{};
  // A new urgent request each second, as many as can be served.
  for (auto i = 0; i < 100 && !startedAt; ++i) {
    now += Seconds(1);
    auto urgent = MakeEntry(std::to_string(i), "a", Priority::Urgent);
    urgent.mLatestStart = now + Seconds(30);
    Enqueue(queue, urgent, kNoLimits, now);
    startedAt =
      TakeId(queue, now) == "patient" ? std::optional(now) : std::nullopt;
  }
  BOOST_REQUIRE(startedAt.has_value());
  BOOST_TEST((*startedAt <= patient.mLatestStart));
}

BOOST_AUTO_TEST_CASE(ExpiresExactlyAtTheQueueTimeOrDeadline)
{
  auto request = MakeRequest(1000);
  request.mQueueTime = Millis(1500);
  const auto entry = BuildWaitEntry(request, 1.0, {}, Seconds(2), kTestStart);
  BOOST_TEST((entry.mExpires == kTestStart + Millis(1500)));
  BOOST_TEST((entry.mLatestStart == kTestStart + Seconds(598)));
  auto queue = WaitQueue{};
  Enqueue(queue, entry, kNoLimits, kTestStart);

  const auto before = entry.mExpires - Micros(1);
  BOOST_TEST((*NextExpiry(queue) == entry.mExpires));
  BOOST_TEST(TakeExpired(queue, before).empty());
  BOOST_TEST(!TakeNext(queue, entry.mExpires, Always).has_value());
  BOOST_TEST(TakeExpired(queue, entry.mExpires).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FullQueueDisplacesTheLargestHoldersLeastValuable)
{
  auto queue = WaitQueue{};
  queue.mSettings.mMaxRequests = 3;
  auto cheap = MakeEntry("cheap", "large", Priority::Patient);
  auto dear = MakeEntry("dear", "large", Priority::Patient);
  dear.mValue = 10;
  Enqueue(queue, dear, kNoLimits, kTestStart);
  Enqueue(queue, cheap, kNoLimits, kTestStart);
  Enqueue(queue,
          MakeEntry("other", "small", Priority::Normal),
          kNoLimits,
          kTestStart);

  const auto result = Enqueue(
    queue, MakeEntry("new", "third", Priority::Normal), kNoLimits, kTestStart);

  BOOST_TEST((result.mReason == EnqueueReason::Accepted));
  BOOST_REQUIRE(result.mDisplaced.size() == 1U);
  BOOST_TEST(result.mDisplaced.front().mId.mValue == "cheap");
  const auto refused = Enqueue(queue,
                               MakeEntry("more", "large", Priority::Patient),
                               kNoLimits,
                               kTestStart);
  BOOST_TEST((refused.mReason == EnqueueReason::QueueFull));
  BOOST_TEST(refused.mDisplaced.empty());
}

BOOST_AUTO_TEST_CASE(AccountLimitsBoundCountAndBytes)
{
  auto queue = WaitQueue{};
  const auto limits = AccountLimits{ 0, 0, 2, 2500, 1.0 };
  const auto add = [&](const std::string& aId, std::int64_t aTokens) {
    return Enqueue(queue,
                   MakeEntry(aId, "a", Priority::Normal, aTokens),
                   limits,
                   kTestStart)
      .mReason;
  };
  BOOST_TEST((add("1", 2000) == EnqueueReason::Accepted));
  BOOST_TEST((add("1", 1) == EnqueueReason::Duplicate));
  BOOST_TEST((add("2", 501) == EnqueueReason::AccountFull));
  BOOST_TEST((add("3", 500) == EnqueueReason::Accepted));
  BOOST_TEST((add("4", 0) == EnqueueReason::AccountFull));
}

BOOST_AUTO_TEST_CASE(ClosedPoolDoesNotHoldUpAnother)
{
  auto queue = WaitQueue{};
  auto longOne = MakeEntry("long", "a", Priority::Urgent);
  longOne.mPool.mIsLong = true;
  Enqueue(queue, longOne, kNoLimits, kTestStart);
  Enqueue(
    queue, MakeEntry("short", "b", Priority::Patient), kNoLimits, kTestStart);
  const auto started = TakeNext(queue, kTestStart, [](const WaitEntry& aEntry) {
    return !aEntry.mPool.mIsLong;
  });
  BOOST_REQUIRE(started.has_value());
  BOOST_TEST(started->mEntry.mId.mValue == "short");
}

BOOST_AUTO_TEST_CASE(PredictsTheWaitFromSharesAndRate)
{
  auto queue = WaitQueue{};
  for (auto i = 0; i < 10; ++i) {
    Enqueue(queue,
            MakeEntry(std::to_string(i), "a", Priority::Normal),
            kNoLimits,
            kTestStart);
  }
  const auto predict = [&](const std::string& aAccount, Priority aPriority) {
    return PredictWait(queue, MakeEntry("new", aAccount, aPriority));
  };
  BOOST_TEST((predict("a", Priority::Normal) == Micros(0)));
  queue.mTokensPerSecond = 1000;
  BOOST_TEST((predict("a", Priority::Normal) == Seconds(10)));
  BOOST_TEST((predict("a", Priority::Urgent) == Micros(0)));
  BOOST_TEST((predict("b", Priority::Normal) == Seconds(1)));
}

BOOST_AUTO_TEST_CASE(OldestWaitLeavesOutPatientWork)
{
  auto queue = WaitQueue{};
  Enqueue(queue, MakeEntry("p", "a", Priority::Patient), kNoLimits, kTestStart);
  BOOST_TEST((OldestWait(queue, kTestStart + Seconds(9)) == Micros(0)));
  Enqueue(queue, MakeEntry("n", "a", Priority::Normal), kNoLimits, kTestStart);
  BOOST_TEST((OldestWait(queue, kTestStart + Seconds(9)) == Seconds(9)));
}

BOOST_AUTO_TEST_SUITE_END()
