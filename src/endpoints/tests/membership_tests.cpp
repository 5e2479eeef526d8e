#include "domainfake.h"

#include "endpoints/internal/membershipcodec.h"
#include "endpoints/internal/membershiprounds.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace cuminslip;
using namespace cuminslip::endpoints;

namespace {

const auto kEngine = EndpointId{ "engine-1" };

auto
StartDomain(std::size_t aInstances) -> FakeDomain
{
  auto domain = FakeDomain{};
  for (std::size_t i = 0; i < aInstances; ++i) {
    StartInstance(domain, i);
  }
  RunFor(domain, Seconds(3));
  return domain;
}

auto
StateAt(const FakeDomain& aDomain, std::size_t aInstance)
  -> std::optional<EndpointState>
{
  const auto view =
    ViewAt(aDomain.mInstances.at(AddressOf(aInstance)).mRegistry,
           kEngine,
           aDomain.mNow);
  return view ? std::optional(view->mState) : std::nullopt;
}

/// Number of running instances that see the engine in aState.
auto
CountSeeing(const FakeDomain& aDomain, EndpointState aState) -> std::size_t
{
  std::size_t n = 0;
  for (const auto& [address, instance] : aDomain.mInstances) {
    const auto view = ViewAt(instance.mRegistry, kEngine, aDomain.mNow);
    n += instance.mIsRunning && view && view->mState == aState ? 1 : 0;
  }
  return n;
}

auto
AliveAt(const FakeDomain& aDomain, std::size_t aInstance) -> std::size_t
{
  return AliveInstances(aDomain.mInstances.at(AddressOf(aInstance)).mMembership,
                        aDomain.mNow)
    .size();
}

/// Announces every 500 ms to one instance after the other. Announcements to
/// stopped instances are lost.
auto
KeepAnnouncing(FakeDomain& aDomain,
               std::size_t aEngine,
               std::uint64_t& aSequence,
               Millis aTime) -> void
{
  for (auto passed = Millis(0); passed < aTime; passed += Millis(500)) {
    ++aSequence;
    auto it = aDomain.mInstances.begin();
    std::advance(it, aSequence * 7 % aDomain.mInstances.size());
    if (it->second.mIsRunning) {
      Announce(aDomain, it->first, AnnouncementOf(aEngine, aSequence));
    }
    RunFor(aDomain, Millis(500));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipTests)

BOOST_AUTO_TEST_CASE(AllInstancesFindEachOtherThroughThreeAddresses)
{
  for (const std::size_t n : { 1U, 2U, 3U, 9U, 58U }) {
    BOOST_TEST_CONTEXT(n << " instances")
    {
      const auto domain = StartDomain(n);
      for (std::size_t i = 0; i < n; ++i) {
        BOOST_TEST(AliveAt(domain, i) == n);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(ArrivalAndLeavingAreKnownEverywhereWithinTwoSeconds)
{
  auto domain = StartDomain(58);
  Announce(domain, AddressOf(40), AnnouncementOf(1, 1));
  RunFor(domain, Seconds(2));
  BOOST_TEST(CountSeeing(domain, EndpointState::Active) == 58U);

  auto leaving = AnnouncementOf(1, 2);
  leaving.mIsLeaving = true;
  Announce(domain, AddressOf(7), leaving);
  RunFor(domain, Seconds(2));
  BOOST_TEST(CountSeeing(domain, EndpointState::Leaving) == 58U);
}

BOOST_AUTO_TEST_CASE(LoadsReachEveryInstanceWithinACycle)
{
  auto domain = StartDomain(58);
  Announce(domain, AddressOf(40), AnnouncementOf(1, 1));
  RunFor(domain, Seconds(2));
  // NOTE: every third announcement at this interval is relayed.
  auto report = AnnouncementOf(1, 3);
  report.mLoad.mRunningStreams = 33;
  Announce(domain, AddressOf(21), report);
  RunFor(domain, ShareDelay(SettingsOf(0, 1), 58));
  for (const auto& [address, instance] : domain.mInstances) {
    BOOST_TEST(
      instance.mRegistry.mEntries.at(kEngine).mLatest.mLoad.mRunningStreams ==
      33);
  }
}

BOOST_AUTO_TEST_CASE(EndpointAnnouncingToInstancesInTurnIsNeverSuspect)
{
  auto domain = StartDomain(58);
  auto sequence = std::uint64_t{ 0 };
  KeepAnnouncing(domain, 1, sequence, Seconds(20));
  for (const auto& [address, instance] : domain.mInstances) {
    const auto& changes = instance.mEndpointChanges;
    BOOST_TEST(std::none_of(changes.begin(), changes.end(), [](auto& aChange) {
      return aChange.mKind == EndpointChangeKind::Suspected;
    }));
  }
  const auto limit = ShareDelay(SettingsOf(0, 1), 58) + 3 * Millis(500);
  BOOST_TEST((limit < Seconds(6)));
  RunFor(domain, limit);
  BOOST_TEST(CountSeeing(domain, EndpointState::Suspect) == 58U);
}

BOOST_AUTO_TEST_CASE(DrainsAreKnownEverywhere)
{
  auto domain = StartDomain(9);
  Announce(domain, AddressOf(1), AnnouncementOf(1, 1));
  RunFor(domain, Millis(100));
  auto& instance = domain.mInstances.at(AddressOf(5));
  for (const auto isDrained : { true, false, true }) {
    SetDrained(instance.mRegistry, kEngine, isDrained);
    Emit(domain,
         instance,
         ShareEndpoint(
           instance.mMembership, instance.mRegistry, kEngine, domain.mNow));
    RunFor(domain, Millis(100));
    BOOST_TEST(CountSeeing(domain,
                           isDrained ? EndpointState::Leaving
                                     : EndpointState::Active) == 9U);
  }
}

BOOST_AUTO_TEST_CASE(RecoversFromLostAndDuplicateMessages)
{
  for (const auto seed : { 1U, 2U, 3U }) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto domain = StartDomain(20);
      domain.mRandom.seed(seed);
      domain.mLostPercent = 30;
      domain.mDuplicatePercent = 20;
      auto sequence = std::uint64_t{ 0 };
      KeepAnnouncing(domain, 1, sequence, Seconds(10));
      BOOST_TEST(CountSeeing(domain, EndpointState::Active) == 20U);
    }
  }
}

BOOST_AUTO_TEST_CASE(DomainPartitionHealsAndLateUpdatesAreIgnored)
{
  auto domain = StartDomain(8);
  Announce(domain, AddressOf(0), AnnouncementOf(1, 1));
  RunFor(domain, Seconds(1));
  const auto side = [](const std::string& aAddress) {
    return aAddress < AddressOf(4);
  };
  domain.mIsLinked = [side](const auto& aFrom, const auto& aTo) {
    return side(aFrom) == side(aTo);
  };
  auto sequence = std::uint64_t{ 1 };
  for (auto i = 0; i < 20; ++i) {
    // NOTE: the endpoint reaches only the first side of the partition, and
    // starts leaving during it.
    ++sequence;
    auto report = AnnouncementOf(1, sequence);
    report.mIsLeaving = sequence > 10;
    Announce(domain, AddressOf(sequence % 4), report);
    RunFor(domain, Millis(500));
  }
  BOOST_TEST(AliveAt(domain, 0) == 4U);
  BOOST_TEST((StateAt(domain, 0) == EndpointState::Leaving));
  BOOST_TEST((StateAt(domain, 6) == EndpointState::Suspect));

  domain.mIsLinked = [](const auto&, const auto&) { return true; };
  RunFor(domain, Seconds(8));
  BOOST_TEST(AliveAt(domain, 0) == 8U);
  BOOST_TEST(AliveAt(domain, 6) == 8U);
  BOOST_TEST((StateAt(domain, 6) == EndpointState::Leaving));
}

BOOST_AUTO_TEST_CASE(ARestartWithTheSameAddressReplacesTheInstance)
{
  auto domain = StartDomain(5);
  const auto owner = Owner{ { "entry-103" }, 1 };
  const auto& watcher = domain.mInstances.at(AddressOf(1)).mMembership;
  BOOST_TEST((OwnerStateAt(watcher, owner, domain.mNow) == OwnerState::Alive));

  domain.mInstances.at(AddressOf(3)).mIsRunning = false;
  RunFor(domain, Seconds(9));
  BOOST_TEST((OwnerStateAt(watcher, owner, domain.mNow) == OwnerState::Silent));
  BOOST_TEST(AliveAt(domain, 1) == 4U);

  StartInstance(domain, 3, 2);
  RunFor(domain, Seconds(2));
  BOOST_TEST((OwnerStateAt(watcher, owner, domain.mNow) == OwnerState::Gone));
  BOOST_TEST(AliveAt(domain, 1) == 5U);
  BOOST_TEST(AliveAt(domain, 3) == 5U);
}

BOOST_AUTO_TEST_CASE(StoppedInstanceIsGoneAtOnceAndNotRevivedByLateMessages)
{
  auto domain = StartDomain(5);
  auto& stopping = domain.mInstances.at(AddressOf(3));
  auto late = FakeDomain{};
  Emit(late,
       stopping,
       TickMembership(
         stopping.mMembership, stopping.mRegistry, domain.mNow + Seconds(1)));
  Emit(domain, stopping, StopMembership(stopping.mMembership, domain.mNow));
  stopping.mIsRunning = false;
  RunFor(domain, Millis(50));
  for (auto& it : late.mInFlight) {
    it.mAt = domain.mNow;
    domain.mInFlight.push_back(it);
  }
  RunFor(domain, Seconds(1));
  const auto& watcher = domain.mInstances.at(AddressOf(1)).mMembership;
  const auto owner = Owner{ { "entry-103" }, 1 };
  BOOST_TEST((OwnerStateAt(watcher, owner, domain.mNow) == OwnerState::Gone));
  BOOST_TEST((OwnerStateAt(watcher, { { "entry-103" }, 2 }, domain.mNow) ==
              OwnerState::Unknown));
  BOOST_TEST(AliveAt(domain, 1) == 4U);
}

BOOST_AUTO_TEST_CASE(ClockJumpCausesNoSuspicion)
{
  auto domain = StartDomain(4);
  Announce(domain, AddressOf(1), AnnouncementOf(1, 1));
  RunFor(domain, Millis(200));
  domain.mNow += Seconds(60);
  RunFor(domain, Millis(100));
  BOOST_TEST(AliveAt(domain, 2) == 4U);
  BOOST_TEST(CountSeeing(domain, EndpointState::Active) == 4U);
}

BOOST_AUTO_TEST_CASE(MessagesOfOtherDomainsAndBrokenBytesAreIgnored)
{
  auto domain = StartDomain(3);
  auto& instance = domain.mInstances.at(AddressOf(0));
  auto message = MembershipMessage{};
  message.mFailureDomain = 5;
  message.mInstances = { { { "x" }, 1, "1.1.1.1:1", {} } };
  const auto whole = EncodeMembershipMessage(message);
  auto bodies = std::vector<std::string>{ whole, "", "x", "\xff\xff\xff\xff" };
  for (std::size_t i = 0; i < whole.size(); ++i) {
    bodies.push_back(whole.substr(0, i));
  }
  for (const auto& bytes : bodies) {
    const auto output = ReceiveMembershipMessage(
      instance.mMembership, instance.mRegistry, bytes, domain.mNow);
    BOOST_TEST((output == MembershipOutput{}));
  }
}

BOOST_AUTO_TEST_CASE(MessagesSurviveTheRoundTrip)
{
  auto message = MembershipMessage{};
  message.mFailureDomain = 1;
  message.mSender = 2;
  message.mRound = 3;
  message.mDigest = 4;
  message.mHeartbeats = { { 5, 6, 7 } };
  message.mInstances = { { { "i" }, 8, "1.1.1.1:1", InstanceState::Stopped } };
  message.mWantsRecords = true;
  message.mStaleKeys = { 12, 13 };
  message.mKnown = { { 9, 10 } };
  auto identity = AnnouncementOf(1, 2);
  identity.mLoad = {};
  identity.mLoad.mTotalKvTokens = 5;
  identity.mLoadAge = Millis(0);
  identity.mChecksFencing = false;
  identity.mIsLeaving = true;
  message.mEndpoints = { { identity, Millis(40), 11, true } };
  const auto load = LoadReport{ 3, 4, 1, 1, 1023, 0, 0, 0 };
  message.mLoads = { { 1, 2, Millis(50), Millis(100), load, 63 } };

  const auto outcome = CollectOutcome<MembershipMessage>(
    [&] { return DecodeMembershipMessage(EncodeMembershipMessage(message)); });
  BOOST_TEST_REQUIRE(outcome.mValue.has_value());
  BOOST_TEST((*outcome.mValue == message));
}

BOOST_AUTO_TEST_CASE(LoadsAreRoundedConservativelyToAnEighthOfAnOctave)
{
  for (const std::int64_t tokens : { 0, 1, 7, 512, 90000, 1000000, 3000000 }) {
    auto message = MembershipMessage{};
    message.mLoads.resize(1);
    message.mLoads[0].mLoad.mFreeKvTokens = tokens;
    message.mLoads[0].mLoad.mQueuedPrefillTokens = tokens;
    const auto outcome = CollectOutcome<MembershipMessage>([&] {
      return DecodeMembershipMessage(EncodeMembershipMessage(message));
    });
    BOOST_TEST_REQUIRE(outcome.mValue.has_value());
    const auto& load = outcome.mValue->mLoads.at(0).mLoad;
    BOOST_TEST(load.mFreeKvTokens <= tokens);
    BOOST_TEST(load.mFreeKvTokens >= tokens * 9 / 10 - 1);
    BOOST_TEST(load.mQueuedPrefillTokens >= tokens);
    BOOST_TEST(load.mQueuedPrefillTokens <= tokens * 11 / 10 + 1);
  }
}

BOOST_AUTO_TEST_CASE(BytesStayWithinTheBudgetAtTheDesignSize)
{
  constexpr std::size_t kInstances = 58;
  constexpr std::size_t kEndpoints = 100;
  constexpr std::size_t kBudgetPerSecond = 4096;
  constexpr std::size_t kSeconds = 20;
  auto domain = StartDomain(kInstances);
  auto sequence = std::uint64_t{ 0 };
  const auto run = [&](std::size_t aHalfSeconds) {
    for (std::size_t i = 0; i < aHalfSeconds; ++i) {
      ++sequence;
      for (std::size_t e = 0; e < kEndpoints; ++e) {
        Announce(domain,
                 AddressOf((e * 31 + sequence * 17) % kInstances),
                 AnnouncementOf(e, sequence));
        RunFor(domain, Millis(5));
      }
    }
  };
  run(8);
  for (auto& [address, instance] : domain.mInstances) {
    instance.mBytesSent = 0;
    instance.mBytesReceived = 0;
  }
  run(2 * kSeconds);
  for (const auto& [address, instance] : domain.mInstances) {
    BOOST_TEST(instance.mBytesSent + instance.mBytesReceived <
               kBudgetPerSecond * kSeconds);
    BOOST_TEST(ViewsAt(instance.mRegistry, domain.mNow).size() == kEndpoints);
  }
  const auto& first = domain.mInstances.begin()->second;
  BOOST_TEST_MESSAGE("bytes sent per second: "
                     << first.mBytesSent / kSeconds
                     << ", received: " << first.mBytesReceived / kSeconds);
}

BOOST_AUTO_TEST_SUITE_END()
