#include "endpoints/registry.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace cuminslip;
using namespace cuminslip::endpoints;

namespace {

const auto kEngine = EndpointId{ "engine-1" };
const auto kStart = TimePoint(Seconds(1000));

auto
Say(Incarnation aIncarnation, std::uint64_t aSequence, bool aIsLeaving = false)
  -> Announcement
{
  auto it = Announcement{};
  it.mEndpoint = kEngine;
  it.mIncarnation = aIncarnation;
  it.mSequence = aSequence;
  it.mAddress = "127.0.0.1:9001";
  it.mInterval = Millis(500);
  it.mIsLeaving = aIsLeaving;
  it.mLoad.mRunningStreams = static_cast<std::int64_t>(aSequence);
  return it;
}

auto
StateOf(const Registry& aRegistry, TimePoint aNow) -> EndpointState
{
  return ViewAt(aRegistry, kEngine, aNow).value().mState;
}

auto
KindsOf(const std::vector<EndpointChange>& aChanges)
  -> std::vector<EndpointChangeKind>
{
  auto kinds = std::vector<EndpointChangeKind>{};
  for (const auto& it : aChanges) {
    kinds.push_back(it.mKind);
  }
  return kinds;
}

/// One step of a fault scenario.
struct Step
{
  Millis mAt{ 0 };
  enum class Kind : std::uint8_t
  {
    Hear,
    Fail,
    Succeed,
    Refuse,
    Send
  } mKind = Kind::Hear;
  std::uint64_t mSequence = 0;
  Millis mLoadAge{ 0 };
};

struct FaultCase
{
  std::string mName;
  std::vector<Step> mSteps;
  Millis mLookAt{ 0 };
  EndpointState mExpected = EndpointState::Active;
};

using SK = Step::Kind;
using ES = EndpointState;

const auto kFaultCases = std::vector<FaultCase>{
  { "one lost announcement", { { Millis(0), SK::Hear, 1 } }, Millis(1200) },
  { "two lost and one failed call",
    { { Millis(0), SK::Hear, 1 }, { Millis(1300), SK::Fail } },
    Millis(1400) },
  { "three lost and one failed call",
    { { Millis(0), SK::Hear, 1 }, { Millis(1500), SK::Fail } },
    Millis(1600),
    ES::Suspect },
  { "one failed call",
    { { Millis(0), SK::Hear, 1 }, { Millis(1), SK::Fail } },
    Millis(2) },
  { "refusals are no failures",
    { { Millis(0), SK::Hear, 1 },
      { Millis(1), SK::Refuse },
      { Millis(2), SK::Refuse },
      { Millis(3), SK::Refuse } },
    Millis(4) },
  { "three failed calls in a row",
    { { Millis(0), SK::Hear, 1 },
      { Millis(1), SK::Fail },
      { Millis(2), SK::Fail },
      { Millis(3), SK::Fail } },
    Millis(4),
    ES::Suspect },
  { "a success between failed calls",
    { { Millis(0), SK::Hear, 1 },
      { Millis(1), SK::Fail },
      { Millis(2), SK::Fail },
      { Millis(3), SK::Succeed },
      { Millis(4), SK::Fail } },
    Millis(5) },
  { "a trial is allowed after the retry delay",
    { { Millis(0), SK::Hear, 1 },
      { Millis(1), SK::Fail },
      { Millis(2), SK::Fail },
      { Millis(3), SK::Fail },
      { Millis(2000), SK::Hear, 2 } },
    Millis(2010) },
  { "one trial at a time",
    { { Millis(0), SK::Hear, 1 },
      { Millis(1), SK::Fail },
      { Millis(2), SK::Fail },
      { Millis(3), SK::Fail },
      { Millis(2000), SK::Hear, 2 },
      { Millis(2010), SK::Send } },
    Millis(2011),
    ES::Suspect },
  { "a failed trial doubles the delay",
    { { Millis(0), SK::Hear, 1 },
      { Millis(1), SK::Fail },
      { Millis(2), SK::Fail },
      { Millis(3), SK::Fail },
      { Millis(2010), SK::Send },
      { Millis(2020), SK::Fail },
      { Millis(5500), SK::Hear, 2 } },
    Millis(5600),
    ES::Suspect },
  { "a trial that succeeds ends the suspicion",
    { { Millis(0), SK::Hear, 1 },
      { Millis(1), SK::Fail },
      { Millis(2), SK::Fail },
      { Millis(3), SK::Fail },
      { Millis(2000), SK::Hear, 2 },
      { Millis(2010), SK::Send },
      { Millis(2020), SK::Succeed } },
    Millis(2021) },
  { "lagging report with two failed calls",
    { { Millis(0), SK::Hear, 1, Millis(4000) },
      { Millis(1), SK::Fail },
      { Millis(2), SK::Fail } },
    Millis(3),
    ES::Suspect },
  { "a lagging report alone",
    { { Millis(0), SK::Hear, 1, Millis(20000) } },
    Millis(1) },
  { "silent just under the limit",
    { { Millis(0), SK::Hear, 1 } },
    Millis(2999) },
  { "silent for the limit",
    { { Millis(0), SK::Hear, 1 } },
    Millis(3000),
    ES::Suspect },
  { "heard again after silence",
    { { Millis(0), SK::Hear, 1 }, { Millis(9000), SK::Hear, 2 } },
    Millis(9001) },
  { "a doubled announcement is no sign of life",
    { { Millis(0), SK::Hear, 1 }, { Millis(2900), SK::Hear, 1 } },
    Millis(3000),
    ES::Suspect },
};

auto
Run(Registry& aRegistry, const Step& aStep) -> void
{
  const auto now = kStart + aStep.mAt;
  switch (aStep.mKind) {
    case SK::Hear: {
      auto announcement = Say(1, aStep.mSequence);
      announcement.mLoadAge = aStep.mLoadAge;
      ApplyAnnouncement(aRegistry, announcement, now);
      return;
    }
    case SK::Fail:
      return NoteCallResult(aRegistry, kEngine, CallResult::Failed, now);
    case SK::Succeed:
      return NoteCallResult(aRegistry, kEngine, CallResult::Succeeded, now);
    case SK::Refuse:
      return NoteCallResult(aRegistry, kEngine, CallResult::Refused, now);
    case SK::Send:
      return NoteSent(aRegistry, kEngine, 1, now);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RegistryTests)

BOOST_AUTO_TEST_CASE(SuspicionFollowsTheFaultTable)
{
  for (const auto& row : kFaultCases) {
    BOOST_TEST_CONTEXT(row.mName)
    {
      auto registry = Registry{};
      for (const auto& step : row.mSteps) {
        Run(registry, step);
      }
      BOOST_TEST((StateOf(registry, kStart + row.mLookAt) == row.mExpected));
    }
  }
}

BOOST_AUTO_TEST_CASE(LeavingTakesEffectAtOnceAndIsNotUndoneByLateUpdates)
{
  auto registry = Registry{};
  ApplyAnnouncement(registry, Say(1, 1), kStart);

  const auto outcome = ApplyAnnouncement(registry, Say(1, 3, true), kStart);
  BOOST_TEST(
    (KindsOf(outcome.mChanges) == std::vector{ EndpointChangeKind::Leaving }));
  const auto late = ApplyAnnouncement(registry, Say(1, 2), kStart);
  BOOST_TEST(!late.mIsNews);
  BOOST_TEST(late.mAnswer.mAccepted);
  BOOST_TEST((StateOf(registry, kStart) == EndpointState::Leaving));
}

BOOST_AUTO_TEST_CASE(RestartWithTheSameAddressStartsAfresh)
{
  auto registry = Registry{};
  ApplyAnnouncement(registry, Say(1, 90, true), kStart);
  NoteSent(registry, kEngine, 100, kStart);
  for (auto i = 0; i < 3; ++i) {
    NoteCallResult(registry, kEngine, CallResult::Failed, kStart);
  }

  const auto outcome = ApplyAnnouncement(registry, Say(2, 1), kStart);
  BOOST_TEST((KindsOf(outcome.mChanges) ==
              std::vector{ EndpointChangeKind::Restarted }));
  const auto view = ViewAt(registry, kEngine, kStart).value();
  BOOST_TEST((view.mState == EndpointState::Active));
  BOOST_TEST((view.mSent == SentSinceReport{}));
  const auto old = ApplyAnnouncement(registry, Say(1, 91), kStart);
  BOOST_TEST(!old.mAnswer.mAccepted);
  BOOST_TEST(ViewAt(registry, kEngine, kStart)->mIncarnation == 2U);
}

BOOST_AUTO_TEST_CASE(AnotherEndpointAtTheSameAddressDisplacesTheFirst)
{
  auto registry = Registry{};
  ApplyAnnouncement(registry, Say(1, 1), kStart);
  auto other = Say(1, 1);
  other.mEndpoint = { "engine-2" };

  const auto outcome = ApplyAnnouncement(registry, other, kStart);
  BOOST_TEST((KindsOf(outcome.mChanges) ==
              std::vector{ EndpointChangeKind::Joined,
                           EndpointChangeKind::AddressTakenOver }));
  ApplyAnnouncement(registry, Say(1, 2), kStart);
  BOOST_TEST((StateOf(registry, kStart) == EndpointState::Suspect));
  auto moved = Say(1, 3);
  moved.mAddress = "127.0.0.1:9002";
  ApplyAnnouncement(registry, moved, kStart);
  BOOST_TEST((StateOf(registry, kStart) == EndpointState::Active));
}

BOOST_AUTO_TEST_CASE(DrainByOperatorLastsUntilTheNextIncarnation)
{
  auto registry = Registry{};
  ApplyAnnouncement(registry, Say(1, 1), kStart);

  BOOST_TEST(SetDrained(registry, kEngine, true).size() == 1U);
  BOOST_TEST(SetDrained(registry, kEngine, true).empty());
  BOOST_TEST(SetDrained(registry, { "unknown" }, true).empty());
  ApplyAnnouncement(registry, Say(1, 2), kStart);
  BOOST_TEST((StateOf(registry, kStart) == EndpointState::Leaving));
  ApplyAnnouncement(registry, Say(2, 1), kStart);
  BOOST_TEST((StateOf(registry, kStart) == EndpointState::Active));
}

BOOST_AUTO_TEST_CASE(SentSinceReportIsCountedFromTheTimeOfTheReport)
{
  auto registry = Registry{};
  ApplyAnnouncement(registry, Say(1, 1), kStart);
  NoteSent(registry, kEngine, 100, kStart + Millis(100));
  NoteSent(registry, kEngine, 200, kStart + Millis(900));

  auto report = Say(1, 2);
  report.mLoadAge = Millis(500);
  ApplyAnnouncement(registry, report, kStart + Millis(1000));
  auto view = ViewAt(registry, kEngine, kStart + Millis(1100)).value();
  BOOST_TEST((view.mSent == SentSinceReport{ 1, 200 }));
  BOOST_TEST((view.mReportAge == Millis(600)));
  BOOST_TEST(view.mOwnStreams == 2);
  BOOST_TEST(view.mOwnTokens == 300);

  NoteEnded(registry, kEngine, 100);
  NoteEnded(registry, kEngine, 200);
  NoteEnded(registry, kEngine, 200);
  view = ViewAt(registry, kEngine, kStart + Millis(1100)).value();
  BOOST_TEST(view.mOwnStreams == 0);
  BOOST_TEST(view.mOwnTokens == 0);
}

BOOST_AUTO_TEST_CASE(SentSpansAreBoundedAndLoseNoCount)
{
  auto registry = Registry{};
  ApplyAnnouncement(registry, Say(1, 1), kStart);
  for (auto i = 0; i < 2000; ++i) {
    NoteSent(registry, kEngine, 1, kStart + i * Millis(60));
  }
  BOOST_TEST(registry.mEntries.at(kEngine).mSent.size() <= 256U);
  const auto view = ViewAt(registry, kEngine, kStart).value();
  BOOST_TEST(view.mSent.mStreams == 2000);
}

BOOST_AUTO_TEST_CASE(OwnPauseIsNotCountedAsSilence)
{
  auto registry = Registry{};
  ApplyAnnouncement(registry, Say(1, 1), kStart);
  TickRegistry(registry, kStart + Millis(200));

  const auto later = kStart + Seconds(30);
  BOOST_TEST(TickRegistry(registry, later).empty());
  BOOST_TEST((StateOf(registry, later) == EndpointState::Active));
  auto changes = std::vector<EndpointChange>{};
  for (auto at = later; at <= later + Millis(3000); at += Millis(200)) {
    for (auto& it : TickRegistry(registry, at)) {
      changes.push_back(it);
    }
  }
  BOOST_TEST(
    (KindsOf(changes) == std::vector{ EndpointChangeKind::Suspected }));
}

BOOST_AUTO_TEST_CASE(
  TickReportsSuspicionAndRecoveryOnceAndRemovesSilentEndpoints)
{
  auto registry = Registry{};
  registry.mSettings.mOwnPauseLimit = Seconds(10000);
  ApplyAnnouncement(registry, Say(1, 1), kStart);
  BOOST_TEST(TickRegistry(registry, kStart + Millis(1)).empty());
  BOOST_TEST((KindsOf(TickRegistry(registry, kStart + Seconds(4))) ==
              std::vector{ EndpointChangeKind::Suspected }));
  BOOST_TEST(TickRegistry(registry, kStart + Seconds(5)).empty());
  ApplyAnnouncement(registry, Say(1, 2), kStart + Seconds(6));
  BOOST_TEST((KindsOf(TickRegistry(registry, kStart + Seconds(6))) ==
              std::vector{ EndpointChangeKind::Recovered }));
  BOOST_TEST((KindsOf(TickRegistry(registry, kStart + Seconds(1000))) ==
              std::vector{ EndpointChangeKind::Suspected,
                           EndpointChangeKind::Forgotten }));
  BOOST_TEST(registry.mEntries.empty());
}

BOOST_AUTO_TEST_CASE(TheNumberOfEndpointsIsBounded)
{
  auto registry = Registry{};
  registry.mSettings.mMaxEndpoints = 2;
  const auto join = [&](const std::string& aId, TimePoint aNow) {
    auto it = Say(1, 1);
    it.mEndpoint = { aId };
    it.mAddress = "127.0.0.1:" + std::to_string(1000 + aId.back());
    return ApplyAnnouncement(registry, it, aNow);
  };
  join("a", kStart);
  join("b", kStart + Millis(1000));
  const auto refused = join("c", kStart + Millis(2000));
  BOOST_TEST(!refused.mAnswer.mAccepted);
  BOOST_TEST(
    (KindsOf(refused.mChanges) == std::vector{ EndpointChangeKind::Refused }));
  BOOST_TEST(join("c", kStart + Millis(3000)).mIsNews);
  BOOST_TEST(!ViewAt(registry, { "a" }, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(LearnedLoadKeepsTheEndpointAliveAndIdentityAsItWas)
{
  auto registry = Registry{};
  ApplyAnnouncement(registry, Say(2, 1), kStart);
  const auto later = kStart + Millis(2900);
  auto load = LearnedLoad{ kEngine, 1, 9, {}, Millis(400), Millis(600) };
  BOOST_TEST(!LearnLoad(registry, load, later));
  load.mIncarnation = 2;
  BOOST_TEST(LearnLoad(registry, load, later));
  BOOST_TEST(!LearnLoad(registry, load, later));

  const auto view = ViewAt(registry, kEngine, kStart + Millis(3000)).value();
  BOOST_TEST((view.mState == EndpointState::Active));
  BOOST_TEST((view.mReportAge == Millis(700)));
  // NOTE: an identity with a lower sequence than the load's is still applied.
  BOOST_TEST(
    LearnEndpoint(registry, Say(2, 3, true), later, Millis(0)).mIsNews);
  BOOST_TEST((StateOf(registry, later) == EndpointState::Leaving));
}

BOOST_AUTO_TEST_CASE(LearnedDrainsAreOrderedByTheirVersion)
{
  auto registry = Registry{};
  ApplyAnnouncement(registry, Say(1, 1), kStart);
  BOOST_TEST(LearnDrain(registry, kEngine, 2, true).size() == 1U);
  BOOST_TEST(LearnDrain(registry, kEngine, 1, false).empty());
  BOOST_TEST((StateOf(registry, kStart) == EndpointState::Leaving));
  BOOST_TEST(LearnDrain(registry, kEngine, 3, false).size() == 1U);
  BOOST_TEST((StateOf(registry, kStart) == EndpointState::Active));
}

BOOST_AUTO_TEST_CASE(ReorderedAndDuplicateAnnouncementsConvergeToTheNewest)
{
  for (const auto seed : { 1U, 2U, 3U, 5U, 8U, 13U, 21U, 34U }) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto random = std::mt19937(seed);
      auto all = std::vector<Announcement>{};
      for (auto i = 0U; i < 60; ++i) {
        all.push_back(Say(1 + random() % 3, random() % 20, random() % 2 == 0));
      }
      // NOTE: announcements with the same incarnation and sequence are
      // identical.
      for (auto& it : all) {
        it.mIsLeaving = (it.mSequence + it.mIncarnation) % 3 == 0;
      }
      const auto newest = *std::max_element(
        all.begin(), all.end(), [](const auto& aLeft, const auto& aRight) {
          return std::pair(aLeft.mIncarnation, aLeft.mSequence) <
                 std::pair(aRight.mIncarnation, aRight.mSequence);
        });
      std::shuffle(all.begin(), all.end(), random);
      auto registry = Registry{};
      for (const auto& it : all) {
        ApplyAnnouncement(registry, it, kStart);
      }
      BOOST_TEST((registry.mEntries.at(kEngine).mLatest == newest));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
