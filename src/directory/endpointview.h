#pragma once

#include "directory/types/endpointnotice.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/// The endpoints as an entry instance knows them, merged from the updates of
/// all control instances that it follows. Pure; not thread safe.
namespace cuminslip::directory {

struct ViewEntry
{
  EndpointNotice mNotice;
  /// The control instances that report the endpoint as silent.
  std::set<std::string> mSilentSources;
};

struct EndpointView
{
  std::map<EndpointId, ViewEntry> mEntries;
  /// The control instances that are connected.
  std::set<std::string> mSources;
};

/// Applies the update of one control instance; the newest notice of each
/// endpoint wins. Returns the endpoints that changed.
auto
ApplyUpdate(EndpointView& aView, const EndpointsUpdate& aUpdate)
  -> std::vector<EndpointId>;

/// Discards the silence reports of a control instance that is no longer
/// connected.
auto
RemoveSource(EndpointView& aView, const std::string& aSource) -> void;

/// Returns true when every connected control instance reports the endpoint as
/// silent. Returns false when none is connected, since nothing is known then.
auto
IsSilent(const EndpointView& aView, const ViewEntry& aEntry) -> bool;

} // namespace cuminslip::directory
