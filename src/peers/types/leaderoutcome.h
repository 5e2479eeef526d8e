#pragma once

#include <cstdint>

namespace cuminslip {

/// How a call that only the leader serves ended.
enum class LeaderOutcome : std::uint8_t
{
  Done,
  NotLeader,
  DiskFull,
  Overloaded
};

} // namespace cuminslip
