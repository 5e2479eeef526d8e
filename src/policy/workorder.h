#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "policy/deferral.h"
#include "policy/enginelanes.h"

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
  /// value that a late answer loses.
  double mTokensPerValue = LaneRules{}.mTokensPerValue;
  double mLateLoss = LaneRules{}.mLateLoss;
  /// Maximum number of engines that prefill one prompt, and minimum time of the
  /// part of each.
  std::size_t mMaxReaders = LaneRules{}.mMaxReaders;
  Millis mMinPartTime = LaneRules{}.mMinPartTime;
  /// A prompt that must start within this time to meet its target, or its
  /// deadline, is promoted within its priority.
  Millis mPromotionTime{ 1000 };
  /// An account with more than this multiple of the mean work of all accounts
  /// comes after the others of its priority.
  double mMaxAccountShare = 3;
  /// A prompt is refused if its forecast end exceeds the time it has left by
  /// more than this fraction, since forecasts are uncertain.
  double mOverrunShare = 0.25;
  /// A prompt with less than this fraction of its route's timeout left when it
  /// arrives has been refused before; as for short prompts.
  double mReturnedShare = DeferralRules{}.mReturnedShare;
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

/// The prompts of one service that wait at an instance, as seen by one of them.
struct OwnQueue
{
  /// Engine milliseconds of all that come before it.
  double mAheadMillis = 0;
  /// Of its own priority, those that come before it and all, itself included.
  double mSameAheadMillis = 0;
  double mSameMillis = 0;

  auto operator==(const OwnQueue&) const -> bool = default;
};

/// Load notices state waiting work for this many priorities; lower ones count
/// as the last of them.
inline constexpr auto kStatedPriorities = std::size_t{ 8 };

/// Returns the position of a priority in load notices.
auto
StatedPriority(int aPriority) -> std::size_t;

/// Returns the part of the work waiting at other instances that comes before a
/// prompt: all of the more urgent priorities, and of its own priority the same
/// fraction as at this instance, where the prompt counts as half ahead of
/// itself. aWaitingMillis is by priority.
auto
WorkAheadElsewhere(std::span<const double> aWaitingMillis,
                   const WaitingPrompt& aPrompt,
                   const OwnQueue& aQueue) -> double;

/// Returns what the prompt at aPosition sees of the waiting prompts, without
/// sorting them.
auto
QueueOf(std::span<const WaitingPrompt> aPrompts,
        std::size_t aPosition,
        const WorkOrderRules& aRules,
        const WorkContext& aContext = {}) -> OwnQueue;

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
  /// Latest forecast start at which the prompt waits; below 0 if it is refused
  /// whatever the forecast.
  double mStartByMillis = 0;

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

/// Urgency that engines assume where none is stated.
inline constexpr auto kDefaultUrgency = 5;

/// Returns the urgency to state to the engine, 0 to 9; 0 is first. Short
/// prompts in time come before long ones, late prompts last.
auto
UrgencyOf(const WaitingPrompt& aPrompt,
          bool aIsShort,
          double aEngines,
          const WorkOrderRules& aRules) -> int;

} // namespace cuminslip
