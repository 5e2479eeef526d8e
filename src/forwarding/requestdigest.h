#pragma once

#include "base/types/ids.h"
#include "wire/types/httpmessage.h"

#include <cstdint>

namespace cuminslip::forwarding {

/// Returns a digest that is the same for all attempts to send a request: of its
/// host, method, path, query, client account and body. Of a body over 64 KiB,
/// the length and 64 KiB in evenly spread pieces count, so that the cost is
/// bounded. Pure; thread safe.
auto
DigestRequest(const wire::HttpRequest& aRequest, const AccountId& aAccount)
  -> std::uint64_t;

} // namespace cuminslip::forwarding
