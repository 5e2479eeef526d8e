#include "policy/deferral.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <deque>
#include <random>

using namespace cuminslip;

namespace {

const auto kRules = DeferralRules{};

auto
LateAfter(Millis aWaited) -> LatePrompt
{
  return {
    Millis(300), Millis(250), Millis(10000), aWaited, Millis(10000) - aWaited,
    200,         false
  };
}

/// A service with slots that each serve a prompt in the same time, and callers
/// who leave after their patience.
struct SlotModel
{
  std::int64_t mSlots = 0;
  Millis mService{ 0 };
  /// Requests per second in each span of one second.
  std::vector<int> mLoad;
  /// Sends in the order of arrival, as without the rules.
  bool mIsFirstCome = false;

  /// Returns the fraction of the prompts with a first event within the target.
  auto ShareInTime() const -> double
  {
    auto random = std::mt19937_64{ 1 };
    auto busyUntil = std::vector<std::int64_t>(mSlots, 0);
    auto waiting = std::deque<std::int64_t>{};
    auto asked = 0;
    auto inTime = 0;
    for (auto now = std::int64_t{ 0 };
         now < static_cast<std::int64_t>(mLoad.size()) * 1000;
         ++now) {
      const auto perSecond = mLoad[static_cast<std::size_t>(now / 1000)];
      if (std::uniform_int_distribution<int>(0, 999)(random) < perSecond) {
        waiting.push_back(now);
        ++asked;
      }
      auto free = std::count_if(busyUntil.begin(),
                                busyUntil.end(),
                                [&](auto aEnd) { return aEnd <= now; });
      while (free > 0 && !waiting.empty()) {
        const auto it = Next(waiting, now, free);
        if (it == waiting.end()) {
          break;
        }
        inTime += now - *it <= 300 ? 1 : 0;
        *std::min_element(busyUntil.begin(), busyUntil.end()) =
          now + mService.count();
        --free;
        waiting.erase(it);
      }
      std::erase_if(waiting, [&](auto aArrived) {
        return !mIsFirstCome &&
               DecideDeferral(LateAfter(Millis(now - aArrived)), kRules) ==
                 DeferralVerdict::Refuse;
      });
    }
    return static_cast<double>(inTime) / asked;
  }

private:
  auto Next(std::deque<std::int64_t>& aWaiting,
            std::int64_t aNow,
            std::int64_t aFree) const -> std::deque<std::int64_t>::iterator
  {
    if (mIsFirstCome) {
      return aWaiting.begin();
    }
    const auto inTime =
      std::find_if(aWaiting.begin(), aWaiting.end(), [&](auto aArrived) {
        return aNow - aArrived <= 300;
      });
    return inTime != aWaiting.end() || aFree <= ReservedSlots(mSlots, kRules)
             ? inTime
             : aWaiting.begin();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DeferralTests)

BOOST_AUTO_TEST_CASE(ALatePromptWaitsForASlotUntilItsCallerWouldLeave)
{
  BOOST_TEST(
    (DecideDeferral(LateAfter(Millis(0)), kRules) == DeferralVerdict::Defer));
  BOOST_TEST((DecideDeferral(LateAfter(Millis(1590)), kRules) ==
              DeferralVerdict::Defer));
  BOOST_TEST((DecideDeferral(LateAfter(Millis(1600)), kRules) ==
              DeferralVerdict::Refuse));
  auto withSlot = LateAfter(Millis(1600));
  withSlot.mHasFreeSlot = true;
  BOOST_TEST((DecideDeferral(withSlot, kRules) == DeferralVerdict::Send));
}

BOOST_AUTO_TEST_CASE(ACallerThatReturnedIsNotRefusedAgain)
{
  auto late = LateAfter(Millis(1600));
  late.mAllowance = Millis(6000);
  BOOST_TEST(IsReturned(late, kRules));
  BOOST_TEST((DecideDeferral(late, kRules) == DeferralVerdict::Send));
}

BOOST_AUTO_TEST_CASE(PatienceIsTheLongestOfTheTimesThatCallersState)
{
  BOOST_TEST((PatienceOf(LateAfter(Millis(0)), kRules) == Millis(2000)));
  auto late = LateAfter(Millis(0));
  late.mAnswerTarget = Millis(600);
  BOOST_TEST((PatienceOf(late, kRules) == Millis(2400)));
  late.mPauseTarget = Millis(800);
  BOOST_TEST((PatienceOf(late, kRules) == Millis(6400)));
}

BOOST_AUTO_TEST_CASE(CallersReturnWithinAThirdOfTheTimeThatTheyHaveLeft)
{
  rc::check([](std::uint16_t aAllowance, std::uint8_t aDraw) {
    auto late = LateAfter(Millis(0));
    late.mAllowance = Millis(aAllowance);
    const auto draw = aDraw / 255.0;
    const auto back = ReturnTime(late, draw, kRules);
    RC_ASSERT(back >= Millis(0));
    RC_ASSERT(back * 3 <= late.mAllowance + Millis(1));
  });
}

BOOST_AUTO_TEST_CASE(NoSlotIsGrantedToTwoInstances)
{
  rc::check([](std::vector<std::uint8_t> aStreams, std::uint8_t aFree) {
    auto claims = std::vector<SlotClaim>{};
    for (auto i = std::size_t{ 0 }; i < aStreams.size(); ++i) {
      claims.push_back({ (i * 7919) % 1000, aStreams[i] % 4 });
    }
    auto granted = std::int64_t{ 0 };
    auto asked = std::int64_t{ 0 };
    for (auto i = std::size_t{ 0 }; i < claims.size(); ++i) {
      auto others = claims;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
      granted += GrantedSlots(aFree, claims[i], others);
      asked += claims[i].mStreams;
    }
    RC_ASSERT(granted == std::min<std::int64_t>(asked, aFree));
  });
}

// Load: short prompts jump to 1.1 times what the slots serve, for ten seconds.
// In the order of arrival nearly all of them are late, since each waits behind
// all others; with the rules only as many as the slots can't serve.
BOOST_AUTO_TEST_CASE(ABurstAboveTheSlotsCostsOnlyWhatDoesNotFit)
{
  auto model = SlotModel{};
  model.mSlots = 504;
  model.mService = Millis(2200);
  model.mLoad = {
    60, 60, 60, 250, 250, 250, 250, 250, 250, 250, 250, 250, 250
  };
  const auto share = model.ShareInTime();
  model.mIsFirstCome = true;
  const auto firstCome = model.ShareInTime();
  BOOST_TEST(share >= 0.85);
  BOOST_TEST(firstCome < 0.6);
}

BOOST_AUTO_TEST_SUITE_END()
