#include "directory/endpointview.h"

#include <algorithm>
#include <tuple>

namespace cuminslip::directory {

namespace {

/// True when aNotice is to stand in place of aPresent.
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
ApplyRow(EndpointView& aView,
         const std::string& aSource,
         const EndpointRow& aRow) -> bool
{
  const auto [it, isNew] =
    aView.mEntries.try_emplace(aRow.mNotice.mId, ViewEntry{ aRow.mNotice, {} });
  auto& entry = it->second;
  if (aRow.mIsSilent) {
    entry.mSilentSources.insert(aSource);
  } else {
    entry.mSilentSources.erase(aSource);
  }
  if (!isNew && !Supersedes(aRow.mNotice, entry.mNotice)) {
    return false;
  }
  entry.mNotice = aRow.mNotice;
  return true;
}

} // namespace

auto
ApplyUpdate(EndpointView& aView, const EndpointsUpdate& aUpdate)
  -> std::vector<EndpointId>
{
  aView.mSources.insert(aUpdate.mSource);
  if (aUpdate.mIsWhole) {
    for (auto& [id, it] : aView.mEntries) {
      it.mSilentSources.erase(aUpdate.mSource);
    }
  }
  auto changed = std::vector<EndpointId>{};
  for (const auto& it : aUpdate.mRows) {
    if (ApplyRow(aView, aUpdate.mSource, it)) {
      changed.push_back(it.mNotice.mId);
    }
  }
  return changed;
}

auto
RemoveSource(EndpointView& aView, const std::string& aSource) -> void
{
  aView.mSources.erase(aSource);
  for (auto& [id, it] : aView.mEntries) {
    it.mSilentSources.erase(aSource);
  }
}

auto
IsSilent(const EndpointView& aView, const ViewEntry& aEntry) -> bool
{
  return !aView.mSources.empty() &&
         std::all_of(aView.mSources.begin(),
                     aView.mSources.end(),
                     [&](const auto& aSource) {
                       return aEntry.mSilentSources.contains(aSource);
                     });
}

} // namespace cuminslip::directory
