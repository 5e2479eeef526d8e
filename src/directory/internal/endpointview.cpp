#include "directory/endpointview.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cuminslip::directory {

namespace {

/// Returns true when aNotice replaces aPresent.
auto
Supersedes(const EndpointNotice& aNotice, const EndpointNotice& aPresent)
  -> bool
{
  const auto rank = [](const EndpointNotice& aItem) {
    return std::tuple(aItem.mIncarnation,
                      aItem.mState == NoticeState::Gone,
                      aItem.mSequence,
                      aItem.mState);
  };
  return rank(aNotice) > rank(aPresent);
}

auto
IsGone(const EndpointNotice& aNotice) -> bool
{
  return aNotice.mState == NoticeState::Gone;
}

/// Returns true if the control instance hears heartbeats of the endpoint.
auto
Vouches(const EndpointReport& aReport) -> bool
{
  return !aReport.mIsSilent && !aReport.mIsFormer && !IsGone(aReport.mNotice);
}

auto
IsVouchedFor(const EndpointView& aView, const ViewEntry& aEntry) -> bool
{
  return std::any_of(
    aEntry.mReports.begin(), aEntry.mReports.end(), [&](const auto& aItem) {
      return Vouches(aItem.second) && aView.mSources.contains(aItem.first);
    });
}

/// Calls aFunction with each claim.
template<class View, class Function>
auto
ForEachClaim(View& aView, Function&& aFunction) -> void
{
  for (auto& [id, it] : aView.mEntries) {
    aFunction(it);
  }
  for (auto& [id, it] : aView.mRivals) {
    aFunction(it);
  }
}

/// Runs a change of a claim and notes when nobody hears the endpoint any
/// longer.
template<class Function>
auto
ChangeClaim(EndpointView& aView,
            ViewEntry& aEntry,
            TimePoint aNow,
            Function&& aChange) -> void
{
  const auto wasVouchedFor = IsVouchedFor(aView, aEntry);
  aChange();
  if (wasVouchedFor && !IsVouchedFor(aView, aEntry)) {
    aEntry.mHeardUntil = aNow;
  }
}

/// Returns true if another claim of the address is heard of, or was until
/// aSince.
auto
HasRivalAtAddress(const EndpointView& aView,
                  const ViewEntry& aEntry,
                  TimePoint aSince) -> bool
{
  const auto claims = aView.mClaimsOfAddress.find(aEntry.mNotice.mAddress);
  if (claims == aView.mClaimsOfAddress.end() || claims->second < 2) {
    return false;
  }
  auto hasRival = false;
  ForEachClaim(aView, [&](const ViewEntry& aItem) {
    hasRival |= &aItem != &aEntry &&
                aItem.mNotice.mAddress == aEntry.mNotice.mAddress &&
                (IsVouchedFor(aView, aItem) || aItem.mHeardUntil > aSince);
  });
  return hasRival;
}

/// Returns the claim of a notice; adds it if it is not known.
auto
OpenClaim(EndpointView& aView, const EndpointNotice& aNotice, TimePoint aNow)
  -> ViewEntry&
{
  const auto isSame = [&](const auto& aItem) {
    return ClaimOf(aItem.second.mNotice) == ClaimOf(aNotice);
  };
  const auto entry = aView.mEntries.find(aNotice.mId);
  if (entry != aView.mEntries.end() && isSame(*entry)) {
    return entry->second;
  }
  const auto [first, last] = aView.mRivals.equal_range(aNotice.mId);
  const auto rival = std::find_if(first, last, isSame);
  if (rival != last) {
    return rival->second;
  }
  ++aView.mClaimsOfAddress[aNotice.mAddress];
  auto claim = ViewEntry{};
  claim.mNotice = aNotice;
  claim.mKnownSince = aNow;
  claim.mHeardUntil = aNow;
  return entry == aView.mEntries.end()
           ? aView.mEntries.emplace(aNotice.mId, std::move(claim)).first->second
           : aView.mRivals.emplace(aNotice.mId, std::move(claim))->second;
}

/// Counts a claim that is removed out of those of its address.
auto
ReleaseClaim(EndpointView& aView, const ViewEntry& aEntry) -> void
{
  const auto it = aView.mClaimsOfAddress.find(aEntry.mNotice.mAddress);
  if (it != aView.mClaimsOfAddress.end() && --it->second == 0) {
    aView.mClaimsOfAddress.erase(it);
  }
}

/// Uses the best claim of an id, the one that was known first among equal ones.
auto
ChooseClaim(EndpointView& aView, const EndpointId& aEndpoint) -> void
{
  const auto rank = [&](const ViewEntry& aItem) {
    return std::tuple(aView.mServices.contains(aItem.mNotice.mService),
                      !IsGone(aItem.mNotice),
                      IsVouchedFor(aView, aItem),
                      -aItem.mKnownSince.time_since_epoch());
  };
  const auto [first, last] = aView.mRivals.equal_range(aEndpoint);
  const auto best =
    std::max_element(first, last, [&](const auto& aLeft, const auto& aRight) {
      return rank(aLeft.second) < rank(aRight.second);
    });
  auto& entry = aView.mEntries.at(aEndpoint);
  if (best != last && rank(best->second) > rank(entry)) {
    std::swap(best->second, entry);
  }
}

/// Returns true if aNotice says something else of the endpoint than aKnown.
auto
Differs(const EndpointNotice& aNotice, const EndpointNotice& aKnown) -> bool
{
  return aNotice.mIncarnation != aKnown.mIncarnation ||
         aNotice.mState != aKnown.mState;
}

/// Returns true if a control instance vouches for less than is known.
auto
IsDoubted(const ViewEntry& aEntry) -> bool
{
  return std::any_of(
    aEntry.mReports.begin(), aEntry.mReports.end(), [&](const auto& aItem) {
      const auto& notice = aItem.second.mNotice;
      return Vouches(aItem.second) && Supersedes(aEntry.mNotice, notice) &&
             Differs(notice, aEntry.mNotice);
    });
}

/// Applies a row to its claim. A control instance that goes back to an earlier
/// notice has learnt that the later one was wrong; one that has restarted knows
/// less than before.
auto
ApplyRow(EndpointView& aView,
         const std::string& aSource,
         const EndpointRow& aRow,
         ViewEntry& aEntry,
         TimePoint aNow) -> void
{
  const auto& notice = aRow.mNotice;
  const auto known = aEntry.mReports.find(aSource);
  const auto isKnown =
    known != aEntry.mReports.end() && !known->second.mIsFormer;
  const auto isRetraction = isKnown &&
                            Supersedes(known->second.mNotice, notice) &&
                            !Supersedes(aEntry.mNotice, known->second.mNotice);
  auto report = EndpointReport{ notice, aRow.mIsSilent, false, aNow };
  if (isKnown && Vouches(known->second)) {
    report.mHeardSince = known->second.mHeardSince;
  }
  aEntry.mReports.insert_or_assign(aSource, std::move(report));
  if (isRetraction || Supersedes(notice, aEntry.mNotice)) {
    aEntry.mNotice = notice;
    aEntry.mHeardUntil = aNow;
    return;
  }
  if (IsDoubted(aEntry)) {
    aView.mDoubted.insert(notice.mId);
  }
}

/// Returns the newest notice that connected control instances have vouched for
/// long enough, if none of them knows the one in force.
auto
FindLastingNotice(const EndpointView& aView,
                  const ViewEntry& aEntry,
                  TimePoint aNow) -> const EndpointNotice*
{
  // NOTE: a delayed heartbeat vouches for mSilentAfter.
  const auto since = aNow - aView.mSettings.mSilentAfter * 3 / 2;
  const EndpointNotice* lasting = nullptr;
  for (const auto& [source, it] : aEntry.mReports) {
    if (!aView.mSources.contains(source) || it.mIsFormer) {
      continue;
    }
    if (!Supersedes(aEntry.mNotice, it.mNotice)) {
      return nullptr;
    }
    if (Vouches(it) && it.mHeardSince <= since &&
        (lasting == nullptr || Supersedes(it.mNotice, *lasting))) {
      lasting = &it.mNotice;
    }
  }
  return lasting;
}

/// Forgets what a control instance that has restarted said, but for silence.
auto
ForgetReports(EndpointView& aView, const std::string& aSource, TimePoint aNow)
  -> void
{
  ForEachClaim(aView, [&](ViewEntry& aItem) {
    const auto report = aItem.mReports.find(aSource);
    if (report == aItem.mReports.end()) {
      return;
    }
    ChangeClaim(aView, aItem, aNow, [&] {
      report->second.mIsFormer = true;
      if (!report->second.mIsSilent) {
        aItem.mReports.erase(report);
      }
    });
  });
}

/// Runs a change of the claims of some endpoints, and returns those whose claim
/// in use changed by it.
template<class Function>
auto
ChangeEndpoints(EndpointView& aView,
                const std::set<EndpointId>& aEndpoints,
                Function&& aChange) -> std::vector<EndpointId>
{
  auto former = std::map<EndpointId, EndpointNotice>{};
  for (const auto& id : aEndpoints) {
    if (const auto it = aView.mEntries.find(id); it != aView.mEntries.end()) {
      former.emplace(id, it->second.mNotice);
    }
  }
  aChange();
  auto changed = std::vector<EndpointId>{};
  for (const auto& id : aEndpoints) {
    ChooseClaim(aView, id);
    const auto it = former.find(id);
    if (it == former.end() || it->second != aView.mEntries.at(id).mNotice) {
      changed.push_back(id);
    }
  }
  return changed;
}

} // namespace

