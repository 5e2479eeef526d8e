#pragma once

#include "policy/endpointchoice.h"

#include <cstddef>
#include <random>
#include <vector>

/// Steps of ChooseEndpoint.
namespace cuminslip {

/// Endpoints that may take the request now, by position, and why the others
/// may not.
struct Candidates
{
  std::vector<std::size_t> mIndexes;
  RuledOut mRuledOut;
};

/// Filters by permission, health, earlier attempts, memory and lane.
auto
FindCandidates(const ChoiceInput& aInput, const ChoiceSettings& aSettings)
  -> Candidates;

/// The engines among aIndexes that are preferred for the prompt's first
/// prefix, by rendezvous hashing; none when it has no prefix.
auto
FindPreferredEngines(const ChoiceInput& aInput,
                     const std::vector<std::size_t>& aIndexes,
                     const ChoiceSettings& aSettings)
  -> std::vector<std::size_t>;

/// Keeps the holders of the longest cached prefixes, the preferred and a random
/// sample.
auto
SampleCandidates(std::vector<std::size_t> aIndexes,
                 const std::vector<CachedPrefix>& aCached,
                 const std::vector<std::size_t>& aPreferred,
                 const ChoiceSettings& aSettings,
                 std::mt19937_64& aRandom) -> std::vector<std::size_t>;

/// What is known of one endpoint before it is compared.
struct EvaluationInput
{
  std::size_t mIndex = 0;
  CachedPrefix mCached;
  bool mIsPreferred = false;
  /// Overlooks past failures and slowness.
  bool mIsExplored = false;
};

/// Predicts the times of one endpoint and their cost.
auto
EvaluateEndpoint(const ChoiceInput& aInput,
                 const EvaluationInput& aEvaluation,
                 const ChoiceSettings& aSettings) -> ConsideredEndpoint;

} // namespace cuminslip
