#pragma once

#include "base/clock.h"

/// Decides whether an instance that is being stopped still serves a request.
/// Answers the load of callers that the platform sends for a while after a stop
/// began, and of those that use open connections until the process ends: an
/// answer that is not complete by then is cut. Pure functions; thread safe.
namespace cuminslip {

struct StopRules
{
  /// The platform may send callers for this long after a stop began: two of its
  /// readiness probes, one second apart, and a margin. They may have no other
  /// instance, as neighbouring instances stop too.
  Millis mTrafficTime{ 3000 };

  auto operator==(const StopRules&) const -> bool = default;
};

/// A request at an instance that is being stopped.
struct StoppingWork
{
  /// From the begin of the stop to the arrival of the request; below 0 if it
  /// came before.
  Millis mArrivedAfter{ 0 };
  /// Until the instance closes its connections.
  Millis mUntilClosed{ 0 };
  /// Time that remains for the request.
  Millis mAllowance{ 0 };
  /// Forecast time to the end of the longest answer that it may have if it is
  /// sent now.
  double mAnswerMillis = 0;

  auto operator==(const StoppingWork&) const -> bool = default;
};

/// Returns true if the request is to be served here. One that came while the
/// platform could send it is served if its answer is forecast to be complete
/// before the instance closes; a later one only if its whole allowance ends
/// before that. One that is not served has not run, and its caller may return
/// to another instance.
auto
MayServeWhileStopping(const StoppingWork& aWork, const StopRules& aRules)
  -> bool;

} // namespace cuminslip