auto
ApplyUpdate(EndpointView& aView, const EndpointsUpdate& aUpdate, TimePoint aNow)
  -> std::vector<EndpointId>
{
  aView.mSources.insert(aUpdate.mSource);
  if (aUpdate.mIsWhole) {
    ForgetReports(aView, aUpdate.mSource, aNow);
  }
  auto endpoints = std::set<EndpointId>{};
  for (const auto& it : aUpdate.mRows) {
    endpoints.insert(it.mNotice.mId);
  }
  return ChangeEndpoints(aView, endpoints, [&] {
    for (const auto& it : aUpdate.mRows) {
      auto& entry = OpenClaim(aView, it.mNotice, aNow);
      entry.mChanged = aNow;
      ChangeClaim(aView, entry, aNow, [&] {
        ApplyRow(aView, aUpdate.mSource, it, entry, aNow);
      });
    }
  });
}

auto
RefreshView(EndpointView& aView, TimePoint aNow) -> std::vector<EndpointId>
{
  const auto doubted = std::exchange(aView.mDoubted, {});
  if (doubted.empty()) {
    return {};
  }
  return ChangeEndpoints(aView, doubted, [&] {
    ForEachClaim(aView, [&](ViewEntry& aItem) {
      if (!doubted.contains(aItem.mNotice.mId)) {
        return;
      }
      if (const auto* lasting = FindLastingNotice(aView, aItem, aNow)) {
        aItem.mNotice = EndpointNotice(*lasting);
      } else if (IsDoubted(aItem)) {
        aView.mDoubted.insert(aItem.mNotice.mId);
      }
    });
  });
}

