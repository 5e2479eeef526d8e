#pragma once

#include "wire/types/httpmessage.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <string_view>

namespace cuminslip::wire::testing {

/// A caller that writes bytes as it likes.
class RawCaller
{
public:
  explicit RawCaller(const SocketAddress& aAddress)
    : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aAddress.mPort));
    inet_pton(AF_INET, aAddress.mHost.c_str(), &address.sin_addr);
    BOOST_REQUIRE(connect(mSocket,
                          reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)) == 0);
    fcntl(mSocket, F_SETFL, O_NONBLOCK);
  }
  ~RawCaller() { close(mSocket); }
  RawCaller(const RawCaller&) = delete;
  RawCaller(RawCaller&&) = delete;
  auto operator=(const RawCaller&) -> RawCaller& = delete;
  auto operator=(RawCaller&&) -> RawCaller& = delete;

  auto Send(std::string_view aBytes) const -> void
  {
    [[maybe_unused]] const auto n =
      send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

  /// Reads what has come; true once the server has closed the connection.
  auto IsClosed() -> bool
  {
    auto buf = std::array<char, 4096>{};
    while (true) {
      const auto n = recv(mSocket, buf.data(), buf.size(), 0);
      if (n <= 0) {
        mIsReset |= n < 0 && errno == ECONNRESET;
        return n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
      }
      mReceived.append(buf.data(), static_cast<std::size_t>(n));
    }
  }

  auto Received() const -> const std::string& { return mReceived; }

  /// True if the server ended the connection by a reset.
  auto IsReset() const -> bool { return mIsReset; }

private:
  int mSocket;
  std::string mReceived;
  bool mIsReset = false;
};

} // namespace cuminslip::wire::testing
