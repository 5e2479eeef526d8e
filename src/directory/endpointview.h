#pragma once

#include "directory/types/endpointnotice.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/// The endpoints as an entry instance knows them from all control instances
/// that it follows. Pure; not thread safe.
namespace cuminslip::directory {

struct ViewEntry
{
  EndpointNotice mNotice;
  /// The control instances to which it is silent.
  std::set<std::string> mSilentSources;
};

struct EndpointView
{
  std::map<EndpointId, ViewEntry> mEntries;
  /// The control instances that are reached.
  std::set<std::string> mSources;
};

/// Takes the news of one control instance; the newest notice of each endpoint
/// counts. Returns the endpoints that changed.
auto
ApplyUpdate(EndpointView& aView, const EndpointsUpdate& aUpdate)
  -> std::vector<EndpointId>;

/// Forgets what a control instance that is no longer reached said of silence.
auto
RemoveSource(EndpointView& aView, const std::string& aSource) -> void;

/// True when no control instance that is reached hears of the endpoint. False
/// when none is reached: nothing is known then.
auto
IsSilent(const EndpointView& aView, const ViewEntry& aEntry) -> bool;

} // namespace cuminslip::directory
