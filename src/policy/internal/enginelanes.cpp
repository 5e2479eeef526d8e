#include "policy/enginelanes.h"

#include "policy/passmodel.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cuminslip {

namespace {

using routing::EngineTiming;

constexpr auto kNever = std::numeric_limits<double>::infinity();

auto
ToMillis(Millis aTime) -> double
{
  return static_cast<double>(aTime.count());
}

/// Positions of the engines in the shared order.
auto
ListInOrder(std::span<const EngineCandidate> aEngines)
  -> std::vector<std::size_t>
{
  auto order = std::vector<std::size_t>(aEngines.size());
  for (auto i = std::size_t{ 0 }; i < order.size(); ++i) {
    order[i] = i;
  }
  std::sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return aEngines[aLeft].mOrder < aEngines[aRight].mOrder;
  });
  return order;
}

/// Number of engines that the short prompts under way and one more need.
auto
CountPacked(const EngineTiming& aTiming,
            std::span<const EngineCandidate> aEngines,
            const LaneRules& aRules) -> std::size_t
{
  auto streams = std::int64_t{ 1 };
  for (const auto& it : aEngines) {
    streams +=
      std::max<std::int64_t>(it.mWork.mStreams - it.mWork.mLongStreams, 0);
  }
  const auto each =
    std::max(1.0, static_cast<double>(aTiming.mSlots) * aRules.mPackShare);
  const auto needed = std::ceil(static_cast<double>(streams) / each);
  return std::min(static_cast<std::size_t>(needed), aEngines.size());
}

/// Time to the first event on one engine; waits for a slot where all are taken.
auto
FirstEventMillis(const EngineTiming& aTiming,
                 const EngineCandidate& aEngine,
                 double aPrefillMillis) -> double
{
  const auto& work = aEngine.mWork;
  const auto pass = PassMillis(aTiming, work.mStreams + 1, work.mContextTokens);
  const auto over = work.mStreams + 1 - aTiming.mSlots;
  // NOTE: with all slots taken one is free after a few passes; a stream has
  // some thirty of them, and the slots are at different ones.
  constexpr auto kPassesUntilFreeSlot = 3.0;
  const auto wait =
    over > 0 ? static_cast<double>(over) * pass * kPassesUntilFreeSlot : 0.0;
  return (work.mReadMillis + aPrefillMillis + pass + wait) * aEngine.mSlowdown;
}

/// Longest pause of the streams on an engine while it reads aPrefillMillis
/// more.
auto
PauseMillis(const EngineTiming& aTiming,
            const EngineCandidate& aEngine,
            double aPrefillMillis) -> double
{
  const auto& work = aEngine.mWork;
  const auto pass = PassMillis(aTiming, work.mStreams + 1, work.mContextTokens);
  return (work.mReadMillis + aPrefillMillis + pass) * aEngine.mSlowdown;
}

struct Place
{
  std::size_t mEngine = 0;
  double mMillis = kNever;
};

/// The engine of aPlaces with the earliest first event; near ones where times
/// are alike.
auto
FindEarliest(const EngineTiming& aTiming,
             const PromptWork& aPrompt,
             std::span<const EngineCandidate> aEngines,
             std::span<const std::size_t> aPlaces,
             const LaneRules& aRules) -> Place
{
  // NOTE: without memory a prompt waits until a stream ends.
  constexpr auto kNoMemoryMillis = 2000.0;
  const auto read = PrefillMillis(aTiming, aPrompt.mPromptTokens);
  const auto tokens = aPrompt.mPromptTokens + aPrompt.mOutputTokens;
  auto best = Place{ aPlaces.front(), kNever };
  for (const auto i : aPlaces) {
    const auto distance = aEngines[i].mIsNear ? 0.0 : ToMillis(aRules.mTie);
    const auto hasMemory =
      aEngines[i].mWork.mContextTokens + tokens <= aTiming.mKvCacheTokens;
    const auto time = FirstEventMillis(aTiming, aEngines[i], read) + distance +
                      (hasMemory ? 0.0 : kNoMemoryMillis);
    if (time < best.mMillis) {
      best = { i, time };
    }
  }
  return best;
}

