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

/// Returns the positions of the engines, sorted by the shared order.
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

/// Returns the number of engines needed for the running short prompts and one
/// more.
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

/// Predicts the time to the first event on one engine, including the wait for a
/// slot if all are in use.
auto
FirstEventMillis(const EngineTiming& aTiming,
                 const EngineCandidate& aEngine,
                 double aPrefillMillis) -> double
{
  const auto& work = aEngine.mWork;
  const auto pass = PassMillis(aTiming, work.mStreams + 1, work.mContextTokens);
  const auto over = work.mStreams + 1 - aTiming.mSlots;
  // NOTE: if all slots are in use, one becomes free after a few passes: a
  // stream takes about 30 passes, and the streams are at different stages.
  constexpr auto kPassesUntilFreeSlot = 3.0;
  const auto wait =
    over > 0 ? static_cast<double>(over) * pass * kPassesUntilFreeSlot : 0.0;
  return (work.mReadMillis + aPrefillMillis + pass + wait) * aEngine.mSlowdown;
}

/// Predicts how long the streams of an engine pause if it prefills for another
/// aPrefillMillis.
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

/// Predicts the first event of a short prompt on one engine. Adds mTie if the
/// engine is in another failure domain.
auto
PredictShort(const EngineTiming& aTiming,
             const PromptWork& aPrompt,
             const EngineCandidate& aEngine,
             const LaneRules& aRules) -> double
{
  // NOTE: if the memory is full, a prompt waits until another stream ends.
  constexpr auto kNoMemoryMillis = 2000.0;
  const auto read = PrefillMillis(aTiming, aPrompt.mPromptTokens);
  const auto tokens = aPrompt.mPromptTokens + aPrompt.mOutputTokens;
  const auto distance =
    aEngine.mIsInOwnFailureDomain ? 0.0 : ToMillis(aRules.mTie);
  const auto hasMemory =
    aEngine.mWork.mContextTokens + tokens <= aTiming.mKvCacheTokens;
  return FirstEventMillis(aTiming, aEngine, read) + distance +
         (hasMemory ? 0.0 : kNoMemoryMillis);
}

/// Finds the engine of aPlaces with the earliest first event.
auto
FindEarliest(const EngineTiming& aTiming,
             const PromptWork& aPrompt,
             std::span<const EngineCandidate> aEngines,
             std::span<const std::size_t> aPlaces,
             const LaneRules& aRules) -> Place
{
  auto best = Place{ aPlaces.front(), kNever };
  for (const auto i : aPlaces) {
    const auto time = PredictShort(aTiming, aPrompt, aEngines[i], aRules);
    if (time < best.mMillis) {
      best = { i, time };
    }
  }
  return best;
}

/// Returns a random sample of aPlaces, or all of them if aSample is 0.
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
  if (inside.mMillis <= target) {
    return { inside.mEngine, {}, LaneReason::Packed, inside.mMillis };
  }
  auto inTime = std::vector<std::size_t>{};
  std::copy_if(
    places.begin(), places.end(), std::back_inserter(inTime), [&](auto aPlace) {
      return PredictShort(aTiming, aPrompt, aEngines[aPlace], aRules) <= target;
    });
  const auto wider =
    inTime.empty() ? std::vector<std::size_t>(order) : std::move(inTime);
  const auto any = FindEarliest(aTiming,
                                aPrompt,
                                aEngines,
                                DrawSample(aEngines, wider, aRules.mSample),
                                aRules);
  return { any.mEngine, {}, LaneReason::Spilled, any.mMillis };
}

/// Returns the KV memory of an engine that a long prompt may use, in tokens.
auto
FreeTokens(const EngineTiming& aTiming,
           const EngineCandidate& aEngine,
           const LaneRules& aRules) -> std::int64_t
{
  const auto usable = static_cast<std::int64_t>(
    static_cast<double>(aTiming.mKvCacheTokens) * aRules.mMemoryShare);
  return std::max<std::int64_t>(usable - aEngine.mWork.mContextTokens, 0);
}

/// A group of engines that prefill a prompt together, its predicted time to the
/// first event, and its cost to other streams and to the prompt itself, in late
/// short requests.
struct ReaderGroup
{
  std::vector<std::size_t> mEngines;
  double mPartMillis = 0;
  double mFirstEventMillis = kNever;
  double mCost = kNever;
};

/// Returns the cost to the streams of an engine while it prefills a part, in
/// late short requests.
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
  // NOTE: if a long stream pauses for too long, the prefill that several
  // engines did for it is wasted; one still in prefill is delayed by each part.
  constexpr auto kLongStreamValue = 10.0;
  constexpr auto kLongPrefillValue = 8.0;
  const auto harmedLong =
    pause > work.mPauseMillis ? static_cast<double>(work.mLongStreams) : 0.0;
  return static_cast<double>(harmed) + harmedLong * kLongStreamValue +
         static_cast<double>(work.mLongPromptsInPrefill) * kLongPrefillValue;
}

auto
PromptValue(const PromptWork& aPrompt, const LaneRules& aRules) -> double
{
  return std::max(
    1.0, static_cast<double>(aPrompt.mPromptTokens) / aRules.mTokensPerValue);
}

