#include "directory/endpointtable.h"
#include "directory/endpointview.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <random>

using namespace cuminslip;
using namespace cuminslip::directory;

namespace {

constexpr auto kStep = Millis(100);
constexpr auto kHeartbeat = Millis(1200);
constexpr auto kAddressReuse = Millis(2000);
/// After this long without a wrong notice and a restart nearby, an endpoint
/// that sends heartbeats must be in full use.
constexpr auto kRecovery = Millis(12000);
constexpr auto kDuration = Millis(90000);

/// Seeds of the runs; CUMINSLIP_SEEDS=FIRST:COUNT overrides them.
auto
Seeds() -> std::pair<std::uint64_t, std::uint64_t>
{
  auto seeds = std::pair<std::uint64_t, std::uint64_t>{ 1, 200 };
  if (const auto* text = std::getenv("CUMINSLIP_SEEDS")) {
    auto* rest = static_cast<char*>(nullptr);
    seeds.first = std::strtoull(text, &rest, 10);
    seeds.second = *rest == ':' ? std::strtoull(rest + 1, nullptr, 10) : 1;
  }
  return seeds;
}

/// One lifetime of an endpoint, which is at its address until it ends.
struct Runner
{
  EndpointNotice mNotice;
  TimePoint mStarted{};
  TimePoint mNextHeartbeat{};
  /// The last wrong notice that concerns it.
  TimePoint mDisturbed{};
  bool mWasInUse = false;
};

struct Control
{
  EndpointTable mTable;
  ChangeNumber mSeen = 0;
  bool mIsNew = true;
  TimePoint mDownUntil{};
  /// Until when the entry instance does not reach it.
  TimePoint mCutUntil{};
};

/// Three control instances, one entry instance, and endpoints of two services
/// at a few addresses.
struct World
{
  std::mt19937_64 mRandom;
  bool mNamesIncarnations = false;
  TimePoint mNow{ Seconds(1000) };
  std::array<Control, 3> mControls;
  EndpointView mView;
  std::map<std::string, Runner> mRunners;
  std::map<std::string, TimePoint> mFreeFrom;
  std::multimap<TimePoint, EndpointNotice> mDelayed;
  /// When a control instance last restarted or was cut off.
  TimePoint mRestarted{};
  int mNextId = 0;

  auto Draw(int aCount) -> int
  {
    return std::uniform_int_distribution<int>(0, aCount - 1)(mRandom);
  }

  /// All control instances that are up hear the notice, one of them first.
  auto Hear(const EndpointNotice& aNotice) -> bool
  {
    auto isHeard = false;
    for (auto& it : mControls) {
      if (it.mDownUntil > mNow) {
        continue;
      }
      const auto isLeave = aNotice.mAddress.empty();
      const auto result = isLeave ? ApplyLeave(it.mTable, aNotice.mId, 0, mNow)
                                  : TakeNotice(it.mTable, aNotice, mNow);
      isHeard |= result != NoticeResult::Refused;
    }
    return isHeard;
  }

  auto StartRunner(const std::string& aAddress) -> void
  {
    auto runner = Runner{};
    auto& notice = runner.mNotice;
    notice.mId = { "e" + std::to_string(mNextId++) };
    notice.mService = Draw(2) == 0 ? "a" : "b";
    notice.mAddress = aAddress;
    notice.mIncarnation = mNamesIncarnations ? Born() : 0;
    runner.mStarted = mNow;
    runner.mNextHeartbeat = mNow;
    mRunners.emplace(aAddress, runner);
  }

  auto Born() const -> Incarnation
  {
    return static_cast<Incarnation>(mNow.time_since_epoch() / kStep);
  }

  auto EndRunner(const std::string& aAddress) -> void
  {
    auto notice = mRunners.at(aAddress).mNotice;
    ++notice.mSequence;
    if (Draw(2) == 0) {
      mDelayed.emplace(mNow + Millis(Draw(8000)), notice);
    }
    mRunners.erase(aAddress);
    mFreeFrom[aAddress] = mNow + kAddressReuse + Millis(Draw(4000));
  }

  /// Sends a wrong notice that concerns an endpoint.
  auto Disturb(Runner& aRunner) -> void
  {
    auto notice = aRunner.mNotice;
    notice.mIncarnation = Born() + 10;
    aRunner.mDisturbed = mNow;
    switch (Draw(7)) {
      case 0:
        notice.mId = { "monitor" + std::to_string(Draw(3)) };
        notice.mService = "host-monitor";
        break;
      case 1:
        notice.mService = "host-monitor";
        break;
      case 2:
        break;
      case 3:
        notice.mIncarnation = aRunner.mNotice.mIncarnation;
        notice.mSequence = std::uint64_t{ 1 } << 60U;
        break;
      case 4:
        notice.mAddress.clear();
        break;
      case 5:
        notice.mService = notice.mService == "a" ? "b" : "a";
        notice.mAddress = "10.0.9.9:80";
        break;
      default:
        notice.mId = { "wrong" };
        notice.mService = notice.mService == "a" ? "b" : "a";
        notice.mSequence = mNextId++;
        break;
    }
    Hear(notice);
  }

