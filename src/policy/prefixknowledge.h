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

/// What this instance believes the engines have cached. Knowledge is uncertain:
/// cache events come late and with gaps, and engines evict on their own.
namespace cuminslip {

struct PrefixKnowledgeSettings
{
  std::size_t mMaxPrefixesPerEndpoint = 512;
  /// Divided evenly between the endpoints where there are many.
  std::size_t mMaxPrefixes = 65536;
  std::size_t mMaxEndpoints = 1024;
  /// An endpoint of which nothing was heard for so long makes room for others.
  Millis mForgetAfter{ 600000 };
  /// Certainty of a prefix that the engine reported, and of one that this
  /// instance sent there.
  double mReportedCertainty = 0.95;
  double mSentCertainty = 0.7;
  /// Factor on what was learned before events were lost.
  double mGapFactor = 0.5;
  /// Certainty halves in this time.
  Millis mHalfLife{ 600000 };

  auto operator==(const PrefixKnowledgeSettings&) const -> bool = default;
};

/// One engine that is believed to have a prefix.
struct PrefixHolder
{
  std::uint32_t mSlot = 0;
  float mCertainty = 0;
  TimePoint mLearned;

  auto operator==(const PrefixHolder&) const -> bool = default;
};

/// What is kept for one engine; mRecent lists its prefixes, latest first.
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

/// The longest prefix that an engine is believed to have.
struct CachedPrefix
{
  std::int64_t mTokens = 0;
  double mCertainty = 0;

  auto operator==(const CachedPrefix&) const -> bool = default;
};

/// Tokens to count on, in the mean. Thread safe.
auto
ExpectedTokens(const CachedPrefix& aPrefix) -> std::int64_t;

/// True for those prefixes that are kept and looked up: each of the first 16,
/// then 16 for each doubling. aIndex as in RequestFacts::mPrefixes. Thread
/// safe.
auto
IsKeptPrefix(std::size_t aIndex) -> bool;

/// Applies the events of one announcement. aHasGap says that events before
/// them were lost. A new incarnation forgets what was known.
auto
ApplyCacheEvents(PrefixKnowledge& aKnowledge,
                 const EndpointId& aEndpoint,
                 Incarnation aIncarnation,
                 std::span<const CacheEvent> aEvents,
                 bool aHasGap,
                 TimePoint aNow) -> void;

/// Notes that a prompt was sent to the engine.
auto
RecordSentPrompt(PrefixKnowledge& aKnowledge,
                 const EndpointId& aEndpoint,
                 Incarnation aIncarnation,
                 std::span<const PrefixHash> aPrefixes,
                 TimePoint aNow) -> void;

/// Drops everything known of an endpoint that is gone.
auto
ForgetEndpoint(PrefixKnowledge& aKnowledge, const EndpointId& aEndpoint)
  -> void;

/// The longest believed prefix of a prompt at each of aEndpoints, in their
/// order. The result is empty when no engine has any.
auto
FindCachedPrefixes(const PrefixKnowledge& aKnowledge,
                   std::span<const PrefixHash> aPrefixes,
                   std::span<const EndpointView> aEndpoints,
                   TimePoint aNow) -> std::vector<CachedPrefix>;

} // namespace cuminslip