/// Some of aPlaces at random, or all when aSample is 0.
auto
DrawSample(std::span<const EngineCandidate> aEngines,
           std::span<const std::size_t> aPlaces,
           std::size_t aSample) -> std::vector<std::size_t>
{
  auto places = std::vector<std::size_t>(aPlaces.begin(), aPlaces.end());
  if (aSample == 0 || places.size() <= aSample) {
    return places;
  }
  std::partial_sort(places.begin(),
                    places.begin() + static_cast<std::ptrdiff_t>(aSample),
                    places.end(),
                    [&](auto aLeft, auto aRight) {
                      return aEngines[aLeft].mRandomKey <
                             aEngines[aRight].mRandomKey;
                    });
  places.resize(aSample);
  return places;
}

auto
PlaceShort(const EngineTiming& aTiming,
           const PromptWork& aPrompt,
           std::span<const EngineCandidate> aEngines,
           const LaneRules& aRules) -> LaneChoice
{
  const auto order = ListInOrder(aEngines);
  const auto packed = CountPacked(aTiming, aEngines, aRules);
  const auto places = std::span(order);
  const auto inside =
    FindEarliest(aTiming,
                 aPrompt,
                 aEngines,
                 DrawSample(aEngines, places.last(packed), aRules.mSample),
                 aRules);
  const auto target = ToMillis(aPrompt.mAnswerTarget - aPrompt.mWaited);
  if (inside.mMillis <= target || packed == order.size()) {
    return { inside.mEngine, {}, LaneReason::Packed, inside.mMillis };
  }
  const auto any = FindEarliest(aTiming, aPrompt, aEngines, places, aRules);
  return { any.mEngine, {}, LaneReason::Spilled, any.mMillis };
}

/// Memory of an engine that a prompt may take.
auto
FreeTokens(const EngineTiming& aTiming,
           const EngineCandidate& aEngine,
           const LaneRules& aRules) -> std::int64_t
{
  const auto usable = static_cast<std::int64_t>(
    static_cast<double>(aTiming.mKvCacheTokens) * aRules.mMemoryShare);
  return std::max<std::int64_t>(usable - aEngine.mWork.mContextTokens, 0);
}

/// Engines that read a prompt together, when the first event comes, and what
/// that costs others and itself, in short requests that are late.
struct ReaderGroup
{
  std::vector<std::size_t> mEngines;
  double mPartMillis = 0;
  double mFirstEventMillis = kNever;
  double mCost = kNever;
};

/// What streams on an engine lose while it reads a part.
auto
CostToStreams(const EngineTiming& aTiming,
              const PromptWork& aPrompt,
              const EngineCandidate& aEngine,
              double aPartMillis) -> double
{
  const auto& work = aEngine.mWork;
  const auto pause = PauseMillis(aTiming, aEngine, aPartMillis);
  const auto isLongForShort = pause > ToMillis(aPrompt.mStrictestPause);
  const auto harmed =
    (isLongForShort
       ? std::max<std::int64_t>(work.mStreams - work.mLongStreams, 0)
       : 0) +
    work.mStreamsInPrefill;
  // NOTE: a long stream that pauses for too long has lost what several engines
  // read for it; one that is not read yet is put off by each part.
  constexpr auto kLongStreamValue = 10.0;
  constexpr auto kUnreadLongValue = 8.0;
  const auto harmedLong =
    pause > work.mPauseMillis ? static_cast<double>(work.mLongStreams) : 0.0;
  return static_cast<double>(harmed) + harmedLong * kLongStreamValue +
         static_cast<double>(work.mLongPromptsInPrefill) * kUnreadLongValue;
}

auto
PromptValue(const PromptWork& aPrompt, const LaneRules& aRules) -> double
{
  return std::max(
    1.0, static_cast<double>(aPrompt.mPromptTokens) / aRules.mTokensPerValue);
}

/// What the prompt itself loses by a first event at that time.
auto
LatenessCost(const PromptWork& aPrompt, double aMillis, const LaneRules& aRules)
  -> double
{
  // NOTE: among times that are early enough the earlier one is a little better.
  constexpr auto kEarlyShare = 0.1;
  const auto target = ToMillis(aPrompt.mAnswerTarget);
  const auto sum = ToMillis(aPrompt.mWaited) + aMillis;
  const auto share = std::min(sum / std::max(target, 1.0), 1.0) * kEarlyShare;
  return sum > target ? PromptValue(aPrompt, aRules) * aRules.mLateLoss + share
                      : share;
}

