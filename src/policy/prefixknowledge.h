#pragma once

#include "policy/types/cacheevent.h"
#include "policy/types/endpointview.h"
#include "policy/types/requestfacts.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// Estimates which prefixes the engines have cached. The estimate is uncertain:
/// cache events arrive late and with gaps, and engines evict on their own.
namespace cuminslip {

struct PrefixKnowledgeSettings
{
  std::size_t mMaxPrefixesPerEndpoint = 512;
  /// Limit for all endpoints together, divided evenly between them.
  std::size_t mMaxPrefixes = 65536;
  std::size_t mMaxEndpoints = 1024;
  /// An endpoint without events or requests for this time is removed to make
  /// room for others.
  Millis mForgetAfter{ 600000 };
  /// Initial certainty of a prefix that the engine reported, and of one that
  /// this instance sent to it.
  double mReportedCertainty = 0.95;
  double mSentCertainty = 0.7;
  /// Factor on the certainty of prefixes learned before events were lost.
  double mGapFactor = 0.5;
  /// Time in which the certainty halves.
  Millis mHalfLife{ 600000 };

  auto operator==(const PrefixKnowledgeSettings&) const -> bool = default;
};

/// An engine that is assumed to have a prefix cached.
struct PrefixHolder
{
  std::uint32_t mSlot = 0;
  float mCertainty = 0;
  TimePoint mLearned;

  auto operator==(const PrefixHolder&) const -> bool = default;
};

/// Prefixes of one engine; mRecent lists them, most recent first.
struct EndpointPrefixes
{
  Incarnation mIncarnation = 0;
  TimePoint mLastHeard;
  std::optional<TimePoint> mLastGap;
  std::list<PrefixHash> mRecent;
  std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> mPositions;
};

/// Owned by one task; not thread safe.
struct PrefixKnowledge
{
  PrefixKnowledgeSettings mSettings;
  std::unordered_map<EndpointId, std::uint32_t> mSlots;
  std::vector<EndpointPrefixes> mEndpoints;
  std::vector<std::uint32_t> mFreeSlots;
  std::unordered_map<PrefixHash, std::vector<PrefixHolder>> mHolders;
};

/// A prefix that an engine is assumed to have cached.
struct CachedPrefix
{
  std::int64_t mTokens = 0;
  double mCertainty = 0;

  auto operator==(const CachedPrefix&) const -> bool = default;
};

/// Returns the expected number of cached tokens. Thread safe.
auto
ExpectedTokens(const CachedPrefix& aPrefix) -> std::int64_t;

/// Returns true for the prefixes that are stored and looked up: all of the
/// first 16, then 16 for each doubling of the length. aIndex is a position in
/// RequestFacts::mPrefixes. Thread safe.
auto
IsKeptPrefix(std::size_t aIndex) -> bool;

/// Applies the cache events of one announcement. aHasGap is true if events
/// before them were lost. A new incarnation discards the earlier entries of
/// this endpoint; events of an older one are ignored.
auto
ApplyCacheEvents(PrefixKnowledge& aKnowledge,
                 const EndpointId& aEndpoint,
                 Incarnation aIncarnation,
                 std::span<const CacheEvent> aEvents,
                 bool aHasGap,
                 TimePoint aNow) -> void;

/// Records that a prompt was sent to the engine. Treats aIncarnation as
/// ApplyCacheEvents does.
auto
RecordSentPrompt(PrefixKnowledge& aKnowledge,
                 const EndpointId& aEndpoint,
                 Incarnation aIncarnation,
                 std::span<const PrefixHash> aPrefixes,
                 TimePoint aNow) -> void;

/// Removes all entries of an endpoint that no longer exists.
auto
ForgetEndpoint(PrefixKnowledge& aKnowledge, const EndpointId& aEndpoint)
  -> void;

/// Returns the prefix of a prompt with the most expected cached tokens at each
/// of aEndpoints, in their order; empty if no engine has any.
auto
FindCachedPrefixes(const PrefixKnowledge& aKnowledge,
                   std::span<const PrefixHash> aPrefixes,
                   std::span<const EndpointView> aEndpoints,
                   TimePoint aNow) -> std::vector<CachedPrefix>;

} // namespace cuminslip
