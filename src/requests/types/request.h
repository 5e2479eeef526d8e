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

/// One caller's request on its way through the filter chain.
namespace cuminslip::requests {

/// Where a request stands.
enum class Stage : std::uint8_t
{
  /// In the filters before waiting.
  Filtering,
  /// Waits for the durable record that comes before a non-idempotent call.
  Claiming,
  /// Waits for an endpoint.
  Waiting,
  /// Sent to an endpoint.
  Running,
  /// Waits before another attempt.
  Retrying,
  Done
};

/// One sending of a request to an endpoint.
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
  /// Prompt tokens that the engine is not believed to have cached.
  std::int64_t mUncachedTokens = 0;
  /// Counted among the long prompts that the engine reads now.
  bool mIsLongPrefill = false;
  /// The call that shows whether an ejected endpoint works again.
  bool mIsTrial = false;
  endpoints::EventStreamParser mParser;
  int mStatus = 0;
  wire::Headers mHeaders;
  /// Finish reason, once the end mark came.
  std::string mEndReason;
  /// Body of a refusal or of a plain service's answer.
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
  /// The template in force at admission.
  std::shared_ptr<const TemplateInForce> mTemplate;
  wire::HttpRequest mHttp;
  CallerPort mCaller;
  /// Set for model work, unset for calls of plain services.
  std::optional<CompletionRequest> mCompletion;
  /// Path at the plain service.
  std::string mServicePath;
  std::optional<RunClaim> mClaim;

  Stage mStage = Stage::Filtering;
  std::size_t mNextFilter = 0;
  std::optional<Attempt> mAttempt;
  int mAttempts = 0;
  /// What is known of the attempts that have ended.
  Ran mRan = Ran::No;
  std::vector<EndpointId> mTried;
  TimePoint mWaitingSince;
  wire::TimerId mDeadlineTimer = 0;
  wire::TimerId mRetryTimer = 0;

  /// Orders the pieces of all attempts; mNext is the number delivered.
  endpoints::PieceSequencer mSequencer;
  /// The answer so far, where the caller asked for a whole one or it is
  /// recorded.
  std::string mText;
  bool mHasStartedAnswer = false;
  std::optional<TimePoint> mFirstPiece;
};

} // namespace cuminslip::requests
