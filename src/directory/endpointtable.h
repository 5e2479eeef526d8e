#pragma once

#include "directory/types/endpointnotice.h"

#include <map>
#include <optional>
#include <vector>

/// The endpoints that a control instance knows from their heartbeats, received
/// directly or from other control instances. Anybody may send such notices, so
/// that what one may change is bounded; docs/design/outside-writers.md lists
/// it. Pure; not thread safe.
namespace cuminslip::directory {

struct TableSettings
{
  /// An endpoint without a heartbeat for this long is reported as silent.
  Millis mSilentAfter{ 3600 };
  /// Endpoints that left or are silent are kept for this long, so that a
  /// delayed notice of theirs is still recognised as stale.
  Millis mForgetAfter{ 120000 };
  /// Heartbeats that contradict what is known count once two of them were
  /// received this long apart: delayed ones arrive together. Shorter than the
  /// heartbeat interval.
  Millis mReturnSpan{ 900 };
  /// Maximum number of endpoints that are not silent. As many others are kept.
  std::size_t mMaxEndpoints = 4096;

  auto operator==(const TableSettings&) const -> bool = default;
};

/// Sequence number of a change to one table, used by followers to request what
/// has changed since.
using ChangeNumber = std::uint64_t;

struct TableEntry
{
  EndpointNotice mNotice;
  TimePoint mAppeared{};
  TimePoint mHeard{};
  bool mIsSilent = false;
  /// Another endpoint claims the address. This one counts from its second
  /// heartbeat on, and displaces nobody.
  bool mIsDisplaced = false;
  /// The first heartbeat that contradicts the entry.
  std::optional<EndpointNotice> mContrary;
  TimePoint mContraryHeard{};
  /// The last change to this entry that followers must receive.
  ChangeNumber mChange = 0;
};

struct EndpointTable
{
  TableSettings mSettings;
  ChangeNumber mLastChange = 0;
  std::map<EndpointClaim, TableEntry> mEntries;
};

enum class NoticeResult : std::uint8_t
{
  /// A change that followers must receive.
  News,
  /// A heartbeat without a change.
  Refreshed,
  /// Older than the known notice.
  Stale,
  /// The table is full.
  Refused
};

/// Applies a notice received at aHeard, which may be in the past. A notice
/// changes its own claim. Others of the same address become silent when the
/// claim appears, until they send heartbeats again.
auto
TakeNotice(EndpointTable& aTable,
           const EndpointNotice& aNotice,
           TimePoint aHeard) -> NoticeResult;

/// Marks the claims of an endpoint as gone by its id and, unless it is 0, its
/// incarnation. Returns Stale and changes nothing for an endpoint that is
/// unknown, already gone or has a later incarnation. One that goes on sending
/// heartbeats comes back.
auto
ApplyLeave(EndpointTable& aTable,
           const EndpointId& aEndpoint,
           Incarnation aIncarnation,
           TimePoint aNow) -> NoticeResult;

/// Marks endpoints without recent heartbeats as silent and removes expired
/// ones. Returns true when there is a change that followers must receive.
auto
TickTable(EndpointTable& aTable, TimePoint aNow) -> bool;

/// Returns the entries changed after aAfter; 0 returns all.
auto
RowsChangedAfter(const EndpointTable& aTable, ChangeNumber aAfter)
  -> std::vector<EndpointRow>;

} // namespace cuminslip::directory
