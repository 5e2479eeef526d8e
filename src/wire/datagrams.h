#pragma once

#include "base/findings.h"
#include "wire/eventloop.h"
#include "wire/types/httpmessage.h"

#include <functional>
#include <memory>
#include <string_view>

/// UDP on an event loop, for messages that may be lost. All functions are for
/// the loop's thread.
namespace cuminslip::wire {

struct DatagramSocket;
struct DatagramSocketDeleter
{
  auto operator()(DatagramSocket* aSocket) const -> void;
};
using DatagramSocketPtr =
  std::unique_ptr<DatagramSocket, DatagramSocketDeleter>;

/// Takes the datagrams sent to aAddress. Fails with a finding when the address
/// can't be had.
auto
OpenDatagrams(EventLoop& aLoop,
              const SocketAddress& aAddress,
              std::function<void(std::string_view)> aOnDatagram)
  -> leaf::result<DatagramSocketPtr>;

/// Sends one datagram; false when the system did not take it.
auto
SendDatagram(DatagramSocket& aSocket,
             const SocketAddress& aTo,
             std::string_view aBytes) -> bool;

} // namespace cuminslip::wire