/// Returns the cost to the prompt itself of a first event after aMillis.
auto
LatenessCost(const PromptWork& aPrompt, double aMillis, const LaneRules& aRules)
  -> double
{
  // NOTE: slightly prefers the earlier of two times that both meet the target.
  constexpr auto kEarlyShare = 0.1;
  const auto target = ToMillis(aPrompt.mAnswerTarget);
  const auto sum = ToMillis(aPrompt.mWaited) + aMillis;
  const auto share = std::min(sum / std::max(target, 1.0), 1.0) * kEarlyShare;
  return sum > target ? PromptValue(aPrompt, aRules) * aRules.mLateLoss + share
                      : share;
}

/// Selects the aSize engines with the lowest cost to their streams.
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
    if (aSize > 1 && !aEngines[i].mMayHelp) {
      continue;
    }
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

/// Returns the prefill time below which a prompt is not divided further.
auto
MinPartMillis(const PromptWork& aPrompt, const LaneRules& aRules) -> double
{
  // NOTE: a pause is a part and a pass. Where streams allow short pauses only,
  // parts of mMinPartTime would be too long beside any of them.
  const auto pause = ToMillis(aPrompt.mStrictestPause - aRules.mPassAllowance);
  const auto least = ToMillis(aRules.mMinPartTime);
  return std::max(std::min(least, std::max(pause, least / 2)), 1.0);
}

auto
FindReaderGroup(const EngineTiming& aTiming,
                const PromptWork& aPrompt,
                std::span<const EngineCandidate> aEngines,
                const LaneRules& aRules) -> ReaderGroup
{
  const auto read = PrefillMillis(aTiming, aPrompt.mPromptTokens);
  const auto parts =
    std::max(1.0, std::ceil(read / MinPartMillis(aPrompt, aRules)));
  const auto helpers =
    std::count_if(aEngines.begin(), aEngines.end(), [](const auto& aItem) {
      return aItem.mMayHelp;
    });
  const auto most =
    std::min({ std::max(static_cast<std::size_t>(helpers),
                        std::min<std::size_t>(aEngines.size(), 1)),
               aRules.mMaxReaders,
               static_cast<std::size_t>(parts) });
  auto best = ReaderGroup{};
  for (auto n = std::size_t{ 1 }; n <= most; ++n) {
    auto readers = SelectReaders(aTiming, aPrompt, aEngines, n, read, aRules);
    if (readers.mCost < best.mCost) {
      best = std::move(readers);
    }
  }
  return best;
}

/// Assigns a part to each engine of the group and finds memory for the prompt:
/// on one engine if possible, the fullest one with room, otherwise on several.
/// Returns no engine if the memory is not sufficient.
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
  // NOTE: the fullest engine with room comes first; if none has room, the
  // emptiest ones do.
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

/// Lets the prompt wait until mWaitShare of its total time has passed, then
/// refuses it.
auto
WaitOrRefuse(const PromptWork& aPrompt, const LaneRules& aRules) -> LaneChoice
{
  const auto whole = ToMillis(aPrompt.mWaited + aPrompt.mAllowance);
  const auto isLate = ToMillis(aPrompt.mWaited) >= whole * aRules.mWaitShare;
  return { {}, {}, isLate ? LaneReason::Refuse : LaneReason::Wait, 0 };
}

/// Returns true if the placement costs no more than the prompt would lose by
/// waiting. Early on, only placements of at most mMaxCostWhileWaiting are
/// accepted.
auto
IsPlacementWorthwhile(const PromptWork& aPrompt,
                      const ReaderGroup& aReaderGroup,
                      const LaneRules& aRules) -> bool
{
  const auto target = ToMillis(aPrompt.mAnswerTarget);
  const auto waited = ToMillis(aPrompt.mWaited);
  const auto isOnTime = waited + aReaderGroup.mFirstEventMillis <= target;
  if (waited < target * aRules.mCheapPlacementShare) {
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
           aLeft.mLongPromptsInPrefill + aRight.mLongPromptsInPrefill,
           aLeft.mClaimedStreams + aRight.mClaimedStreams };
}

auto
ToText(LaneReason aReason) -> std::string_view
{
  switch (aReason) {
    case LaneReason::Packed:
      return "packed";
    case LaneReason::Spilled:
      return "spilled";
    case LaneReason::FreeSlot:
      return "free_slot";
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

auto
ChooseFreeEngine(const EngineTiming& aTiming,
                 const PromptWork& aPrompt,
                 std::span<const EngineCandidate> aEngines,
                 std::int64_t aReservedSlots,
                 const LaneRules& aRules) -> LaneChoice
{
  auto places = std::vector<std::size_t>{};
  for (auto i = std::size_t{ 0 }; i < aEngines.size(); ++i) {
    const auto hasSlot =
      aEngines[i].mWork.mStreams + aReservedSlots < aTiming.mSlots;
    if (hasSlot && PredictShort(aTiming, aPrompt, aEngines[i], aRules) <=
                     ToMillis(aPrompt.mAnswerTarget)) {
      places.push_back(i);
    }
  }
  if (places.empty()) {
    return {};
  }
  const auto best = FindEarliest(aTiming,
                                 aPrompt,
                                 aEngines,
                                 DrawSample(aEngines, places, aRules.mSample),
                                 aRules);
  return { best.mEngine, {}, LaneReason::FreeSlot, best.mMillis };
}

} // namespace cuminslip
