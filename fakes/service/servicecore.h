#pragma once

#include "fakes/service/types/servicesettings.h"

#include <map>
#include <set>

/// A stand-in plain service without input or output: calls run in slots, and
/// how often each ran is counted. Not thread safe.
namespace cuminslip::fakes {

struct PlainService
{
  ServiceSettings mSettings;
  double mTimeScale = 1;
  /// When each slot that is in use, or promised to a waiting call, is free.
  std::multiset<TimePoint> mBusyUntil;
  std::map<std::string, std::int64_t> mRunsByKey;
  std::map<std::uint64_t, std::int64_t> mRunsByBody;
  std::int64_t mRuns = 0;
  std::int64_t mRefused = 0;
};

/// Whether a call runs, and when it is done.
struct CallVerdict
{
  bool mIsAccepted = true;
  TimePoint mDoneAt;
  /// How often this key, or else this body, ran up to now.
  std::int64_t mRun = 0;

  auto operator==(const CallVerdict&) const -> bool = default;
};

/// Runs a call, or refuses it when too many wait. aKey may be empty.
auto
RunCall(PlainService& aService,
        const ServiceFaults& aFaults,
        const std::string& aKey,
        std::uint64_t aBody,
        TimePoint aNow) -> CallVerdict;

/// Calls that run or wait at aNow.
auto
CountOpenCalls(const PlainService& aService, TimePoint aNow) -> std::int64_t;

/// Most runs of one idempotency key.
auto
MostRunsOfKey(const PlainService& aService) -> std::int64_t;

} // namespace cuminslip::fakes
