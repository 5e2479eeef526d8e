#pragma once

#include "policy/endpointchoice.h"

#include <cstddef>
#include <random>
#include <vector>

/// Steps of ChooseEndpoint.
namespace cuminslip {

/// Positions of the endpoints that may take the request now, and the causes
/// that exclude the others.
struct Candidates
{
  std::vector<std::size_t> mIndexes;
  RuledOut mRuledOut;
};

/// Filters endpoints by permission, memory, earlier attempts, health and lane.
auto
FindCandidates(const ChoiceInput& aInput, const ChoiceSettings& aSettings)
  -> Candidates;

/// Selects the engines among aIndexes that are preferred for the prompt's first
/// prefix, by rendezvous hashing; empty if the prompt has no prefix hash.
auto
FindHomes(const ChoiceInput& aInput,
          const std::vector<std::size_t>& aIndexes,
          const ChoiceSettings& aSettings) -> std::vector<std::size_t>;

/// Reduces the candidates to the holders of the longest cached prefixes, the
/// engines found by FindHomes and a random sample.
auto
SampleCandidates(std::vector<std::size_t> aIndexes,
                 const std::vector<CachedPrefix>& aCached,
                 const std::vector<std::size_t>& aHomes,
                 const ChoiceSettings& aSettings,
                 std::mt19937_64& aRandom) -> std::vector<std::size_t>;

/// Input for the evaluation of one endpoint.
struct Look
{
  std::size_t mIndex = 0;
  CachedPrefix mCached;
  bool mIsHome = false;
  /// Ignore past failures and slowness; see ChoiceSettings::mExploreShare.
  bool mIsExplored = false;
};

/// Predicts the times of one endpoint and computes its cost.
auto
ConsiderEndpoint(const ChoiceInput& aInput,
                 const Look& aLook,
                 const ChoiceSettings& aSettings) -> ConsideredEndpoint;

} // namespace cuminslip
