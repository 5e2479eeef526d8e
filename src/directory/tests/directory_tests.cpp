#include "directory/endpointtable.h"
#include "directory/endpointview.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace cuminslip;
using namespace cuminslip::directory;

namespace {

constexpr auto kStart = TimePoint{ Seconds(1000) };

auto
MakeNotice(std::string aId, std::uint64_t aSequence) -> EndpointNotice
{
  auto notice = EndpointNotice{};
  notice.mId = { std::move(aId) };
  notice.mService = "engines";
  notice.mAddress = "10.0.0.1:80";
  notice.mFailureDomain = { "a" };
  notice.mIncarnation = 5;
  notice.mSequence = aSequence;
  return notice;
}

auto
With(EndpointNotice aNotice, NoticeState aState) -> EndpointNotice
{
  aNotice.mState = aState;
  return aNotice;
}

auto
EntryOf(const EndpointTable& aTable, const char* aId) -> const TableEntry&
{
  const auto it = std::find_if(
    aTable.mEntries.begin(), aTable.mEntries.end(), [&](const auto& aItem) {
      return aItem.first.mId.mValue == aId;
    });
  BOOST_REQUIRE((it != aTable.mEntries.end()));
  return it->second;
}

auto
StateOf(const EndpointTable& aTable, const char* aId) -> NoticeState
{
  return EntryOf(aTable, aId).mNotice.mState;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DirectoryTests)

BOOST_AUTO_TEST_CASE(OnlyChangesAreSentToFollowers)
{
  auto table = EndpointTable{};
  BOOST_TEST(
    (TakeNotice(table, MakeNotice("e", 1), kStart) == NoticeResult::News));
  const auto change = table.mLastChange;
  BOOST_TEST(
    (TakeNotice(table, MakeNotice("e", 2), kStart) == NoticeResult::Refreshed));
  BOOST_TEST(RowsChangedAfter(table, change).empty());
  BOOST_TEST(RowsChangedAfter(table, 0).size() == 1U);
}

// Instances that are not told of an endpoint that became cold again send it
// more than it can take. That it became warmer is no news, as each of its
// heartbeats would be.
BOOST_AUTO_TEST_CASE(OnlyALongerWarmUpTimeIsSentToFollowers)
{
  const auto cold = [](std::uint64_t aSequence, int aMillis) {
    auto notice = MakeNotice("e", aSequence);
    notice.mRemainingWarmUpTime = Millis(aMillis);
    return notice;
  };
  auto table = EndpointTable{};
  TakeNotice(table, cold(1, 3000), kStart);
  const auto second = kStart + Millis(1200);
  BOOST_TEST(
    (TakeNotice(table, cold(2, 1800), second) == NoticeResult::Refreshed));
  const auto third = kStart + Millis(2400);
  BOOST_TEST((TakeNotice(table, cold(3, 1800), third) == NoticeResult::News),
             "became cold again in between");
  BOOST_TEST((TakeNotice(table, cold(4, 0), third + Millis(2000)) ==
              NoticeResult::Refreshed));
  BOOST_TEST((TakeNotice(table, cold(5, 10), third + Millis(3200)) ==
              NoticeResult::News));
}

BOOST_AUTO_TEST_CASE(ADelayedHeartbeatDoesNotUndoADrain)
{
  auto table = EndpointTable{};
  TakeNotice(table, MakeNotice("e", 1), kStart);
  TakeNotice(table, With(MakeNotice("e", 3), NoticeState::Draining), kStart);
  BOOST_TEST(
    (TakeNotice(table, MakeNotice("e", 2), kStart) == NoticeResult::Stale));
  BOOST_TEST((StateOf(table, "e") == NoticeState::Draining));
}

BOOST_AUTO_TEST_CASE(AHeartbeatAfterALeaveIsStale)
{
  auto table = EndpointTable{};
  TakeNotice(table, MakeNotice("e", 1), kStart);
  BOOST_TEST((ApplyLeave(table, { "e" }, 0, kStart) == NoticeResult::News));
  BOOST_TEST(
    (TakeNotice(table, MakeNotice("e", 9), kStart) == NoticeResult::Stale));
  BOOST_TEST((StateOf(table, "e") == NoticeState::Gone));
}

BOOST_AUTO_TEST_CASE(ARestartedEndpointWithTheSameIdIsAddedAgain)
{
  auto table = EndpointTable{};
  TakeNotice(table, MakeNotice("e", 70), kStart);
  ApplyLeave(table, { "e" }, 5, kStart);
  auto restarted = MakeNotice("e", 1);
  restarted.mIncarnation = 6;
  BOOST_TEST((TakeNotice(table, restarted, kStart) == NoticeResult::News));
  BOOST_TEST((StateOf(table, "e") == NoticeState::Ready));
  BOOST_TEST((ApplyLeave(table, { "e" }, 5, kStart) == NoticeResult::Stale),
             "a leave of the previous incarnation");
  BOOST_TEST((StateOf(table, "e") == NoticeState::Ready));
}

BOOST_AUTO_TEST_CASE(AnAddressBelongsToTheLatestIncarnation)
{
  auto table = EndpointTable{};
  TakeNotice(table, MakeNotice("old", 1), kStart);
  auto later = MakeNotice("new", 1);
  later.mIncarnation = 8;
  later.mService = "other";
  TakeNotice(table, later, kStart);
  BOOST_TEST(EntryOf(table, "old").mIsSilent);

  BOOST_TEST(
    (TakeNotice(table, MakeNotice("old", 2), kStart) == NoticeResult::Stale),
    "a delayed heartbeat of the earlier incarnation");
  BOOST_TEST(EntryOf(table, "old").mIsSilent);
  BOOST_TEST((StateOf(table, "new") == NoticeState::Ready));
  BOOST_TEST(!EntryOf(table, "new").mIsSilent);

  TakeNotice(table, MakeNotice("older", 1), kStart);
  BOOST_TEST(EntryOf(table, "older").mIsSilent,
             "a delayed heartbeat that is the first one heard");
  BOOST_TEST(!EntryOf(table, "new").mIsSilent);
}

// Review case 8: a heartbeat of another writer with the address of an endpoint
// took that endpoint out for good.
BOOST_AUTO_TEST_CASE(AnEndpointThatGoesOnKeepsItsAddress)
{
  auto table = EndpointTable{};
  TakeNotice(table, MakeNotice("e", 1), kStart);
  auto other = MakeNotice("monitor", 1);
  other.mIncarnation = 9;
  other.mService = "host-monitor";
  TakeNotice(table, other, kStart + Millis(1000));
  TakeNotice(table, MakeNotice("e", 2), kStart + Millis(1200));
  TakeNotice(table, MakeNotice("e", 3), kStart + Millis(2400));
  BOOST_TEST((StateOf(table, "e") == NoticeState::Ready));
  BOOST_TEST(!EntryOf(table, "e").mIsSilent);

  TickTable(table, kStart + Millis(5000));
  TakeNotice(table, MakeNotice("e", 4), kStart + Millis(5000));
  other.mSequence = 2;
  TakeNotice(table, other, kStart + Millis(5100));
  BOOST_TEST(!EntryOf(table, "e").mIsSilent, "displaced once only");
}

// A heartbeat of another writer with the id of an endpoint had the same effect.
BOOST_AUTO_TEST_CASE(AnEndpointThatGoesOnKeepsItsId)
{
  for (const auto* service : { "engines", "host-monitor" }) {
    auto table = EndpointTable{};
    TakeNotice(table, MakeNotice("e", 1), kStart);
    auto other = MakeNotice("e", 1);
    other.mIncarnation = 9;
    other.mService = service;
    TakeNotice(table, other, kStart + Millis(100));
    auto now = kStart;
    for (auto n = 2; n < 8; ++n) {
      now += Millis(1200);
      TickTable(table, now);
      TakeNotice(table, MakeNotice("e", static_cast<std::uint64_t>(n)), now);
    }
    const auto& entry = table.mEntries.at(ClaimOf(MakeNotice("e", 1)));
    BOOST_TEST(entry.mNotice.mIncarnation == 5U);
    BOOST_TEST(!entry.mIsSilent);
  }
}

// A leave of another writer, which does not name the incarnation, ended it.
BOOST_AUTO_TEST_CASE(AnEndpointThatGoesOnHasNotLeft)
{
  auto table = EndpointTable{};
  TakeNotice(table, MakeNotice("e", 1), kStart);
  ApplyLeave(table, { "e" }, 0, kStart);
  auto now = kStart;
  for (auto n = 2; n < 8; ++n) {
    now += Millis(1200);
    TakeNotice(table, MakeNotice("e", static_cast<std::uint64_t>(n)), now);
    if (now <= kStart + Millis(3600)) {
      BOOST_TEST((StateOf(table, "e") == NoticeState::Gone));
    }
  }
  BOOST_TEST((StateOf(table, "e") == NoticeState::Ready));
}

// Names that nobody configured filled the table until endpoints were refused.
BOOST_AUTO_TEST_CASE(ManyNamesLeaveRoomForOthers)
{
  auto table = EndpointTable{};
  table.mSettings.mMaxEndpoints = 50;
  const auto known = MakeNotice("known", 1);
  TakeNotice(table, known, kStart);
  auto heard = known;
  heard.mSequence = 2;
  TakeNotice(table, heard, kStart + Millis(1200));
  for (auto n = 0; n < 500; ++n) {
    auto other = MakeNotice("other-" + std::to_string(n), 1);
    other.mService = n % 2 == 0 ? "one" : "service-" + std::to_string(n);
    other.mAddress = "10.0.1.1:" + std::to_string(n + 1);
    TakeNotice(table, other, kStart + Millis(1200));
  }
  auto late = MakeNotice("late", 1);
  late.mAddress = "10.0.0.2:80";
  BOOST_TEST(
    (TakeNotice(table, late, kStart + Millis(1200)) == NoticeResult::News));
  BOOST_TEST(!EntryOf(table, "known").mIsSilent);
  BOOST_TEST(table.mEntries.size() <= 2 * table.mSettings.mMaxEndpoints);
}

BOOST_AUTO_TEST_CASE(SilenceIsReportedAndEndsWithAHeartbeat)
{
  auto table = EndpointTable{};
  TakeNotice(table, MakeNotice("e", 1), kStart);
  BOOST_TEST(!TickTable(table, kStart + Millis(3600)));
  BOOST_TEST(TickTable(table, kStart + Millis(3601)));
  BOOST_TEST(RowsChangedAfter(table, 1).front().mIsSilent);
  BOOST_TEST((TakeNotice(table, MakeNotice("e", 2), kStart + Millis(4000)) ==
              NoticeResult::News));
  BOOST_TEST(!RowsChangedAfter(table, 2).front().mIsSilent);
}

BOOST_AUTO_TEST_CASE(ExpiredEndpointsAreRemoved)
{
  auto table = EndpointTable{};
  TakeNotice(table, MakeNotice("e", 1), kStart);
  TickTable(table, kStart + Seconds(121));

  BOOST_TEST(table.mEntries.empty());
}

BOOST_AUTO_TEST_CASE(AFullTableRefusesNewEndpoints)
{
  auto table = EndpointTable{};
  table.mSettings.mMaxEndpoints = 1;
  TakeNotice(table, MakeNotice("a", 1), kStart);
  auto other = MakeNotice("b", 1);
  other.mAddress = "10.0.0.2:80";

  BOOST_TEST((TakeNotice(table, other, kStart) == NoticeResult::Refused));
}

BOOST_AUTO_TEST_CASE(TheViewKeepsTheNewestNoticeOfAllSources)
{
  auto view = EndpointView{};
  ApplyUpdate(
    view,
    { "c1",
      true,
      { { With(MakeNotice("e", 4), NoticeState::Draining), false } } },
    kStart);
  ApplyUpdate(view, { "c2", true, { { MakeNotice("e", 3), false } } }, kStart);

  BOOST_TEST(
    (view.mEntries.at({ "e" }).mNotice.mState == NoticeState::Draining));
}

BOOST_AUTO_TEST_CASE(AnEndpointIsSilentWhenEveryReachableSourceReportsIt)
{
  auto view = EndpointView{};
  ApplyUpdate(view, { "c1", true, { { MakeNotice("e", 1), true } } }, kStart);
  ApplyUpdate(view, { "c2", true, { { MakeNotice("e", 1), false } } }, kStart);
  const auto& entry = view.mEntries.at({ "e" });
  BOOST_TEST(!IsSilent(view, entry, kStart),
             "one source still receives its heartbeats");
  RemoveSource(view, "c2", kStart);
  BOOST_TEST(IsSilent(view, entry, kStart),
             "the source that received them is disconnected");
  RemoveSource(view, "c1", kStart);
  BOOST_TEST(!IsSilent(view, entry, kStart), "no source is connected");
}

// Review case 6: after the control instances had restarted, an endpoint that
// had crashed before counted as sound. A source that no longer says anything of
// an endpoint neither speaks for it nor against it.
BOOST_AUTO_TEST_CASE(ARestartOfASourceDoesNotEndSilence)
{
  auto view = EndpointView{};
  ApplyUpdate(view, { "c1", true, { { MakeNotice("e", 1), true } } }, kStart);
  ApplyUpdate(view, { "c1", true, {} }, kStart + Millis(1000));
  const auto& entry = view.mEntries.at({ "e" });

  BOOST_TEST(IsSilent(view, entry, kStart + Millis(1000)));
  ApplyUpdate(view,
              { "c1", false, { { MakeNotice("e", 2), false } } },
              kStart + Millis(2000));
  BOOST_TEST(!IsSilent(view, entry, kStart + Millis(2000)));
}

BOOST_AUTO_TEST_CASE(AnEndpointThatARestartedSourceNeverHearsBecomesSilent)
{
  auto view = EndpointView{};
  ApplyUpdate(view, { "c1", true, { { MakeNotice("e", 1), false } } }, kStart);
  ApplyUpdate(view, { "c1", true, {} }, kStart);
  const auto& entry = view.mEntries.at({ "e" });
  BOOST_TEST(!IsSilent(view, entry, kStart + Millis(3600)));
  BOOST_TEST(!HoldsAddress(view, entry, kStart), "nobody vouches for it");
  BOOST_TEST(IsSilent(view, entry, kStart + Millis(3601)));
}

// Review case 6: nothing but the address tells the helpers of a prompt from
// endpoints of another service.
BOOST_AUTO_TEST_CASE(AnAddressWithAnotherEndpointIsNotHeld)
{
  auto view = EndpointView{};
  ApplyUpdate(view, { "c1", true, { { MakeNotice("e", 1), false } } }, kStart);
  const auto now = kStart + Seconds(10);
  BOOST_TEST(HoldsAddress(view, view.mEntries.at({ "e" }), now));
  auto other = MakeNotice("other", 1);
  other.mService = "other";
  ApplyUpdate(view, { "c1", false, { { other, false } } }, now);
  const auto& former = view.mEntries.at({ "e" });
  BOOST_TEST(!HoldsAddress(view, former, now), "at once");
  const auto silence =
    EndpointsUpdate{ "c1", false, { { MakeNotice("e", 1), true } } };
  ApplyUpdate(view, silence, now);
  const auto& present = view.mEntries.at({ "other" });
  BOOST_TEST(!HoldsAddress(view, present, now + Millis(7199)),
             "the former one was heard until now");
  BOOST_TEST(HoldsAddress(view, present, now + Millis(7200)));
}

// A first heartbeat may be a delayed one of an endpoint that is gone.
BOOST_AUTO_TEST_CASE(OneHeartbeatDoesNotHoldAnAddress)
{
  auto view = EndpointView{};
  ApplyUpdate(view, { "c1", true, { { MakeNotice("e", 1), false } } }, kStart);
  const auto& entry = view.mEntries.at({ "e" });
  BOOST_TEST(!HoldsAddress(view, entry, kStart + Millis(3599)));
  BOOST_TEST(HoldsAddress(view, entry, kStart + Millis(3600)));

  RemoveSource(view, "c1", kStart + Seconds(5));
  BOOST_TEST(!HoldsAddress(view, entry, kStart + Seconds(5)));
  ApplyUpdate(view, { "c1", false, {} }, kStart + Seconds(6));
  BOOST_TEST(HoldsAddress(view, entry, kStart + Seconds(6)),
             "the source heard it all the time");
  ApplyUpdate(view,
              { "c1", true, { { MakeNotice("e", 2), false } } },
              kStart + Seconds(7));
  BOOST_TEST(!HoldsAddress(view, entry, kStart + Seconds(7)),
             "the source has restarted");
}

// Review case 6: after all control instances had restarted, an endpoint that
// another one's address claim contradicts is not used first.
BOOST_AUTO_TEST_CASE(AnUnknownEndpointGivesWayToAnotherAtItsAddress)
{
  auto view = EndpointView{};
  ApplyUpdate(view, { "c1", true, { { MakeNotice("e", 1), false } } }, kStart);
  ApplyUpdate(view, { "c1", true, {} }, kStart);
  const auto& entry = view.mEntries.at({ "e" });
  BOOST_TEST(!IsSilent(view, entry, kStart));
  auto other = MakeNotice("other", 1);
  other.mService = "other";
  ApplyUpdate(view, { "c1", false, { { other, false } } }, kStart);
  BOOST_TEST(IsSilent(view, entry, kStart));
}

BOOST_AUTO_TEST_CASE(ARetractionReplacesANewerNotice)
{
  auto view = EndpointView{};
  const auto gone = With(MakeNotice("e", 2), NoticeState::Gone);
  ApplyUpdate(view, { "c1", true, { { gone, false } } }, kStart);
  ApplyUpdate(view, { "c2", true, { { MakeNotice("e", 3), false } } }, kStart);
  const auto& entry = view.mEntries.at({ "e" });
  BOOST_TEST((entry.mNotice.mState == NoticeState::Gone), "c2 knows less");
  ApplyUpdate(view, { "c1", false, { { MakeNotice("e", 3), false } } }, kStart);
  BOOST_TEST((entry.mNotice.mState == NoticeState::Ready));
}

BOOST_AUTO_TEST_CASE(WhatAllSourcesReportForLongReplacesANewerNotice)
{
  auto view = EndpointView{};
  const auto gone = With(MakeNotice("e", 2), NoticeState::Gone);
  ApplyUpdate(view, { "c1", true, { { gone, false } } }, kStart);
  ApplyUpdate(view, { "c1", true, {} }, kStart);
  ApplyUpdate(view, { "c1", false, { { MakeNotice("e", 3), false } } }, kStart);
  RefreshView(view, kStart + Millis(5399));
  const auto& entry = view.mEntries.at({ "e" });
  BOOST_TEST((entry.mNotice.mState == NoticeState::Gone));
  RefreshView(view, kStart + Millis(5400));
  BOOST_TEST((entry.mNotice.mState == NoticeState::Ready));
}

BOOST_AUTO_TEST_CASE(AClaimOfAnotherServiceDoesNotTakeAnId)
{
  auto view = EndpointView{};
  SetServices(view, { "engines" });
  auto other = MakeNotice("e", 1);
  other.mService = "host-monitor";
  other.mIncarnation = 9;
  ApplyUpdate(view, { "c1", true, { { other, false } } }, kStart);
  ApplyUpdate(view, { "c1", false, { { MakeNotice("e", 1), false } } }, kStart);
  BOOST_TEST(view.mEntries.at({ "e" }).mNotice.mService == "engines");
  SetServices(view, { "host-monitor" });
  BOOST_TEST(view.mEntries.at({ "e" }).mNotice.mService == "host-monitor");
}

BOOST_AUTO_TEST_CASE(EndpointsThatAreGoneForLongAreForgotten)
{
  auto view = EndpointView{};
  const auto gone = With(MakeNotice("e", 2), NoticeState::Gone);
  ApplyUpdate(
    view,
    { "c1", true, { { gone, false }, { MakeNotice("f", 1), false } } },
    kStart);
  BOOST_TEST(PruneView(view, kStart + Seconds(120)).empty());
  const auto removed = PruneView(view, kStart + Seconds(121));
  BOOST_TEST((removed == std::vector<EndpointId>{ { "e" } }));
  BOOST_TEST(view.mEntries.size() == 1U);
  BOOST_TEST(view.mClaimsOfAddress.at("10.0.0.1:80") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