  auto Restart(Control& aControl) -> void
  {
    aControl = {};
    aControl.mDownUntil = mNow + Millis(500 + Draw(1500));
    mRestarted = std::max(mRestarted, mNow);
  }

  /// What happens in one step of time.
  auto Advance() -> void
  {
    mNow += kStep;
    for (auto n = 0; n < 5; ++n) {
      const auto address = "10.0.0." + std::to_string(n) + ":80";
      const auto isFree = !mRunners.contains(address);
      if (isFree && mNow >= mFreeFrom[address]) {
        StartRunner(address);
      } else if (!isFree && Draw(400) == 0) {
        EndRunner(address);
      }
    }
    for (auto& [address, it] : mRunners) {
      if (mNow >= it.mNextHeartbeat) {
        ++it.mNotice.mSequence;
        it.mNextHeartbeat = mNow + (Hear(it.mNotice) ? kHeartbeat : kStep);
      }
      if (Draw(300) == 0) {
        Disturb(it);
      }
    }
    while (!mDelayed.empty() && mDelayed.begin()->first <= mNow) {
      const auto& notice = mDelayed.begin()->second;
      Hear(notice);
      if (const auto it = mRunners.find(notice.mAddress);
          it != mRunners.end()) {
        it->second.mDisturbed = mNow;
      }
      mDelayed.erase(mDelayed.begin());
    }
    if (Draw(300) == 0) {
      const auto isAll = Draw(2) == 0;
      const auto one = static_cast<std::size_t>(Draw(3));
      for (auto i = std::size_t{ 0 }; i < mControls.size(); ++i) {
        if (isAll || i == one) {
          Restart(mControls[i]);
        }
      }
    }
    if (Draw(300) == 0) {
      const auto until = mNow + Millis(Draw(5000));
      mControls[static_cast<std::size_t>(Draw(3))].mCutUntil = until;
      mRestarted = std::max(mRestarted, until);
    }
    Follow();
  }

  /// The entry instance follows the control instances that are up.
  auto Follow() -> void
  {
    for (auto i = std::size_t{ 0 }; i < mControls.size(); ++i) {
      auto& it = mControls[i];
      const auto source = "c" + std::to_string(i);
      TickTable(it.mTable, mNow);
      if (std::max(it.mDownUntil, it.mCutUntil) > mNow) {
        RemoveSource(mView, source, mNow);
        continue;
      }
      auto rows = RowsChangedAfter(it.mTable, it.mSeen);
      const auto isBack = !mView.mSources.contains(source);
      if (isBack || it.mIsNew || !rows.empty()) {
        ApplyUpdate(mView, { source, it.mIsNew, std::move(rows) }, mNow);
      }
      it.mIsNew = false;
      it.mSeen = it.mTable.mLastChange;
    }
    RefreshView(mView, mNow);
    PruneView(mView, mNow);
  }

  auto Check() -> void
  {
    for (const auto& [id, entry] : mView.mEntries) {
      const auto there = mRunners.find(entry.mNotice.mAddress);
      const auto isOther =
        there != mRunners.end() &&
        mView.mServices.contains(entry.mNotice.mService) &&
        there->second.mNotice.mService != entry.mNotice.mService;
      BOOST_REQUIRE_MESSAGE(!isOther || !HoldsAddress(mView, entry, mNow),
                            id.mValue << " of " << entry.mNotice.mService
                                      << " is used without its name at "
                                      << entry.mNotice.mAddress);
    }
    for (auto& [address, it] : mRunners) {
      const auto entry = mView.mEntries.find(it.mNotice.mId);
      const auto isReady =
        entry != mView.mEntries.end() &&
        ClaimOf(entry->second.mNotice) == ClaimOf(it.mNotice) &&
        entry->second.mNotice.mState == NoticeState::Ready;
      const auto isCalm =
        mNow > std::max({ it.mStarted, it.mDisturbed, mRestarted }) + kRecovery;
      BOOST_REQUIRE_MESSAGE(!isCalm || isReady,
                            it.mNotice.mId.mValue << " is not used");
      BOOST_REQUIRE_MESSAGE(!isCalm ||
                              (!IsSilent(mView, entry->second, mNow) &&
                               HoldsAddress(mView, entry->second, mNow)),
                            it.mNotice.mId.mValue << " is not in full use");
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(OutsideWritersTests)

// Random notices of other writers, control instances that restart or are cut
// off, addresses that other endpoints take over, delayed heartbeats: an
// endpoint that sends heartbeats stays in use, and none is used for another's
// service.
BOOST_AUTO_TEST_CASE(WrongNoticesNeitherEndNorReplaceEndpoints)
{
  const auto [first, count] = Seeds();
  for (auto seed = first; seed < first + count; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto world = World{};
      world.mRandom.seed(seed);
      world.mNamesIncarnations = seed % 2 == 0;
      SetServices(world.mView, { "a", "b" });
      const auto end = world.mNow + kDuration;
      while (world.mNow < end) {
        world.Advance();
        world.Check();
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
