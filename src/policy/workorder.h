#pragma once

#include "base/clock.h"
#include "base/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

/// Orders the prompts that wait for engines, and decides which of them are
/// refused. Answers a load of long prompts above what the engines prefill: in
/// the order of arrival a few very long prompts delay many others, and prompts
/// without a chance wait for half of their time before they are refused. Pure
/// functions; thread safe.
namespace cuminslip {

struct WaitingPrompt
{
  std::uint64_t mId = 0;
  AccountId mAccount;
  /// 0 is the highest.
  int mPriority = 0;
  /// Prefill on one engine without other work, by policy/passmodel.h.
  double mEngineMillis = 0;
  std::int64_t mTokens = 0;
  Millis mAnswerTarget{ 0 };
  /// Time since the request arrived, and time that remains for it.
  Millis mWaited{ 0 };
  Millis mAllowance{ 0 };
  /// Its caller was refused before.
  bool mIsReturned = false;

  auto operator==(const WaitingPrompt&) const -> bool = default;
};

struct WorkOrderRules
{
  /// Number of prompt tokens valued as one short request, and fraction of its
  /// value that a late answer loses; as in LaneRules.
  double mTokensPerValue = 8000;
  double mLateLoss = 0.75;
  /// Maximum number of engines that prefill one prompt, and minimum time of the
  /// part of each; as in LaneRules.
  double mMaxReaders = 17;
  Millis mMinPartTime{ 150 };
  /// A prompt that must start within this time to meet its deadline is
  /// promoted within its priority.
  Millis mPromotionTime{ 500 };
  /// An account with more than this multiple of the mean work of all accounts
  /// comes after the others of its priority.
  double mMaxAccountShare = 3;
  /// A prompt is refused if its forecast end exceeds the time it has left by
  /// more than this fraction, since forecasts are uncertain.
  double mOverrunShare = 0.25;
  /// Bounds of Retry-After: at least a time, at most a fraction of the time
  /// left, which callers honour. Spread by up to a fraction, so that callers
  /// refused together do not return together.
  Millis mMinRetry{ 400 };
  double mMaxRetryShare = 0.3;
  double mRetrySpread = 0.25;

  auto operator==(const WorkOrderRules&) const -> bool = default;
};

/// Work of a client account in progress on engines.
struct AccountWork
{
  AccountId mAccount;
  double mEngineMillis = 0;

  auto operator==(const AccountWork&) const -> bool = default;
};

/// What the order depends on apart from the waiting prompts.
struct WorkContext
{
  /// Number of engines that may prefill the prompts.
  double mEngines = 1;
  /// Not owned. May name an account several times.
  std::span<const AccountWork> mRunning;
};

/// Returns the time to prefill the prompt on as many of aEngines as may share
/// it.
auto
SharedPrefillMillis(const WaitingPrompt& aPrompt,
                    double aEngines,
                    const WorkOrderRules& aRules) -> double;

/// Returns true if the prompt meets its answer target when it starts now.
auto
CanMeetTarget(const WaitingPrompt& aPrompt,
              double aEngines,
              const WorkOrderRules& aRules) -> bool;

/// Returns the positions of the prompts in the order in which to place them: by
/// priority, accounts within their share first, then promoted prompts, then
/// those that can still meet their target; within these by the loss avoided for
/// each engine millisecond, then by the time left.
auto
OrderWork(std::span<const WaitingPrompt> aPrompts,
          const WorkOrderRules& aRules,
          const WorkContext& aContext = {}) -> std::vector<std::size_t>;

/// Returns the engine milliseconds of the prompts that come before the one at
/// aPosition in that order, without sorting.
auto
WorkAhead(std::span<const WaitingPrompt> aPrompts,
          std::size_t aPosition,
          const WorkOrderRules& aRules,
          const WorkContext& aContext = {}) -> double;

/// When engines are expected to be free for a prompt.
struct RoomForecast
{
  /// Number of engines that the prompt may use.
  double mEngines = 0;
  /// Mean time until they have prefilled what they have now.
  double mBusyMillis = 0;
  /// Prefill of waiting prompts that come first, on one engine.
  double mAheadMillis = 0;

  auto operator==(const RoomForecast&) const -> bool = default;
};

enum class WaitVerdict : std::uint8_t
{
  Wait,
  Refuse
};

/// Returns the name used in logs.
auto
ToText(WaitVerdict aVerdict) -> std::string_view;

struct WaitDecision
{
  WaitVerdict mVerdict = WaitVerdict::Wait;
  /// Set if refused.
  Millis mRetryAfter{ 0 };

  auto operator==(const WaitDecision&) const -> bool = default;
};

/// Decides whether a prompt that finds no engines now waits for them. aDraw is
/// a random number from 0 to 1 that spreads Retry-After. A prompt whose caller
/// was refused before waits while it could be served if it were the next one.
auto
DecideWait(const WaitingPrompt& aPrompt,
           const RoomForecast& aForecast,
           const WorkOrderRules& aRules,
           double aDraw = 0) -> WaitDecision;

/// Returns the urgency to state to the engine, 0 to 9; 0 is first. Short
/// prompts in time come before long ones, late prompts last.
auto
UrgencyOf(const WaitingPrompt& aPrompt,
          bool aIsShort,
          double aEngines,
          const WorkOrderRules& aRules) -> int;

} // namespace cuminslip
