#include "forwarding/internal/stopping.h"

#include "policy/passmodel.h"

namespace cuminslip::forwarding {

namespace {

/// The platform has other instances, so that callers need not wait.
constexpr auto kStoppingRetry = Millis(50);

} // namespace

auto
BeginStop(Forwarder& aForwarder, TimePoint aClosesAt) -> void
{
  aForwarder.mStop = StopTimes{ aForwarder.mPorts.mNow(), aClosesAt };
  SchedulePlacement(aForwarder, true);
}

auto
CheckStop(const Forwarder& aForwarder,
          const Flight& aFlight,
          double aAnswerMillis) -> std::optional<Failure>
{
  if (!aForwarder.mStop || aFlight.mMayHaveRun || aFlight.mHasStarted) {
    return std::nullopt;
  }
  const auto now = aForwarder.mPorts.mNow();
  const auto work =
    StoppingWork{ MillisBetween(aForwarder.mStop->mBegan, aFlight.mArrived),
                  MillisBetween(now, aForwarder.mStop->mClosesAt),
                  MillisBetween(now, aFlight.mDeadline),
                  aAnswerMillis };
  if (MayServeWhileStopping(work, aForwarder.mSettings.mStop)) {
    return std::nullopt;
  }
  return Failure{ FailureKind::NotReady, kStoppingRetry };
}

auto
LeastAnswerMillis(const Forwarder& aForwarder, const Flight& aFlight) -> double
{
  if (!aFlight.mService->mEngine) {
    return static_cast<double>(aFlight.mRoute->mAnswerTarget.count());
  }
  const auto readers =
    static_cast<double>(aForwarder.mSettings.mLanes.mMaxReaders);
  return ForecastAnswerMillis(
    aForwarder, aFlight, {}, EngineMillis(aFlight) / readers);
}

auto
ForecastAnswerMillis(const Forwarder& aForwarder,
                     const Flight& aFlight,
                     const EngineWork& aWork,
                     double aFirstEventMillis) -> double
{
  const auto prompt = ToPromptWork(aForwarder, aFlight);
  return aFirstEventMillis +
         DecodeMillis(*aFlight.mService->mEngine,
                      prompt.mOutputTokens,
                      aWork.mStreams,
                      aWork.mContextTokens + prompt.mPromptTokens);
}

} // namespace cuminslip::forwarding
