#include "fakes/engine/announcer.h"

#include "fakes/engine/jsonread.h"

#include <algorithm>
#include <utility>

namespace cuminslip::fakes {

using namespace wire;

struct Announcer
{
  EventLoop* mLoop = nullptr;
  HttpClient* mClient = nullptr;
  AnnounceSettings mSettings;
  AnnouncerHandlers mHandlers;
  std::uint64_t mNextSequence = 1;
  std::uint64_t mAccepted = 0;
  std::uint64_t mTarget = 0;
  CallId mCall = 0;
  TimerId mTimer = 0;
  bool mIsPaused = false;
};

namespace {

constexpr auto kMaxAnswerBytes = std::size_t{ 64 } * 1024;
constexpr auto kOk = 200;

auto
OnAnswer(Announcer& aAnnouncer, CallEnd aEnd, const HttpResponse& aResponse)
  -> void
{
  aAnnouncer.mCall = 0;
  if (aEnd != CallEnd::Complete || aResponse.mStatus != kOk) {
    aAnnouncer.mTarget += 1;
    return;
  }
  aAnnouncer.mAccepted += 1;
  const auto answer = ParseObject(aResponse.mBody);
  if (answer.has_value() && aAnnouncer.mHandlers.mOnAnswer) {
    aAnnouncer.mHandlers.mOnAnswer(*answer);
  }
}

auto
MakeCall(Announcer& aAnnouncer, const SocketAddress& aTarget) -> HttpCall
{
  auto call = HttpCall{};
  call.mAddress = aTarget;
  call.mTimeout = std::max(aAnnouncer.mSettings.mInterval, Millis(500));
  call.mRequest.mMethod = "POST";
  call.mRequest.mPath = "/endpoint/v1/announce";
  call.mRequest.mHeaders = { { "authorization",
                               "Bearer " + aAnnouncer.mSettings.mKey },
                             { "content-type", "application/json" } };
  call.mRequest.mBody = boost::json::serialize(
    aAnnouncer.mHandlers.mMakeDocument(aAnnouncer.mNextSequence++));
  return call;
}

auto
Repeat(Announcer& aAnnouncer) -> void
{
  AnnounceNow(aAnnouncer);
  aAnnouncer.mTimer = StartTimer(*aAnnouncer.mLoop,
                                 aAnnouncer.mSettings.mInterval,
                                 [&aAnnouncer] { Repeat(aAnnouncer); });
}

} // namespace

auto
AnnouncerDeleter::operator()(Announcer* aAnnouncer) const -> void
{
  StopTimer(*aAnnouncer->mLoop, aAnnouncer->mTimer);
  CancelCall(*aAnnouncer->mClient, aAnnouncer->mCall);
  delete aAnnouncer;
}

auto
StartAnnouncer(EventLoop& aLoop,
               HttpClient& aClient,
               const AnnounceSettings& aSettings,
               AnnouncerHandlers aHandlers) -> AnnouncerPtr
{
  auto announcer = AnnouncerPtr(new Announcer);
  announcer->mLoop = &aLoop;
  announcer->mClient = &aClient;
  announcer->mSettings = aSettings;
  announcer->mHandlers = std::move(aHandlers);
  announcer->mTarget = aSettings.mFirstTarget;
  auto* self = announcer.get();
  announcer->mTimer = StartTimer(aLoop, Micros(0), [self] { Repeat(*self); });
  return announcer;
}

auto
AnnounceNow(Announcer& aAnnouncer) -> void
{
  const auto& targets = aAnnouncer.mSettings.mTargets;
  if (aAnnouncer.mIsPaused || targets.empty()) {
    return;
  }
  const auto target =
    ParseAddress(targets[aAnnouncer.mTarget % targets.size()]);
  if (!target.has_value()) {
    aAnnouncer.mTarget += 1;
    return;
  }
  CancelCall(*aAnnouncer.mClient, std::exchange(aAnnouncer.mCall, 0));
  aAnnouncer.mCall =
    FetchResponse(*aAnnouncer.mClient,
                  MakeCall(aAnnouncer, *target),
                  kMaxAnswerBytes,
                  [&aAnnouncer](CallEnd aEnd, const HttpResponse& aResponse) {
                    OnAnswer(aAnnouncer, aEnd, aResponse);
                  });
}

auto
PauseAnnouncer(Announcer& aAnnouncer, bool aIsPaused) -> void
{
  aAnnouncer.mIsPaused = aIsPaused;
}

auto
CountAccepted(const Announcer& aAnnouncer) -> std::uint64_t
{
  return aAnnouncer.mAccepted;
}

} // namespace cuminslip::fakes
