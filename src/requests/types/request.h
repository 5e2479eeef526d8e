#pragma once

#include "base/types/ids.h"
#include "endpoints/eventstream.h"
#include "endpoints/piecesequencer.h"
#include "policy/prediction.h"
#include "policy/types/requestfacts.h"
#include "requests/types/completionrequest.h"
#include "requests/types/ports.h"
#include "requests/types/refusal.h"
#include "templates/types/template.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// State of a caller's request from arrival to the final answer.
namespace cuminslip::requests {

/// Processing stage of a request.
enum class Stage : std::uint8_t
{
  /// Passing the filters before the wait queue.
  Filtering,
  /// Waiting for the durable record that precedes a non-idempotent call.
  Claiming,
  /// In the wait queue for an endpoint.
  Waiting,
  /// Sent to an endpoint.
  Running,
  /// Waiting for the delay before another attempt.
  Retrying,
  Done
};

/// One attempt to run a request on an endpoint.
struct Attempt
{
  AttemptId mId;
  EndpointId mEndpoint;
  Incarnation mIncarnation = 0;
  wire::SocketAddress mAddress;
  wire::CallId mCall = 0;
  TimePoint mStarted;
  TimePoint mLastActivity;
  std::optional<TimePoint> mFirstPiece;
  PredictedTimes mPredicted;
  /// Estimated number of prompt tokens that the engine does not have cached.
  std::int64_t mUncachedTokens = 0;
  /// Whether the attempt is counted in Fleet::mLongPrefills.
  bool mIsLongPrefill = false;
  /// Whether the call tests if an ejected endpoint has recovered.
  bool mIsTrial = false;
  endpoints::EventStreamParser mParser;
  int mStatus = 0;
  wire::Headers mHeaders;
  /// Finish reason from the end mark; empty until it is received.
  std::string mEndReason;
  /// Body of a refusal or of a plain service's response.
  std::string mBody;
};

/// Durable record of a non-idempotent call; see docs/design/at-most-once.md.
struct RunClaim
{
  IdempotencyKey mKey;
  std::string mFingerprint;
  std::string mToken;
  bool mIsHeld = false;

  auto operator==(const RunClaim&) const -> bool = default;
};

struct Request
{
  RequestFacts mFacts;
  /// The account's active template at admission, updated before each attempt.
  std::shared_ptr<const TemplateInForce> mTemplate;
  wire::HttpRequest mHttp;
  CallerPort mCaller;
  /// Set for model work, unset for calls of plain services.
  std::optional<CompletionRequest> mCompletion;
  /// Path of the call at the plain service.
  std::string mServicePath;
  std::optional<RunClaim> mClaim;

  Stage mStage = Stage::Filtering;
  std::size_t mNextFilter = 0;
  std::optional<Attempt> mAttempt;
  int mAttempts = 0;
  /// Combined result of the attempts that have ended.
  Ran mRan = Ran::No;
  std::vector<EndpointId> mTried;
  TimePoint mWaitingSince;
  wire::TimerId mDeadlineTimer = 0;
  wire::TimerId mRetryTimer = 0;

  /// Puts the pieces of all attempts in order; its mNext is the number of
  /// pieces delivered.
  endpoints::PieceSequencer mSequencer;
  /// The answer so far. Kept only if the answer is not streamed or is recorded.
  std::string mText;
  bool mHasStartedAnswer = false;
  std::optional<TimePoint> mFirstPiece;
};

} // namespace cuminslip::requests
