#pragma once

#include "policy/endpointchoice.h"
#include "policy/waitqueue.h"

#include <cstddef>
#include <cstdint>
#include <vector>

/// A small stand-in for a fleet: engines that read prompts one after the other
/// and instances that decide independently from late reports.
namespace cuminslip::bench {

/// What an engine reads next.
enum class ReadOrder : std::uint8_t
{
  /// A more urgent prompt goes before the rest of a long one.
  Chunks,
  /// The most urgent prompt, each to its end.
  Prompts,
  FirstComeFirstServed
};

struct FleetSettings
{
  std::size_t mEngines = 25;
  std::size_t mInstances = 8;
  /// Share of the engines' reading rate that the prompts need.
  double mLoad = 0.7;
  Millis mDuration{ 60000 };
  Millis mReportInterval{ 500 };
  /// Time from taking a report until an instance has it.
  Millis mReportDelay{ 100 };
  double mPrefillTokensPerSecond = 50000;
  double mDecodeTokensPerSecond = 40;
  std::int64_t mSlots = 32;
  ReadOrder mReadOrder = ReadOrder::Chunks;
  std::int64_t mLongestPrompt = 400000;
  /// Share of the requests that begin with one of mGroups common texts.
  double mGroupShare = 0.0;
  std::size_t mGroups = 60;
  std::size_t mCachedGroups = 8;
  /// Engines whose real rate is a fifth of the one they report.
  std::size_t mSlowEngines = 0;
  bool mUsesPrefixes = true;
  /// Share of the announcements whose cache events are lost; 1 means that
  /// instances know only what they sent.
  double mLostEvents = 1.0;
  Millis mHalfLife{ 600000 };
  bool mLearnsSlowness = true;
  /// Whether what was sent since the last report is counted.
  bool mCountsSent = true;
  bool mHasPriorities = true;
  /// Whether engines get priorities by length; else by the kind of work.
  bool mPriorityByLength = true;
  std::uint64_t mSeed = 1;
  ChoiceSettings mChoice;
};

/// One answered request.
struct FleetOutcome
{
  std::int64_t mTokens = 0;
  std::int64_t mReadTokens = 0;
  Micros mFirstToken{ 0 };
  /// Of an engine that has nothing else to do.
  Micros mUnloaded{ 0 };
};

struct FleetResult
{
  std::vector<FleetOutcome> mOutcomes;
  std::size_t mUnanswered = 0;
  /// Mean over time of the greatest queue of an engine against the mean one.
  double mImbalance = 0;
};

auto
RunFleet(const FleetSettings& aSettings) -> FleetResult;

} // namespace cuminslip::bench
