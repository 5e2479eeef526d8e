#pragma once

#include "base/findings.h"
#include "endpoints/types/membershipmessage.h"

#include <cstddef>
#include <string>
#include <string_view>

/// Packed Cap'n Proto encoding of membership messages.
namespace cuminslip::endpoints {

inline constexpr std::size_t kMaxMembershipBytes = std::size_t{ 256 } * 1024;

/// Clamps numbers to the range of their column. Ages of loads have a resolution
/// of 50 ms and a maximum of 12.75 s. Tokens and rates have a resolution of an
/// eighth of an octave; free memory is rounded down and queued work up.
auto
EncodeMembershipMessage(const MembershipMessage& aMessage) -> std::string;

/// Fails with a finding on malformed bytes. Thread safe.
auto
DecodeMembershipMessage(std::string_view aBytes)
  -> leaf::result<MembershipMessage>;

} // namespace cuminslip::endpoints
