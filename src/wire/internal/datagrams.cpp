#include "wire/datagrams.h"

#include "wire/internal/eventloopstate.h"
#include "wire/internal/socketaddress.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace cuminslip::wire {

struct DatagramSocket
{
  h2o_socket_t* mSocket = nullptr;
  std::function<void(std::string_view)> mOnDatagram;
};

namespace {

/// Largest payload of a datagram.
constexpr auto kMaxDatagram = std::size_t{ 65507 };
/// Datagrams taken in one turn of the loop.
constexpr auto kMostPerTurn = 64;

auto
OnReadable(h2o_socket_t* aSocket, const char*) -> void
{
  auto& socket = *static_cast<DatagramSocket*>(aSocket->data);
  auto buf = std::array<char, kMaxDatagram>{};
  for (auto i = 0; i < kMostPerTurn; ++i) {
    const auto n =
      recv(h2o_socket_get_fd(aSocket), buf.data(), buf.size(), MSG_DONTWAIT);
    if (n < 0) {
      return;
    }
    socket.mOnDatagram({ buf.data(), static_cast<std::size_t>(n) });
  }
}

} // namespace

auto
DatagramSocketDeleter::operator()(DatagramSocket* aSocket) const -> void
{
  h2o_socket_close(aSocket->mSocket);
  delete aSocket;
}

auto
OpenDatagrams(EventLoop& aLoop,
              const SocketAddress& aAddress,
              std::function<void(std::string_view)> aOnDatagram)
  -> leaf::result<DatagramSocketPtr>
{
  const auto fail = [&](const std::string& aProblem) {
    return leaf::new_error(Findings{
      { { {}, FormatAddress(aAddress), aProblem, "a free local address" } } });
  };
  const auto address = ToSystemAddress(aAddress);
  if (!address) {
    return fail("not an IPv4 address");
  }
  const auto fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (bind(fd,
           reinterpret_cast<const sockaddr*>(&*address),
           sizeof(*address)) != 0) {
    const auto problem = std::string("cannot receive: ") + std::strerror(errno);
    close(fd);
    return fail(problem);
  }
  auto socket = DatagramSocketPtr(new DatagramSocket);
  socket->mOnDatagram = std::move(aOnDatagram);
  socket->mSocket =
    h2o_evloop_socket_create(aLoop.mLoop, fd, H2O_SOCKET_FLAG_DONT_READ);
  socket->mSocket->data = socket.get();
  h2o_socket_read_start(socket->mSocket, OnReadable);
  return socket;
}

auto
SendDatagram(DatagramSocket& aSocket,
             const SocketAddress& aTo,
             std::string_view aBytes) -> bool
{
  const auto address = ToSystemAddress(aTo);
  return address &&
         sendto(h2o_socket_get_fd(aSocket.mSocket),
                aBytes.data(),
                aBytes.size(),
                MSG_DONTWAIT,
                reinterpret_cast<const sockaddr*>(&*address),
                sizeof(*address)) == static_cast<ssize_t>(aBytes.size());
}

} // namespace cuminslip::wire
