#pragma once

#include "policy/types/endpointview.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Announcements, by which an endpoint reports its state.
namespace cuminslip::endpoints {

/// A model version that an endpoint has loaded, with its adapters.
struct AnnouncedModel
{
  ModelName mModel;
  ModelVersion mVersion;
  std::vector<std::string> mAdapters;

  auto operator==(const AnnouncedModel&) const -> bool = default;
};

enum class CacheEventKind : std::uint8_t
{
  Stored,
  Evicted
};

/// A change of an engine's prefix cache.
struct CacheEvent
{
  std::uint64_t mSequence = 0;
  CacheEventKind mKind = CacheEventKind::Stored;
  /// Hexadecimal hash of the prefix's text.
  std::string mPrefix;
  std::int64_t mTokens = 0;

  auto operator==(const CacheEvent&) const -> bool = default;
};

/// Cache events of one announcement. mNextSequence is the number that the
/// engine's next event will have.
struct CacheEvents
{
  std::uint64_t mNextSequence = 0;
  std::vector<CacheEvent> mEvents;

  auto operator==(const CacheEvents&) const -> bool = default;
};

enum class HoldingKind : std::uint8_t
{
  Stream,
  Pin,
  Export,
  Import,
  Part,
  Reservation
};

/// Memory that an endpoint reports to hold for an owner.
struct HoldingReport
{
  HoldingId mId;
  HoldingKind mKind = HoldingKind::Stream;
  InstanceId mOwner;
  Incarnation mOwnerIncarnation = 0;
  std::int64_t mTokens = 0;
  Millis mExpiresIn{ 0 };

  auto operator==(const HoldingReport&) const -> bool = default;
};

/// One announcement. Of two, the one with the higher incarnation is newer, and
/// within an incarnation the one with the higher sequence.
struct Announcement
{
  EndpointId mEndpoint;
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0;
  EndpointKind mKind = EndpointKind::ModelEngine;
  /// Name of the plain service; empty for a model engine.
  std::string mService;
  /// "IP:PORT" at which the endpoint accepts work.
  std::string mAddress;
  FailureDomainId mFailureDomain;
  RegionId mRegion;
  bool mIsLeaving = false;
  Millis mInterval{ 1000 };
  EngineRole mRole = EngineRole::Mixed;
  /// Whether the endpoint checks fencing numbers; if absent, it is treated as
  /// ignoring them.
  std::optional<bool> mChecksFencing;
  std::vector<AnnouncedModel> mModels;
  LoadReport mLoad;
  /// Age of mLoad when the announcement was sent.
  Millis mLoadAge{ 0 };
  CacheEvents mCacheEvents;
  std::vector<HoldingReport> mHoldings;

  auto operator==(const Announcement&) const -> bool = default;
};

/// Answer to an announcement.
struct AnnounceAnswer
{
  /// False for an earlier incarnation, or if the registry is full.
  bool mAccepted = true;
  /// First cache event to resend; no value if none is missing.
  std::optional<std::uint64_t> mResendCacheEventsFrom;

  auto operator==(const AnnounceAnswer&) const -> bool = default;
};

} // namespace cuminslip::endpoints
