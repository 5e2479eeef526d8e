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
/// turns. While a long prompt is read, every stream on that engine pauses; so
/// short prompts are packed on as few engines as serve them in time, from one
/// end of an order that all instances share, and long ones are spread from the
/// other end, over several engines where one alone would be late. Pure.
namespace cuminslip {

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
  /// The engine's own state: leaving, failing or unreachable ones take nothing.
  bool mIsUsable = true;
  /// Is in the failure domain of this instance.
  bool mIsNear = false;
  /// Above 1 for an engine that was found slow.
  double mPace = 1.0;

  auto operator==(const EngineCandidate&) const -> bool = default;
};

struct PromptWork
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  Millis mAnswerTarget{ 0 };
  /// The shortest pause that any stream of the service allows.
  Millis mStrictestPause{ 0 };
  /// Time that the request has left.
  Millis mAllowance{ 0 };

  auto operator==(const PromptWork&) const -> bool = default;
};

struct LaneRules
{
  /// Streams that a packed engine is filled to, as a share of its slots. Above
  /// it, prompts that arrive together wait for a slot.
  double mPackShare = 0.65;
  /// Share of the answer's target that reading may take on one engine before
  /// others help.
  double mReadShare = 0.4;
  /// Engines that read one prompt.
  std::size_t mMaxReaders = 6;
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
  /// A long prompt on an engine without other work.
  Idle,
  /// A long prompt behind other work.
  Queued,
  /// No engine is usable.
  None,
  /// Larger than the memory of the engines that may read it.
  TooLarge
};

/// Name for logs. Thread safe.
auto
ToText(LaneReason aReason) -> std::string_view;

struct LaneChoice
{
  /// Position in the candidates.
  std::optional<std::size_t> mEngine;
  /// Engines that read parts of the prompt besides.
  std::vector<std::size_t> mHelpers;
  LaneReason mReason = LaneReason::None;
  /// Predicted time to the first event.
  double mFirstEventMillis = 0;

  auto operator==(const LaneChoice&) const -> bool = default;
};

/// True when reading the prompt would hold up the streams beside it for longer
/// than the strictest of them allows.
auto
IsLongPrompt(const routing::EngineTiming& aTiming, const PromptWork& aPrompt)
  -> bool;

/// Chooses engines for a prompt. Thread safe.
auto
ChooseEngines(const routing::EngineTiming& aTiming,
              const PromptWork& aPrompt,
              std::span<const EngineCandidate> aEngines,
              const LaneRules& aRules) -> LaneChoice;

} // namespace cuminslip
