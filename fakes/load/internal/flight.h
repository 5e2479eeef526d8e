#pragma once

#include "fakes/load/answercheck.h"
#include "fakes/load/loadrun.h"
#include "fakes/load/types/plannedrequest.h"

#include <memory>
#include <optional>

namespace cuminslip::fakes {

/// A request that was sent and has not ended.
struct Flight
{
  PlannedRequest mPlanned;
  RequestRecord mRecord;
  std::string mPrompt;
  TimePoint mPlannedAt;
  TimePoint mLastTokenAt;
  AnswerCheck mCheck;
  EventReader mReader;
  int mStatus = 0;
  std::string mBody;
  /// Reason of the end event, once there.
  std::optional<std::string> mEnd;
  std::string mError;
};

/// What to do with a request whose call has ended.
struct FlightVerdict
{
  bool mIsResent = false;
  Millis mResendAfter{ 0 };
};

/// Prepares the next attempt: nothing of the last one counts.
auto
ResetFlight(Flight& aFlight) -> void;

/// Takes bytes of the body that came at aNow.
auto
TakeBytes(Flight& aFlight, std::string_view aBytes, TimePoint aNow) -> void;

/// Judges a call that ended at aNow; fills in the record unless it is resent.
auto
JudgeEnd(Flight& aFlight,
         wire::CallEnd aEnd,
         std::int64_t aMaxAttempts,
         TimePoint aNow) -> FlightVerdict;

/// The request to send, with the allowance that remains.
auto
MakeHttpRequest(const LoadSettings& aSettings,
                const Flight& aFlight,
                Millis aRemaining) -> wire::HttpRequest;

} // namespace cuminslip::fakes
