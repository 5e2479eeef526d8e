#pragma once

#include "endpoints/protocol.h"
#include "requests/front.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

/// Hand-written stand-ins for the front's ports, driven by a manual clock.
namespace cuminslip::requests::testing {

/// What one caller was sent.
struct FakeCaller
{
  int mStatus = 0;
  wire::Headers mHeaders;
  std::string mBody;
  int mAnswers = 0;
  bool mIsFinished = false;
  bool mIsAborted = false;
  bool mIsGone = false;
  std::size_t mUnsent = 0;
};

/// A call that the front made to an endpoint.
struct FakeCall
{
  wire::HttpCall mCall;
  wire::CallHandlers mHandlers;
  bool mIsCancelled = false;
  bool mIsEnded = false;
};

struct FakeTimer
{
  TimePoint mDue;
  std::function<void()> mAction;
};

/// A front with fakes at all its ports.
struct FrontFixture
{
  ManualClock mClock;
  std::map<wire::CallId, FakeCall> mCalls;
  wire::CallId mNextCall = 1;
  std::map<wire::TimerId, FakeTimer> mTimers;
  wire::TimerId mNextTimer = 1;
  std::vector<Command> mProposed;
  std::deque<CommandResult> mResults;
  std::vector<std::function<void(const CommandResult&)>> mHeldReplies;
  ControlLogStatus mStanding{ true, false, Millis(0) };
  std::map<std::string, std::shared_ptr<FakeCaller>> mCallers;
  std::uint64_t mSequence = 0;
  std::vector<std::string> mPeerMessages;
  placement::OrdererLease mOrdererLease;
  FrontPtr mFront;

  FrontFixture();

  /// Sets up another front with the given settings.
  auto Restart(FrontSettings aSettings) -> void;

  /// Announces a model engine "ID" at 127.0.0.1:aPort.
  auto Announce(const std::string& aId,
                int aPort,
                bool aIsLeaving = false,
                Incarnation aIncarnation = 1) -> void;

  /// Announces the plain service "booking".
  auto AnnounceService(const std::string& aId, int aPort) -> void;

  /// Sends a completion request of the given kind; returns its caller.
  auto Ask(const std::string& aKind,
           const std::string& aPrompt,
           bool aIsStream = true,
           wire::Headers aExtra = {}) -> std::shared_ptr<FakeCaller>;

  /// Calls the plain service "booking".
  auto Book(const std::string& aBody, wire::Headers aExtra = {})
    -> std::shared_ptr<FakeCaller>;

  /// Moves the clock in ticks, firing timers on their way.
  auto AdvanceTime(Millis aTime) -> void;

  /// Calls that are open, to paths that begin with aPath.
  auto OpenCalls(const std::string& aPath) -> std::vector<wire::CallId>;

  /// The only open stream call.
  auto OnlyStream() -> wire::CallId;

  /// Attempt id in the body of a stream call.
  auto AttemptOf(wire::CallId aCall) -> std::string;

  /// Number of pieces to skip in the body of a stream call.
  auto SkippedPieces(wire::CallId aCall) -> std::int64_t;

  auto SendHead(wire::CallId aCall,
                int aStatus,
                const wire::Headers& aHeaders = {}) -> void;
  auto SendBytes(wire::CallId aCall, const std::string& aBytes) -> void;
  auto SendPieceEvent(wire::CallId aCall,
                      std::int64_t aNumber,
                      const std::string& aText) -> void;
  auto SendEndEvent(wire::CallId aCall, std::int64_t aPieces) -> void;
  auto End(wire::CallId aCall, wire::CallEnd aEnd) -> void;
};

/// The template in force at the start: model "drafter" version "3", kinds
/// "check" (urgent), "review" (patient), "claim" (not idempotent) and "book"
/// (not idempotent, service "booking").
auto
SampleTemplate() -> TemplateInForce;

/// The `ran` member of a refusal in aBody; empty when there is none.
auto
RanOf(const std::string& aBody) -> std::string;

} // namespace cuminslip::requests::testing
