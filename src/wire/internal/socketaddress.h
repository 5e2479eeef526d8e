#pragma once

#include "wire/types/httpmessage.h"

#include <netinet/in.h>

#include <optional>

namespace cuminslip::wire {

/// The system's form of an address; no value when it is not an IPv4 one.
auto
ToSystemAddress(const SocketAddress& aAddress) -> std::optional<sockaddr_in>;

} // namespace cuminslip::wire
