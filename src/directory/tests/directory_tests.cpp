#include "directory/endpointtable.h"
#include "directory/endpointview.h"

#include <boost/test/unit_test.hpp>

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
StateOf(const EndpointTable& aTable, const char* aId) -> NoticeState
{
  return aTable.mEntries.at({ aId }).mNotice.mState;
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
  auto reborn = MakeNotice("e", 1);
  reborn.mIncarnation = 6;
  BOOST_TEST((TakeNotice(table, reborn, kStart) == NoticeResult::News));
  BOOST_TEST((StateOf(table, "e") == NoticeState::Ready));
  BOOST_TEST((ApplyLeave(table, { "e" }, 5, kStart) == NoticeResult::Stale),
             "the leave of its former start");
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
  BOOST_TEST((StateOf(table, "old") == NoticeState::Gone));

  BOOST_TEST(
    (TakeNotice(table, MakeNotice("old", 2), kStart) == NoticeResult::Stale),
    "a heartbeat held up since before");
  BOOST_TEST((StateOf(table, "new") == NoticeState::Ready));
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
  BOOST_TEST(table.mEndpointsByAddress.empty());
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
      { { With(MakeNotice("e", 4), NoticeState::Draining), false } } });
  ApplyUpdate(view, { "c2", true, { { MakeNotice("e", 3), false } } });

  BOOST_TEST(
    (view.mEntries.at({ "e" }).mNotice.mState == NoticeState::Draining));
}

BOOST_AUTO_TEST_CASE(AnEndpointIsSilentWhenEveryReachableSourceReportsIt)
{
  auto view = EndpointView{};
  ApplyUpdate(view, { "c1", true, { { MakeNotice("e", 1), true } } });
  ApplyUpdate(view, { "c2", true, { { MakeNotice("e", 1), false } } });
  const auto& entry = view.mEntries.at({ "e" });
  BOOST_TEST(!IsSilent(view, entry), "one still hears it");
  RemoveSource(view, "c2");
  BOOST_TEST(IsSilent(view, entry), "the one that heard it is not reached");
  RemoveSource(view, "c1");
  BOOST_TEST(!IsSilent(view, entry), "nobody can say");
}

BOOST_AUTO_TEST_CASE(ACompleteUpdateReplacesWhatItsSourceReported)
{
  auto view = EndpointView{};
  ApplyUpdate(view, { "c1", true, { { MakeNotice("e", 1), true } } });
  ApplyUpdate(view, { "c1", true, {} });

  BOOST_TEST(!IsSilent(view, view.mEntries.at({ "e" })));
}

BOOST_AUTO_TEST_SUITE_END()
