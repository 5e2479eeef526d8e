#pragma once

#include "base/clock.h"
#include "routing/types/routingdocument.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// Places prompts of unlike lengths on engines whose batches read and write by
/// turns. Whatever an engine reads, all its streams pause for; so a prompt goes
/// where no stream pauses for longer than it may. Short prompts are packed on
/// as few engines as serve them in time, from one end of an order that all
/// instances share; long ones are read in parts by many engines, those whose
/// streams lose least by it, and wait while that costs more than it gains.
/// Pure.
namespace cuminslip {

/// A pause that no stream minds.
inline constexpr auto kNoPauseLimitMillis = 1e9;

/// What runs on an engine, as far as an instance knows.
struct EngineWork
{
  /// Requests that are read or written.
  std::int64_t mStreams = 0;
  std::int64_t mContextTokens = 0;
  /// Reading still to be done.
  double mReadMillis = 0;
  /// Those of mStreams whose prompt is long.
  std::int64_t mLongStreams = 0;
  /// The shortest pause that one of the long streams allows.
  double mPauseMillis = kNoPauseLimitMillis;
  /// Those of mStreams whose prompt is still read there. Parts of other prompts
  /// would be read before it.
  std::int64_t mStreamsInPrefill = 0;
  /// Long prompts of which something is still read there. An engine reads the
  /// newest part first, so that one more puts off all of them.
  std::int64_t mLongPromptsInPrefill = 0;

  auto operator==(const EngineWork&) const -> bool = default;
};

/// The work that two instances gave together. Each counts the reading that it
/// knows of before its own, so the later end is that of both.
auto
AddWork(const EngineWork& aLeft, const EngineWork& aRight) -> EngineWork;

/// One engine at the time of a choice.
struct EngineCandidate
{
  EngineWork mWork;
  /// Position in the order that all instances share.
  std::uint64_t mOrder = 0;
  /// Is in the failure domain of this instance.
  bool mIsNear = false;
  /// Above 1 for an engine that was found slow.
  double mSlowdown = 1.0;
  /// A random number, drawn anew for each choice: instances whose knowledge is
  /// the same must not all choose the same engine.
  std::uint64_t mRandomKey = 0;

  auto operator==(const EngineCandidate&) const -> bool = default;
};

struct PromptWork
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  Millis mAnswerTarget{ 0 };
  /// The shortest pause that any stream of the service allows.
  Millis mStrictestPause{ 0 };
  /// Time since the request came, and time that it has left.
  Millis mWaited{ 0 };
  Millis mAllowance{ 0 };

  auto operator==(const PromptWork&) const -> bool = default;
};

struct LaneRules
{
  /// Packed engines that are looked at for a short prompt; 0 looks at all. Two
  /// or three random ones where the others' work is known late.
  std::size_t mSample = 0;
  /// Streams that a packed engine is filled to, as a share of its slots. Above
  /// it, prompts that arrive together wait for a slot.
  double mPackShare = 0.8;
  /// Parts of a prompt are not made shorter than this: each costs its engine a
  /// pass.
  Millis mShortestPart{ 150 };
  /// A prompt waits for a better place for this share of its answer's target.
  double mGatherShare = 0.4;
  /// What a placement may cost while there is time to wait for a better one, in
  /// short requests that would be late.
  double mMaxCostWhileWaiting = 0.9;
  /// Prompt tokens that are worth as much as one short request.
  double mTokensPerValue = 8000;
  /// Part of its value that a late request loses.
  double mLateLoss = 0.75;
  /// Engines that read one prompt, the first one included.
  std::size_t mMaxReaders = 17;
  /// Share of an engine's memory that one prompt may take, so that the others
  /// there are not preempted.
  double mMemoryShare = 0.92;
  /// Share of its whole time that a prompt waits for engines.
  double mWaitShare = 0.5;
  /// Two engines' times count as equal within this.
  Millis mTie{ 15 };

  auto operator==(const LaneRules&) const -> bool = default;
};

enum class LaneReason : std::uint8_t
{
  /// A short prompt on an engine of the packed end.
  Packed,
  /// A short prompt outside it, since that was full.
  Spilled,
  /// A long prompt that one engine reads.
  Alone,
  /// A long prompt that several engines read.
  Together,
  /// No engine can take it now without streamCost to others.
  Wait,
  /// No engine could take it in its time.
  Refuse
};

/// Name for logs. Thread safe.
auto
ToText(LaneReason aReason) -> std::string_view;

/// An engine that helps with a prompt.
struct Helper
{
  /// Position in the candidates.
  std::size_t mEngine = 0;
  /// Memory to be set aside there for the prompt; 0 when it only reads.
  std::int64_t mHoldTokens = 0;
  /// Predicted time until its part is read.
  double mReadMillis = 0;

  auto operator==(const Helper&) const -> bool = default;
};

struct LaneChoice
{
  /// Position in the candidates.
  std::optional<std::size_t> mEngine;
  std::vector<Helper> mHelpers;
  LaneReason mReason = LaneReason::Refuse;
  /// Predicted time to the first event.
  double mFirstEventMillis = 0;

  auto operator==(const LaneChoice&) const -> bool = default;
};

/// True when reading the prompt would hold up the streams beside it for longer
/// than the strictest of them allows. Thread safe.
auto
IsLongPrompt(const routing::EngineTiming& aTiming, const PromptWork& aPrompt)
  -> bool;

/// Chooses engines for a prompt, among those that are usable. Thread safe.
auto
ChooseEngines(const routing::EngineTiming& aTiming,
              const PromptWork& aPrompt,
              std::span<const EngineCandidate> aEngines,
              const LaneRules& aRules) -> LaneChoice;

} // namespace cuminslip