/// The readers of aSize that harms least.
auto
SelectReaders(const EngineTiming& aTiming,
              const PromptWork& aPrompt,
              std::span<const EngineCandidate> aEngines,
              std::size_t aSize,
              double aPrefillMillis,
              const LaneRules& aRules) -> ReaderGroup
{
  struct Member
  {
    double mStreamCost = 0;
    double mMillis = 0;
    std::uint64_t mRandomKey = 0;
    std::size_t mEngine = 0;

    auto operator<=>(const Member&) const = default;
  };
  auto readers =
    ReaderGroup{ {}, aPrefillMillis / static_cast<double>(aSize), 0, 0 };
  auto members = std::vector<Member>{};
  for (auto i = std::size_t{ 0 }; i < aEngines.size(); ++i) {
    members.push_back(
      { CostToStreams(aTiming, aPrompt, aEngines[i], readers.mPartMillis),
        PauseMillis(aTiming, aEngines[i], readers.mPartMillis),
        aEngines[i].mRandomKey,
        i });
  }
  std::partial_sort(members.begin(),
                    members.begin() + static_cast<std::ptrdiff_t>(aSize),
                    members.end());
  for (auto i = std::size_t{ 0 }; i < aSize; ++i) {
    readers.mEngines.push_back(members[i].mEngine);
    readers.mFirstEventMillis =
      std::max(readers.mFirstEventMillis, members[i].mMillis);
    readers.mCost += members[i].mStreamCost;
  }
  readers.mCost += LatenessCost(aPrompt, readers.mFirstEventMillis, aRules);
  return readers;
}

auto
FindReaderGroup(const EngineTiming& aTiming,
                const PromptWork& aPrompt,
                std::span<const EngineCandidate> aEngines,
                const LaneRules& aRules) -> ReaderGroup
{
  const auto read = PrefillMillis(aTiming, aPrompt.mPromptTokens);
  const auto parts = std::max(
    1.0, std::ceil(read / std::max(ToMillis(aRules.mShortestPart), 1.0)));
  const auto most = std::min(
    { aEngines.size(), aRules.mMaxReaders, static_cast<std::size_t>(parts) });
  auto best = ReaderGroup{};
  for (auto n = std::size_t{ 1 }; n <= most; ++n) {
    auto readers = SelectReaders(aTiming, aPrompt, aEngines, n, read, aRules);
    if (readers.mCost < best.mCost) {
      best = std::move(readers);
    }
  }
  return best;
}

/// Gives each engine of a readers its part, and finds memory for the prompt: on
/// one engine where possible, the fullest that has room, else on several. No
/// engine when there is not enough.
auto
AssignParts(const EngineTiming& aTiming,
            const PromptWork& aPrompt,
            std::span<const EngineCandidate> aEngines,
            ReaderGroup aReaderGroup,
            const LaneRules& aRules) -> LaneChoice
{
  const auto tokens = aPrompt.mPromptTokens + aPrompt.mOutputTokens;
  auto& members = aReaderGroup.mEngines;
  const auto free = [&](std::size_t aEngine) {
    return FreeTokens(aTiming, aEngines[aEngine], aRules);
  };
  const auto hasRoom = [&](std::size_t aEngine) {
    return free(aEngine) >= tokens &&
           aEngines[aEngine].mWork.mStreams < aTiming.mSlots;
  };
  // NOTE: the fullest with room comes first, else the emptiest do.
  std::stable_sort(
    members.begin(), members.end(), [&](auto aLeft, auto aRight) {
      if (hasRoom(aLeft) != hasRoom(aRight)) {
        return hasRoom(aLeft);
      }
      return hasRoom(aLeft) ? free(aLeft) < free(aRight)
                            : free(aLeft) > free(aRight);
    });
  auto choice =
    LaneChoice{ members.front(),
                {},
                members.size() > 1 ? LaneReason::Together : LaneReason::Alone,
                aReaderGroup.mFirstEventMillis };
  auto missing = tokens - free(members.front());
  for (auto i = std::size_t{ 1 }; i < members.size(); ++i) {
    const auto hold = std::clamp<std::int64_t>(missing, 0, free(members[i]));
    missing -= hold;
    choice.mHelpers.push_back(
      { members[i],
        hold,
        aEngines[members[i]].mWork.mReadMillis + aReaderGroup.mPartMillis });
  }
  if (missing > 0) {
    choice.mEngine.reset();
  }
  return choice;
}

