#pragma once

#include "base/findings.h"
#include "endpoints/types/membershipmessage.h"

#include <cstddef>
#include <string>
#include <string_view>

/// Cap'n Proto form of membership messages, packed.
namespace cuminslip::endpoints {

inline constexpr std::size_t kMaxMembershipBytes = std::size_t{ 256 } * 1024;

/// Numbers beyond the range of their column are cut to it. Ages of loads are
/// kept to 50 ms and up to 12.75 s; tokens and rates to an eighth of an octave,
/// free memory rounded down and queued work up.
auto
EncodeMembershipMessage(const MembershipMessage& aMessage) -> std::string;

/// Fails with a finding on bytes that are not such a message. Thread safe.
auto
DecodeMembershipMessage(std::string_view aBytes)
  -> leaf::result<MembershipMessage>;

} // namespace cuminslip::endpoints
