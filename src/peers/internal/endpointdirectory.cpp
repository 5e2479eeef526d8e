#include "peers/internal/endpointdirectory.h"

#include "base/digest.h"
#include "peers/internal/rpcparts.h"
#include "peers/types/peersevents.h"

namespace cuminslip {

namespace {

using directory::EndpointNotice;
using directory::NoticeResult;
using directory::NoticeState;

/// Heartbeats heard here reach the other control instances after this long at
/// most. A quarter of the shortest heartbeat interval in use.
constexpr auto kShareInterval = Millis(300);
constexpr auto kShareLimit = Millis(1500);
/// An entry instance that has not asked for this long is not counted. Two
/// watches and their limit.
constexpr auto kEntryAge = Millis(6000);

auto
StateName(NoticeState aState) -> std::string_view
{
  switch (aState) {
    case NoticeState::Ready:
      return "ready";
    case NoticeState::Draining:
      return "draining";
    case NoticeState::Gone:
      return "gone";
  }
  return "unknown";
}

auto
LogNews(const directory::EndpointRow& aRow, std::string_view aSource) -> void
{
  const auto& notice = aRow.mNotice;
  LogEvent(kEndpointNoticeEvent,
           { { "endpoint", notice.mId.mValue },
             { "service", notice.mService },
             { "address", notice.mAddress },
             { "state", StateName(notice.mState) },
             { "is_silent", aRow.mIsSilent },
             { "incarnation", notice.mIncarnation },
             { "sequence", notice.mSequence },
             { "heard", aSource } });
}

auto
ShareNow(PeerContext& aContext) -> void
{
  aContext.mSharedAt = aContext.mNow();
  const auto notices = std::exchange(aContext.mUnshared, {});
  if (notices.empty()) {
    return;
  }
  for (const auto& address : OtherControls(aContext)) {
    auto request = aContext.mLinks.SessionAt(address).shareRequest();
    auto rows = request.initEndpoints(static_cast<unsigned>(notices.size()));
    auto n = 0U;
    for (const auto& it : notices) {
      WriteRow(rows[n++], { it, false });
    }
    aContext.mTasks.add(
      aContext.mLinks
        .WithLimit(address, kShareLimit, request.send().ignoreResult())
        // NOTE: what was lost is said again by the next heartbeat, and the
        // failed connection is logged where it is dropped.
        .catch_([](kj::Exception&&) {}));
  }
}

/// The entry instances that watch this one, in the order of their names.
auto
LiveEntries(const PeerContext& aContext)
  -> std::vector<directory::EntryInstance>
{
  auto entries = std::vector<directory::EntryInstance>{};
  for (const auto& [instance, it] : aContext.mSubscribers) {
    const auto age = MillisBetween(it.mHeard, aContext.mNow());
    if (!it.mAddress.empty() && age < kEntryAge) {
      entries.push_back({ it.mAddress, it.mFailureDomain });
    }
  }
  return entries;
}

auto
DigestOf(const std::vector<std::string>& aTexts) -> std::uint64_t
{
  auto joined = std::string{};
  for (const auto& it : aTexts) {
    joined += it + "\n";
  }
  return Checksum(joined);
}

} // namespace

auto
HearNotice(PeerContext& aContext, const EndpointNotice& aNotice) -> bool
{
  const auto now = aContext.mNow();
  const auto before = aContext.mEndpoints.mLastChange;
  // NOTE: an endpoint that leaves names only itself.
  const auto isBare =
    aNotice.mState == NoticeState::Gone && aNotice.mAddress.empty();
  const auto verdict =
    isBare
      ? ApplyLeave(aContext.mEndpoints, aNotice.mId, aNotice.mIncarnation, now)
      : TakeNotice(aContext.mEndpoints, aNotice, now);
  // NOTE: the others judge for themselves what a stale heartbeat tells them.
  if (!isBare && verdict != NoticeResult::Refused) {
    aContext.mUnshared.push_back(aNotice);
  }
  if (verdict == NoticeResult::Stale || verdict == NoticeResult::Refused) {
    LogEvent(kEndpointNoticeDroppedEvent,
             { { "endpoint", aNotice.mId.mValue },
               { "reason",
                 verdict == NoticeResult::Stale ? "older than what is known"
                                                : "too many endpoints" },
               { "incarnation", aNotice.mIncarnation },
               { "sequence", aNotice.mSequence } });
    return verdict == NoticeResult::Stale;
  }
  if (verdict == NoticeResult::News) {
    for (const auto& it : RowsChangedAfter(aContext.mEndpoints, before)) {
      LogNews(it, "directly");
      if (isBare) {
        aContext.mUnshared.push_back(it.mNotice);
      }
    }
    ShareNow(aContext);
    WakeWatches(aContext);
  }
  return true;
}

auto
TakeShared(PeerContext& aContext,
           capnp::List<schema::EndpointRow>::Reader aRows) -> void
{
  const auto before = aContext.mEndpoints.mLastChange;
  for (const auto it : aRows) {
    if (const auto row = ReadRow(it)) {
      TakeNotice(aContext.mEndpoints, row->mNotice, aContext.mNow());
    }
  }
  for (const auto& it : RowsChangedAfter(aContext.mEndpoints, before)) {
    LogNews(it, "by a control instance");
  }
  if (aContext.mEndpoints.mLastChange != before) {
    WakeWatches(aContext);
  }
}

auto
TickEndpoints(PeerContext& aContext) -> void
{
  if (TickTable(aContext.mEndpoints, aContext.mNow())) {
    WakeWatches(aContext);
  }
  if (aContext.mNow() >= aContext.mSharedAt + kShareInterval) {
    ShareNow(aContext);
  }
}

auto
NoteEntry(PeerContext& aContext,
          const InstanceId& aInstance,
          const std::string& aAddress) -> void
{
  const auto it = aContext.mSubscribers.find(aInstance);
  if (it != aContext.mSubscribers.end()) {
    it->second.mAddress = aAddress;
  }
}

auto
HasWatchNews(const PeerContext& aContext, const WatchParams& aParams) -> bool
{
  return aContext.mCache.mRevision > aParams.getHaveRevision() ||
         aContext.mEndpointsEpoch != aParams.getEpoch() ||
         aContext.mEndpoints.mLastChange > aParams.getHaveChange();
}

auto
WriteWatched(const PeerContext& aContext,
             const WatchParams& aParams,
             WatchResults& aResults) -> void
{
  const auto isKnown = aParams.getEpoch() == aContext.mEndpointsEpoch;
  const auto rows = RowsChangedAfter(aContext.mEndpoints,
                                     isKnown ? aParams.getHaveChange() : 0);
  aResults.setEpoch(aContext.mEndpointsEpoch);
  aResults.setChange(aContext.mEndpoints.mLastChange);
  auto to = aResults.initEndpoints(static_cast<unsigned>(rows.size()));
  auto n = 0U;
  for (const auto& it : rows) {
    WriteRow(to[n++], it);
  }
  const auto entries = LiveEntries(aContext);
  const auto known = KnownControls(aContext);
  auto places = std::vector<std::string>{};
  for (const auto& it : entries) {
    places.push_back(it.mPeerAddress + " " + it.mFailureDomain.mValue);
  }
  for (const auto& it : known) {
    places.push_back("control " + it.mAddress);
  }
  const auto digest = DigestOf(places);
  aResults.setEntriesDigest(digest);
  if (digest == aParams.getEntriesDigest()) {
    return;
  }
  const auto count = static_cast<unsigned>(entries.size());
  auto addresses = aResults.initEntries(count);
  auto domains = aResults.initEntryDomains(count);
  n = 0;
  for (const auto& it : entries) {
    addresses.set(n, ToText(it.mPeerAddress));
    domains.set(n++, ToText(it.mFailureDomain.mValue));
  }
  auto controls = aResults.initControls(static_cast<unsigned>(known.size()));
  n = 0;
  for (const auto& it : known) {
    WriteJoiner(controls[n++], { 0, it });
  }
}

} // namespace cuminslip
