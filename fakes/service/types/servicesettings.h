#pragma once

#include "fakes/engine/types/enginesettings.h"

/// Settings of stand-in plain services.
namespace cuminslip::fakes {

struct ServiceSettings
{
  std::string mName;
  std::string mService;
  std::string mAddress;
  std::string mFailureDomain;
  std::string mRegion;
  /// Time that one call takes.
  Millis mDelay{ 20 };
  /// Calls that run at once; others wait.
  std::int64_t mSlots = 16;
  std::int64_t mMaxWaiting = 256;
  AnnounceSettings mAnnounce;

  auto operator==(const ServiceSettings&) const -> bool = default;
};

/// Faults that a stand-in service shows on command.
struct ServiceFaults
{
  /// This many calls run and break without an answer.
  std::int64_t mLoseAnswers = 0;
  /// This many calls are refused before running.
  std::int64_t mRefuse = 0;
  /// This many calls run and are never answered.
  std::int64_t mStaySilent = 0;
  bool mIsNotAnnouncing = false;
  Millis mExtraDelay{ 0 };

  auto operator==(const ServiceFaults&) const -> bool = default;
};

} // namespace cuminslip::fakes
