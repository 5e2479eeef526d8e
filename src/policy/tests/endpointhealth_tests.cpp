#include "policy/endpointhealth.h"

#include "policy/tests/builders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace cuminslip;

namespace {

auto
MakeGroup(std::size_t aCount) -> std::vector<EndpointHealth>
{
  auto group = std::vector<EndpointHealth>(aCount);
  for (auto i = std::size_t{ 0 }; i < aCount; ++i) {
    group[i].mId = { std::to_string(i) };
  }
  return group;
}

auto
Fail(EndpointHealth& aHealth, int aTimes) -> void
{
  for (auto i = 0; i < aTimes; ++i) {
    RecordCall(aHealth, CallOutcome::Failed, false, {});
  }
}

auto
CountOut(const std::vector<EndpointHealth>& aGroup) -> std::ptrdiff_t
{
  return std::count_if(aGroup.begin(), aGroup.end(), [](const auto& aItem) {
    return aItem.mState != HealthState::InUse;
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointHealthTests)

BOOST_AUTO_TEST_CASE(EjectsTriesAndReturns)
{
  auto group = MakeGroup(6);
  auto random = std::mt19937_64(1);
  auto& sick = group[2];
  Fail(sick, 3);
  UpdateHealth(group, {}, kTestStart, random);
  BOOST_TEST(!MayCall(sick));
  const auto over = sick.mEjectedUntil;
  UpdateHealth(group, {}, over - Micros(1), random);
  BOOST_TEST(!MayCall(sick));
  UpdateHealth(group, {}, over, random);
  BOOST_TEST(MayCall(sick));
  BOOST_TEST(BeginCall(sick));
  BOOST_TEST(!MayCall(sick));
  RecordCall(sick, CallOutcome::Succeeded, true, {});
  UpdateHealth(group, {}, over, random);
  BOOST_TEST((sick.mState == HealthState::InUse));
}

BOOST_AUTO_TEST_CASE(FailedTrialsLastLongerEachTime)
{
  auto group = MakeGroup(6);
  auto random = std::mt19937_64(1);
  auto& sick = group[0];
  Fail(sick, 3);
  UpdateHealth(group, {}, kTestStart, random);
  auto first = sick.mEjectedUntil - kTestStart;
  auto last = Micros(0);
  for (auto i = 0; i < 8; ++i) {
    const auto over = sick.mEjectedUntil;
    UpdateHealth(group, {}, over, random);
    const auto isTrial = BeginCall(sick);
    RecordCall(sick, CallOutcome::TimedOut, isTrial, {});
    UpdateHealth(group, {}, over, random);
    last = sick.mEjectedUntil - over;
  }
  BOOST_TEST((first <= Seconds(3) && last >= Seconds(30)));
  BOOST_TEST((last <= Seconds(90)));
}

BOOST_AUTO_TEST_CASE(NeverEjectsMoreThanItsShare)
{
  for (const auto count : { 1U, 2U, 3U, 6U, 25U, 600U }) {
    auto group = MakeGroup(count);
    auto random = std::mt19937_64(1);
    const auto failing = (count - 1) / 2;
    for (auto i = 0U; i < failing; ++i) {
      Fail(group[i], 5);
    }
    const auto changes = UpdateHealth(group, {}, kTestStart, random);
    BOOST_TEST(CountOut(group) <= count * 0.34);
    BOOST_TEST(changes.size() == failing);
  }
}

BOOST_AUTO_TEST_CASE(EjectsNoneWhenAllFail)
{
  for (const auto sound : { 3, 1000 }) {
    auto group = MakeGroup(10);
    auto random = std::mt19937_64(1);
    for (auto& health : group) {
      for (auto i = 0; i < 20; ++i) {
        const auto outcome =
          i % sound == sound - 1 ? CallOutcome::Succeeded : CallOutcome::Failed;
        RecordCall(health, outcome, false, {});
      }
    }
    UpdateHealth(group, {}, kTestStart, random);
    BOOST_TEST(CountOut(group) == 0);
  }
}

BOOST_AUTO_TEST_CASE(LateEndOfAnEarlierCallIsNoTrial)
{
  auto group = MakeGroup(6);
  auto random = std::mt19937_64(1);
  auto& sick = group[0];
  Fail(sick, 3);
  UpdateHealth(group, {}, kTestStart, random);
  RecordCall(sick, CallOutcome::Succeeded, false, {});
  UpdateHealth(group, {}, sick.mEjectedUntil, random);
  BOOST_TEST((sick.mState == HealthState::OnTrial));
}

BOOST_AUTO_TEST_CASE(RestartBeginsAnew)
{
  auto health = MakeGroup(1).front();
  ResetIfRestarted(health, 3);
  Fail(health, 4);
  ResetIfRestarted(health, 2);
  BOOST_TEST(health.mCalls.mConsecutiveFailures == 4);
  ResetIfRestarted(health, 4);
  BOOST_TEST(health.mCalls.mConsecutiveFailures == 0);
}

BOOST_AUTO_TEST_CASE(SilenceLimitLeavesTimeForAnotherAttempt)
{
  const auto times = PredictedTimes{ Millis(100), Millis(400), Seconds(2) };
  BOOST_TEST((FirstDataTimeout(times, Seconds(60)) == Seconds(2)));
  BOOST_TEST((FirstDataTimeout(times, Millis(4000)) == Millis(1500)));
  BOOST_TEST((FirstDataTimeout(times, Millis(1000)) == Seconds(1)));
  BOOST_TEST((FirstDataTimeout(times, Seconds(-1)) == Micros(0)));
}

BOOST_AUTO_TEST_SUITE_END()
