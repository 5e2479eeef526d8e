#pragma once

#include "base/clock.h"
#include "routing/types/routingdocument.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// Places prompts of different lengths on engines whose batches alternate
/// between prefill and decode. All streams of an engine pause while it
/// prefills, so a prompt goes where no stream pauses for longer than it allows.
/// Short prompts are packed on as few engines as serve them in time, from one
/// end of an order that all instances share. The prefill of a long prompt is
/// divided among several engines, those whose streams lose least by it; the
/// prompt waits while that costs more than it gains. Pure functions.
namespace cuminslip {

/// Pause limit of a stream that allows any pause, in milliseconds.
inline constexpr auto kNoPauseLimitMillis = 1e9;

/// Work in progress on an engine, as far as an instance knows.
struct EngineWork
{
  /// Requests in prefill or decode.
  std::int64_t mStreams = 0;
  std::int64_t mContextTokens = 0;
  /// Remaining prefill time.
  double mReadMillis = 0;
  /// Number of mStreams whose prompt is long.
  std::int64_t mLongStreams = 0;
  /// Shortest pause that any of the long streams allows.
  double mPauseMillis = kNoPauseLimitMillis;
  /// Number of mStreams still in prefill on this engine. The engine would
  /// prefill parts of other prompts before them.
  std::int64_t mStreamsInPrefill = 0;
  /// Number of long prompts of which a part is still in prefill here. An engine
  /// prefills the newest part first, so another part delays all of them.
  std::int64_t mLongPromptsInPrefill = 0;
  /// Number of mStreams that claim one of the last free slots and are not sent
  /// yet.
  std::int64_t mClaimedStreams = 0;

  auto operator==(const EngineWork&) const -> bool = default;
};

/// Adds up the work that two instances sent to an engine. mReadMillis is the
/// greater of both, since each instance already counts the prefill that it knew
/// of before its own.
auto
AddWork(const EngineWork& aLeft, const EngineWork& aRight) -> EngineWork;

/// State of one engine at the time of a choice.
struct EngineCandidate
{
  EngineWork mWork;
  /// Position in the order that all instances share.
  std::uint64_t mOrder = 0;
  /// False if a part of a prompt may not be sent there: nothing but the address
  /// tells it from an endpoint of another service.
  bool mMayHelp = true;
  /// True if the engine is in the failure domain of this instance.
  bool mIsInOwnFailureDomain = false;
  /// Factor on predicted times; above 1 for an engine that was measured as
  /// slow.
  double mSlowdown = 1.0;
  /// Random number, drawn for each choice, so that instances with the same
  /// information do not all choose the same engine.
  std::uint64_t mRandomKey = 0;

  auto operator==(const EngineCandidate&) const -> bool = default;
};

struct PromptWork
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  Millis mAnswerTarget{ 0 };
  /// Shortest pause that any stream of the service allows.
  Millis mStrictestPause{ 0 };
  /// Time since the request arrived, and time that remains for it.
  Millis mWaited{ 0 };
  Millis mAllowance{ 0 };

  auto operator==(const PromptWork&) const -> bool = default;
};

struct LaneRules
{
  /// Number of randomly chosen packed engines to compare for a short prompt; 0
  /// compares all. Use two or three if the work of other instances is known
  /// only with a delay.
  std::size_t mSample = 0;
  /// Number of streams up to which an engine is packed, as a fraction of its
  /// slots. Above it, prompts that arrive together wait for a slot.
  double mPackShare = 0.8;
  /// Minimum prefill time of a part of a prompt, since each part costs its
  /// engine a pass.
  Millis mMinPartTime{ 150 };
  /// Time of a pass that decodes, allowed for beside a part where the strictest
  /// pause leaves less than mMinPartTime.
  Millis mPassAllowance{ 100 };
  /// Fraction of the answer target for which a prompt waits for a cheaper
  /// placement.
  double mCheapPlacementShare = 0.4;
  /// Maximum cost of a placement while there is time to wait for a cheaper one,
  /// in short requests that would be late.
  double mMaxCostWhileWaiting = 0.9;
  /// Number of prompt tokens valued as one short request.
  double mTokensPerValue = 8000;
  /// Fraction of its value that a late request loses.
  double mLateLoss = 0.75;
  /// Maximum number of engines that prefill one prompt, the first one
  /// included.
  std::size_t mMaxReaders = 17;
  /// Fraction of an engine's memory that may be in use after a long prompt is
  /// placed there, so that other streams are not preempted.
  double mMemoryShare = 0.92;
  /// Fraction of its total time that a prompt may wait for engines.
  double mWaitShare = 0.5;
  /// Times of two engines within this difference count as equal.
  Millis mTie{ 15 };

  auto operator==(const LaneRules&) const -> bool = default;
};

enum class LaneReason : std::uint8_t
{
  /// A short prompt on one of the packed engines.
  Packed,
  /// A short prompt placed by comparing all engines, since the packed ones that
  /// were compared would be late.
  Spilled,
  /// A short prompt that is late on every engine, on one with free slots.
  FreeSlot,
  /// A long prompt that one engine prefills.
  Alone,
  /// A long prompt that several engines prefill.
  Together,
  /// No engine can take the prompt now at an acceptable cost to other streams.
  Wait,
  /// No engine could take the prompt before mWaitShare of its time had passed,
  /// or the first event is predicted to miss its allowance.
  Refuse
};

/// Returns the name used in logs. Thread safe.
auto
ToText(LaneReason aReason) -> std::string_view;

/// A further engine that prefills or holds a part of a prompt.
struct Helper
{
  /// Position in the list of candidates.
  std::size_t mEngine = 0;
  /// KV memory to reserve there for the prompt; 0 if the engine only prefills.
  std::int64_t mHoldTokens = 0;
  /// Predicted time until its part is prefilled.
  double mReadMillis = 0;

  auto operator==(const Helper&) const -> bool = default;
};

struct LaneChoice
{
  /// Position in the list of candidates; empty if no engine was chosen.
  std::optional<std::size_t> mEngine;
  std::vector<Helper> mHelpers;
  LaneReason mReason = LaneReason::Refuse;
  /// Predicted time to the first event of the answer.
  double mFirstEventMillis = 0;

  auto operator==(const LaneChoice&) const -> bool = default;
};

/// Returns true if prefilling the prompt would pause the other streams of the
/// engine for longer than the strictest of them allows. Thread safe.
auto
IsLongPrompt(const routing::EngineTiming& aTiming, const PromptWork& aPrompt)
  -> bool;

/// Chooses engines for a prompt. aEngines holds only usable engines. Thread
/// safe.
auto
ChooseEngines(const routing::EngineTiming& aTiming,
              const PromptWork& aPrompt,
              std::span<const EngineCandidate> aEngines,
              const LaneRules& aRules) -> LaneChoice;

/// Chooses the engine with the earliest first event for a short prompt, among
/// those that have more than aReservedSlots slots free and would bring the
/// event within the answer target from now on. Thread safe.
auto
ChooseFreeEngine(const routing::EngineTiming& aTiming,
                 const PromptWork& aPrompt,
                 std::span<const EngineCandidate> aEngines,
                 std::int64_t aReservedSlots,
                 const LaneRules& aRules) -> LaneChoice;

} // namespace cuminslip
