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
FindPreferredEngines(const ChoiceInput& aInput,
                     const std::vector<std::size_t>& aIndexes,
                     const ChoiceSettings& aSettings)
  -> std::vector<std::size_t>;

/// Reduces the candidates to the holders of the longest cached prefixes, the
/// engines found by FindPreferredEngines and a random sample.
auto
SampleCandidates(std::vector<std::size_t> aIndexes,
                 const std::vector<CachedPrefix>& aCached,
                 const std::vector<std::size_t>& aPreferred,
                 const ChoiceSettings& aSettings,
                 std::mt19937_64& aRandom) -> std::vector<std::size_t>;

/// Input for the evaluation of one endpoint.
struct EvaluationInput
{
  std::size_t mIndex = 0;
  CachedPrefix mCached;
  bool mIsPreferred = false;
  /// Ignore past failures and slowness; see ChoiceSettings::mExploreShare.
  bool mIsExplored = false;
};

/// Predicts the times of one endpoint and computes its cost.
auto
EvaluateEndpoint(const ChoiceInput& aInput,
                 const EvaluationInput& aEvaluation,
                 const ChoiceSettings& aSettings) -> ConsideredEndpoint;

} // namespace cuminslip
