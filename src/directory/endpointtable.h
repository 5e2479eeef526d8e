#pragma once

#include "directory/types/endpointnotice.h"

#include <map>
#include <vector>

/// The endpoints that a control instance has heard of, directly or through
/// other control instances. Pure; not thread safe.
namespace cuminslip::directory {

struct TableSettings
{
  /// Endpoints that were not heard of for this long are told as silent.
  Millis mSilentAfter{ 3600 };
  /// Endpoints that left, or stayed silent, are kept for this long, so that a
  /// late notice of theirs is known to be old.
  Millis mForgetAfter{ 120000 };
  std::size_t mMaxEndpoints = 4096;

  auto operator==(const TableSettings&) const -> bool = default;
};

/// Number of a change of one table, for those that follow it.
using ChangeNumber = std::uint64_t;

struct TableEntry
{
  EndpointNotice mNotice;
  TimePoint mHeard{};
  bool mIsSilent = false;
  /// The last change of what followers are told.
  ChangeNumber mChange = 0;
};

struct EndpointTable
{
  TableSettings mSettings;
  ChangeNumber mLastChange = 0;
  std::map<EndpointId, TableEntry> mEntries;
  /// The endpoint that holds each address.
  std::map<std::string, EndpointId> mEndpointsByAddress;
};

enum class NoticeResult : std::uint8_t
{
  /// Something that others must hear of.
  News,
  /// A heartbeat that says nothing new.
  Refreshed,
  /// Older than what is known.
  Stale,
  /// The table is full.
  Refused
};

/// Takes a notice heard at aHeard, which may be in the past.
auto
TakeNotice(EndpointTable& aTable,
           const EndpointNotice& aNotice,
           TimePoint aHeard) -> NoticeResult;

/// Notes that an endpoint left which says no more of itself than its id and,
/// unless it is 0, its incarnation. One that is not known, or has started again
/// since, is ignored.
auto
ApplyLeave(EndpointTable& aTable,
           const EndpointId& aEndpoint,
           Incarnation aIncarnation,
           TimePoint aNow) -> NoticeResult;

/// Marks endpoints silent and forgets old ones. True when followers must hear
/// of a change.
auto
TickTable(EndpointTable& aTable, TimePoint aNow) -> bool;

/// What has changed after aAfter; 0 gives everything.
auto
RowsChangedAfter(const EndpointTable& aTable, ChangeNumber aAfter)
  -> std::vector<EndpointRow>;

} // namespace cuminslip::directory