auto
SetServices(EndpointView& aView, std::set<std::string> aServices)
  -> std::vector<EndpointId>
{
  aView.mServices = std::move(aServices);
  auto contested = std::set<EndpointId>{};
  for (const auto& [id, it] : aView.mRivals) {
    contested.insert(id);
  }
  return ChangeEndpoints(aView, contested, [] {});
}

auto
PruneView(EndpointView& aView, TimePoint aNow) -> std::vector<EndpointId>
{
  if (aNow < aView.mPrunedAt + Millis(1000)) {
    return {};
  }
  aView.mPrunedAt = aNow;
  const auto isOld = [&](const ViewEntry& aItem) {
    return !IsVouchedFor(aView, aItem) &&
           (IsGone(aItem.mNotice) || IsSilent(aView, aItem, aNow)) &&
           aNow - std::max(aItem.mHeardUntil, aItem.mChanged) >
             aView.mSettings.mForgetAfter;
  };
  std::erase_if(aView.mRivals, [&](const auto& aItem) {
    const auto isErased = isOld(aItem.second);
    if (isErased) {
      ReleaseClaim(aView, aItem.second);
    }
    return isErased;
  });
  auto removed = std::vector<EndpointId>{};
  for (auto it = aView.mEntries.begin(); it != aView.mEntries.end();) {
    const auto rival = aView.mRivals.find(it->first);
    if (!isOld(it->second)) {
      ++it;
      continue;
    }
    ReleaseClaim(aView, it->second);
    if (rival != aView.mRivals.end()) {
      it->second = std::move(rival->second);
      aView.mRivals.erase(rival);
    } else {
      removed.push_back(it->first);
      aView.mDoubted.erase(it->first);
      it = aView.mEntries.erase(it);
    }
  }
  return removed;
}

auto
RemoveSource(EndpointView& aView, const std::string& aSource, TimePoint aNow)
  -> void
{
  if (!aView.mSources.contains(aSource)) {
    return;
  }
  ForEachClaim(aView, [&](ViewEntry& aItem) {
    const auto wasVouchedFor = IsVouchedFor(aView, aItem);
    const auto report = aItem.mReports.find(aSource);
    if (wasVouchedFor && report != aItem.mReports.end() &&
        Vouches(report->second)) {
      aItem.mHeardUntil = aNow;
    }
  });
  aView.mSources.erase(aSource);
}

auto
IsReportedSilent(const EndpointView& aView, const ViewEntry& aEntry) -> bool
{
  return std::any_of(
    aEntry.mReports.begin(), aEntry.mReports.end(), [&](const auto& aItem) {
      return aItem.second.mIsSilent && aView.mSources.contains(aItem.first);
    });
}

auto
IsSilent(const EndpointView& aView, const ViewEntry& aEntry, TimePoint aNow)
  -> bool
{
  if (aView.mSources.empty() || IsVouchedFor(aView, aEntry)) {
    return false;
  }
  return IsReportedSilent(aView, aEntry) ||
         aEntry.mHeardUntil + aView.mSettings.mSilentAfter < aNow ||
         HasRivalAtAddress(aView, aEntry, aNow);
}

auto
HoldsAddress(const EndpointView& aView, const ViewEntry& aEntry, TimePoint aNow)
  -> bool
{
  // NOTE: an endpoint that another writer displaced is heard again by then.
  const auto rivalsSince = aNow - 2 * aView.mSettings.mSilentAfter;
  // NOTE: one heartbeat vouches for mSilentAfter, and may be a delayed one of
  // an endpoint that is gone.
  const auto heardSince = aNow - aView.mSettings.mSilentAfter;
  const auto isHeard = std::any_of(
    aEntry.mReports.begin(), aEntry.mReports.end(), [&](const auto& aItem) {
      return Vouches(aItem.second) && aItem.second.mHeardSince <= heardSince &&
             aView.mSources.contains(aItem.first);
    });
  return isHeard && !IsGone(aEntry.mNotice) &&
         !HasRivalAtAddress(aView, aEntry, rivalsSince);
}

} // namespace cuminslip::directory
