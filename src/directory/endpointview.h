#pragma once

#include "directory/types/endpointnotice.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// The endpoints as an entry instance knows them, merged from the updates of
/// all control instances that it follows. What a control instance does not say
/// is not known: it speaks neither for nor against an endpoint. Pure; not
/// thread safe.
namespace cuminslip::directory {

struct ViewSettings
{
  /// As TableSettings::mSilentAfter of the control instances.
  Millis mSilentAfter{ 3600 };
  /// Endpoints that are gone or silent are kept for this long.
  Millis mForgetAfter{ 120000 };

  auto operator==(const ViewSettings&) const -> bool = default;
};

/// What one control instance last said of an endpoint.
struct EndpointReport
{
  EndpointNotice mNotice;
  bool mIsSilent = false;
  /// Said before the control instance restarted.
  bool mIsFormer = false;
  /// Since when it hears heartbeats without a break.
  TimePoint mHeardSince{};
};

/// What is known of one claim.
struct ViewEntry
{
  EndpointNotice mNotice;
  /// By control instance.
  std::map<std::string, EndpointReport> mReports;
  TimePoint mKnownSince{};
  TimePoint mChanged{};
  /// When the last connected control instance stopped hearing heartbeats, or
  /// something else was last learnt of them.
  TimePoint mHeardUntil{};
};

struct EndpointView
{
  ViewSettings mSettings;
  /// The claim to use of each endpoint id.
  std::map<EndpointId, ViewEntry> mEntries;
  /// Other claims of the same ids.
  std::multimap<EndpointId, ViewEntry> mRivals;
  /// The control instances that are connected.
  std::set<std::string> mSources;
  /// The services that are in use. A claim of another is not used in place of
  /// one of these.
  std::set<std::string> mServices;
  /// Number of claims of each address.
  std::unordered_map<std::string, std::size_t> mClaimsOfAddress;
  /// Endpoints of which a control instance reports less than is known.
  std::set<EndpointId> mDoubted;
  TimePoint mPrunedAt{};
};

/// Applies the update of one control instance; the newest notice of each claim
/// wins. Returns the endpoints that changed.
auto
ApplyUpdate(EndpointView& aView, const EndpointsUpdate& aUpdate, TimePoint aNow)
  -> std::vector<EndpointId>;

/// Puts what control instances have reported for some time in place of newer
/// notices that none of them knows. Returns the endpoints that changed.
auto
RefreshView(EndpointView& aView, TimePoint aNow) -> std::vector<EndpointId>;

/// Sets the services in use. Returns the endpoints that changed.
auto
SetServices(EndpointView& aView, std::set<std::string> aServices)
  -> std::vector<EndpointId>;

/// Removes endpoints that have been gone or silent for long, once a second at
/// most. Returns those of which nothing is left.
auto
PruneView(EndpointView& aView, TimePoint aNow) -> std::vector<EndpointId>;

/// Discards the reports of a control instance that is no longer connected,
/// until it is again.
auto
RemoveSource(EndpointView& aView, const std::string& aSource, TimePoint aNow)
  -> void;

/// Returns true when a connected control instance reports the endpoint as
/// silent.
auto
IsReportedSilent(const EndpointView& aView, const ViewEntry& aEntry) -> bool;

/// Returns true when a connected control instance reports the endpoint as
/// silent and none hears it, or when none has heard it for
/// TableSettings::mSilentAfter. Returns false when none is connected, since
/// nothing is known then.
auto
IsSilent(const EndpointView& aView, const ViewEntry& aEntry, TimePoint aNow)
  -> bool;

/// Returns true if nobody but the endpoint can be at its address: a connected
/// control instance hears it, and no other endpoint was heard lately that
/// claims the address. Required where a request does not name the endpoint that
/// is to serve it.
auto
HoldsAddress(const EndpointView& aView, const ViewEntry& aEntry, TimePoint aNow)
  -> bool;

} // namespace cuminslip::directory