/// Waits while there is time, else gives up.
auto
WaitOrRefuse(const PromptWork& aPrompt, const LaneRules& aRules) -> LaneChoice
{
  const auto whole = ToMillis(aPrompt.mWaited + aPrompt.mAllowance);
  const auto isLate = ToMillis(aPrompt.mWaited) >= whole * aRules.mWaitShare;
  return { {}, {}, isLate ? LaneReason::Refuse : LaneReason::Wait, 0 };
}

/// True when the readers costs no more than the prompt would lose by waiting.
auto
IsPlacementWorthwhile(const PromptWork& aPrompt,
                      const ReaderGroup& aReaderGroup,
                      const LaneRules& aRules) -> bool
{
  const auto target = ToMillis(aPrompt.mAnswerTarget);
  const auto waited = ToMillis(aPrompt.mWaited);
  const auto isOnTime = waited + aReaderGroup.mFirstEventMillis <= target;
  if (waited < target * aRules.mGatherShare) {
    return aReaderGroup.mCost <= aRules.mMaxCostWhileWaiting;
  }
  const auto gain = PromptValue(aPrompt, aRules) *
                    (isOnTime ? aRules.mLateLoss : 1 - aRules.mLateLoss);
  const auto streamCost =
    aReaderGroup.mCost -
    LatenessCost(aPrompt, aReaderGroup.mFirstEventMillis, aRules);
  return streamCost <= gain;
}

auto
PlaceLong(const EngineTiming& aTiming,
          const PromptWork& aPrompt,
          std::span<const EngineCandidate> aEngines,
          const LaneRules& aRules) -> LaneChoice
{
  auto readers = FindReaderGroup(aTiming, aPrompt, aEngines, aRules);
  if (!IsPlacementWorthwhile(aPrompt, readers, aRules)) {
    return WaitOrRefuse(aPrompt, aRules);
  }
  const auto choice =
    AssignParts(aTiming, aPrompt, aEngines, std::move(readers), aRules);
  return choice.mEngine ? choice : WaitOrRefuse(aPrompt, aRules);
}

} // namespace

auto
AddWork(const EngineWork& aLeft, const EngineWork& aRight) -> EngineWork
{
  return { aLeft.mStreams + aRight.mStreams,
           aLeft.mContextTokens + aRight.mContextTokens,
           std::max(aLeft.mReadMillis, aRight.mReadMillis),
           aLeft.mLongStreams + aRight.mLongStreams,
           std::min(aLeft.mPauseMillis, aRight.mPauseMillis),
           aLeft.mStreamsInPrefill + aRight.mStreamsInPrefill,
           aLeft.mLongPromptsInPrefill + aRight.mLongPromptsInPrefill };
}

auto
ToText(LaneReason aReason) -> std::string_view
{
  switch (aReason) {
    case LaneReason::Packed:
      return "packed";
    case LaneReason::Spilled:
      return "spilled";
    case LaneReason::Alone:
      return "alone";
    case LaneReason::Together:
      return "together";
    case LaneReason::Wait:
      return "wait";
    case LaneReason::Refuse:
      return "refuse";
  }
  return "unknown";
}

auto
IsLongPrompt(const EngineTiming& aTiming, const PromptWork& aPrompt) -> bool
{
  const auto pause = PrefillMillis(aTiming, aPrompt.mPromptTokens) +
                     PassMillis(aTiming, 1, aPrompt.mPromptTokens);
  return pause > ToMillis(aPrompt.mStrictestPause);
}

auto
ChooseEngines(const EngineTiming& aTiming,
              const PromptWork& aPrompt,
              std::span<const EngineCandidate> aEngines,
              const LaneRules& aRules) -> LaneChoice
{
  if (aEngines.empty()) {
    return {};
  }
  auto choice = IsLongPrompt(aTiming, aPrompt)
                  ? PlaceLong(aTiming, aPrompt, aEngines, aRules)
                  : PlaceShort(aTiming, aPrompt, aEngines, aRules);
  const auto isTooLate =
    choice.mEngine && choice.mFirstEventMillis >= ToMillis(aPrompt.mAllowance);
  if (isTooLate) {
    choice = { {}, {}, LaneReason::Refuse, choice.mFirstEventMillis };
  }
  return choice;
}

} // namespace cuminslip
