#include "wire/internal/socketaddress.h"

#include <arpa/inet.h>

namespace cuminslip::wire {

auto
ToSystemAddress(const SocketAddress& aAddress) -> std::optional<sockaddr_in>
{
  auto address = sockaddr_in{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.mPort));
  if (inet_pton(AF_INET, aAddress.mHost.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

} // namespace cuminslip::wire
