#include "fakes/engine/internal/engineserverstate.h"

#include <algorithm>

namespace cuminslip::fakes {

using namespace wire;

namespace {

constexpr auto kForeignText = "foreign ";

auto
Happens(EngineServer& aServer, double aShare) -> bool
{
  if (aShare <= 0) {
    return false;
  }
  auto share = std::uniform_real_distribution<double>(0, 1);
  return share(aServer.mRandom) < aShare;
}

auto
EventHead(const std::string& aAttempt) -> std::string
{
  return "data: {\"attempt\":" + boost::json::serialize(aAttempt) + ",";
}

auto
PieceEvent(const std::string& aHead,
           std::int64_t aPiece,
           const std::string& aText) -> std::string
{
  return aHead + "\"piece\":" + std::to_string(aPiece) + ",\"text\":\"" +
         aText + "\"}\n\n";
}

auto
EndEvent(const std::string& aHead, const EngineOutput& aOutput) -> std::string
{
  return aHead + "\"end\":true,\"pieces\":" + std::to_string(aOutput.mPiece) +
         ",\"reason\":\"" + aOutput.mReason + "\"}\n\n";
}

/// Breaks the connection without an end; the engine may keep the stream.
auto
DropCaller(EngineServer& aServer, const std::string& aAttempt) -> void
{
  const auto it = aServer.mStreams.find(aAttempt);
  const auto responder = it->second.mResponder;
  aServer.mStreams.erase(it);
  SetCloseHandler(responder, {});
  AbortStream(responder);
  if (aServer.mFaults.mForgetsDropped) {
    CancelStream(aServer.mEngine, aAttempt, aServer.mEngine.mNow);
    return;
  }
  DetachStream(aServer.mEngine, aAttempt);
}

auto
SendPieceEvent(EngineServer& aServer,
               StreamCaller& aCaller,
               const EngineOutput& aOutput) -> void
{
  const auto& faults = aServer.mFaults;
  auto event = PieceEvent(aCaller.mEventHead, aOutput.mPiece, aOutput.mText);
  if (Happens(aServer, faults.mForeignShare)) {
    event += PieceEvent(
      EventHead("foreign-" + aOutput.mAttempt), aOutput.mPiece, kForeignText);
  }
  if (Happens(aServer, faults.mDuplicateShare)) {
    event += event;
  }
  if (aCaller.mHeldBack.empty() && Happens(aServer, faults.mReorderShare)) {
    aCaller.mHeldBack = std::move(event);
    return;
  }
  event += std::exchange(aCaller.mHeldBack, {});
  SendPiece(aCaller.mResponder, event);
}

auto
DeliverPiece(EngineServer& aServer, const EngineOutput& aOutput) -> void
{
  const auto it = aServer.mStreams.find(aOutput.mAttempt);
  if (it == aServer.mStreams.end()) {
    return;
  }
  auto& faults = aServer.mFaults;
  if (faults.mDropCount > 0 && aOutput.mPiece >= faults.mDropAtPiece) {
    faults.mDropCount -= 1;
    DropCaller(aServer, aOutput.mAttempt);
    return;
  }
  SendPieceEvent(aServer, it->second, aOutput);
}

auto
DeliverEnd(EngineServer& aServer, const EngineOutput& aOutput) -> void
{
  const auto part = aServer.mParts.extract(aOutput.mAttempt);
  if (!part.empty()) {
    SendResponse(
      part.mapped(),
      JsonResponse(409, R"({"refused":true,"ran":"no","reason":"released"})"));
  }
  auto node = aServer.mStreams.extract(aOutput.mAttempt);
  if (node.empty()) {
    return;
  }
  const auto& caller = node.mapped();
  SetCloseHandler(caller.mResponder, {});
  SendPiece(caller.mResponder,
            caller.mHeldBack + EndEvent(caller.mEventHead, aOutput));
  FinishStream(caller.mResponder);
}

auto
DeliverPart(EngineServer& aServer, const EngineOutput& aOutput) -> void
{
  const auto node = aServer.mParts.extract(aOutput.mAttempt);
  if (node.empty()) {
    return;
  }
  const auto body = boost::json::object{ { "holding", aOutput.mAttempt },
                                         { "tokens", aOutput.mPiece } };
  SendResponse(node.mapped(), JsonResponse(200, boost::json::serialize(body)));
}

auto
DeliverReading(EngineServer& aServer, const EngineOutput& aOutput) -> void
{
  const auto it = aServer.mStreams.find(aOutput.mAttempt);
  if (it != aServer.mStreams.end()) {
    SendPiece(it->second.mResponder, ": reading\n\n");
  }
}

auto
Deliver(EngineServer& aServer, const EngineOutput& aOutput) -> void
{
  switch (aOutput.mKind) {
    case OutputKind::Reading:
      DeliverReading(aServer, aOutput);
      return;
    case OutputKind::Piece:
      DeliverPiece(aServer, aOutput);
      return;
    case OutputKind::End:
      DeliverEnd(aServer, aOutput);
      return;
    case OutputKind::PartRead:
      DeliverPart(aServer, aOutput);
      return;
  }
}

auto
IsDeadlyPiece(const EngineServer& aServer, const EngineOutput& aOutput) -> bool
{
  const auto deadly = aServer.mFaults.mDieAtPiece;
  return deadly >= 0 && aOutput.mKind == OutputKind::Piece &&
         aOutput.mPiece >= deadly;
}

/// Ends the engine outside of the server's callbacks.
auto
KillSoon(EngineServer& aServer) -> void
{
  auto* self = &aServer;
  PostToLoop(*aServer.mSurroundings.mLoop, [self, isAlive = aServer.mIsAlive] {
    if (*isAlive) {
      KillEngine(*self);
    }
  });
}

auto
SetStepTimer(EngineServer& aServer) -> void
{
  auto& loop = *aServer.mSurroundings.mLoop;
  StopTimer(loop, std::exchange(aServer.mStepTimer, 0));
  const auto due = NextDue(aServer.mEngine);
  if (!due.has_value()) {
    return;
  }
  aServer.mStepTimer =
    StartTimer(loop, *due - MonotonicNow(), [&aServer] { RunEngine(aServer); });
}

} // namespace

auto
RunEngine(EngineServer& aServer) -> void
{
  if (aServer.mIsDead || aServer.mFaults.mIsFrozen) {
    return;
  }
  Advance(aServer.mEngine, MonotonicNow());
  for (const auto& output : TakeOutputs(aServer.mEngine)) {
    if (IsDeadlyPiece(aServer, output)) {
      aServer.mIsDead = true;
      KillSoon(aServer);
      return;
    }
    Deliver(aServer, output);
  }
  auto& events = aServer.mEngine.mMemory.mEvents;
  auto& log = aServer.mCacheEvents.mEvents;
  log.insert(log.end(), events.begin(), events.end());
  events.clear();
  SetStepTimer(aServer);
}

auto
AttachCaller(EngineServer& aServer,
             const std::string& aAttempt,
             const ResponderPtr& aResponder) -> void
{
  auto headers = Headers{ { "content-type", "text/event-stream" } };
  const auto huge = aServer.mFaults.mHugeHeaderBytes;
  if (huge > 0) {
    headers.push_back(
      { "x-padding", std::string(static_cast<std::size_t>(huge), 'x') });
  }
  StartStream(aResponder, 200, headers);
  aServer.mStreams[aAttempt] = { aResponder, EventHead(aAttempt), "" };
  auto* self = &aServer;
  SetCloseHandler(aResponder, [self, aAttempt] {
    self->mStreams.erase(aAttempt);
    DetachStream(self->mEngine, aAttempt);
  });
}

} // namespace cuminslip::fakes
