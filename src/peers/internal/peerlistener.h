#pragma once

#include "peers/internal/peercontext.h"

#include <kj/async-io.h>

#include <list>
#include <memory>

/// Accepts the connections of other instances. Whoever has not shown the peer
/// key holds a bounded number of bytes, for a bounded time, and gives way to
/// newer connections. For the peer thread.
namespace cuminslip {

/// What is known of the client of one connection.
struct PeerIdentity
{
  /// It has shown the peer key.
  bool mIsVerified = false;

  auto operator==(const PeerIdentity&) const -> bool = default;
};

class PeerListener
{
public:
  /// Precondition: aReceiver and aContext outlive the listener, and the
  /// context's tasks end before it.
  PeerListener(kj::ConnectionReceiver& aReceiver, PeerContext& aContext);
  ~PeerListener() noexcept;
  PeerListener(const PeerListener&) = delete;
  auto operator=(const PeerListener&) -> PeerListener& = delete;

  /// Accepts connections for ever. One that can't be accepted, as without a
  /// free descriptor, is tried again after a pause.
  auto AcceptForever() -> kj::Promise<void>;

private:
  struct Connection;

  auto Serve(kj::Own<kj::AsyncIoStream> aStream) -> void;
  /// True if there is room for one more connection, of another one's if need
  /// be.
  auto MakeRoom() -> bool;
  auto Remove(std::uint64_t aNumber) -> void;

  kj::ConnectionReceiver& mReceiver;
  PeerContext& mContext;
  std::uint64_t mNextNumber = 1;
  /// The oldest first.
  std::list<kj::Own<Connection>> mConnections;
};

} // namespace cuminslip
