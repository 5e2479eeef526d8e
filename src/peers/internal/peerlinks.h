#pragma once

#include "peers/generated/peer.capnp.h"
#include "peers/types/peersettings.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <functional>
#include <map>
#include <memory>

namespace cuminslip {

/// Connections to other instances, made when first used and dropped after a
/// failure or a timeout. Used on the peer thread only.
class PeerLinks
{
public:
  PeerLinks(const PeerSettings& aSettings,
            kj::Network& aNetwork,
            kj::Timer& aTimer,
            kj::TaskSet& aTasks);

  PeerLinks(const PeerLinks&) = delete;
  auto operator=(const PeerLinks&) -> PeerLinks& = delete;
  ~PeerLinks();

  /// The session at aAddress, which may still be connecting.
  auto SessionAt(const std::string& aAddress) -> schema::Session::Client;

  /// Drops the connection, so that the next call makes a new one.
  auto Drop(const std::string& aAddress) -> void;

  /// Takes the answers to messages of the control log.
  std::function<void(const std::string&)> mOnControlReply;

  /// Sends a message of the control log; lost when the peer can't be reached.
  auto SendControl(const std::string& aAddress, const std::string& aBytes)
    -> void;

  /// Sends bytes of another module; lost when the peer can't be reached.
  auto SendBytes(const std::string& aAddress, const std::string& aBytes)
    -> void;

  /// Fails aPromise after aLimit, and drops the connection if it fails.
  template<class Type>
  auto WithLimit(const std::string& aAddress,
                 Millis aLimit,
                 kj::Promise<Type> aPromise) -> kj::Promise<Type>
  {
    const auto link = mLinks.find(aAddress);
    const auto number = link == mLinks.end() ? 0 : link->second->mNumber;
    return mTimer
      .timeoutAfter(aLimit.count() * kj::MILLISECONDS, kj::mv(aPromise))
      .catch_([this, aAddress, number](
                kj::Exception&& aException) -> kj::Promise<Type> {
        DropNumber(aAddress, number);
        return kj::mv(aException);
      });
  }

private:
  struct Link
  {
    std::uint64_t mNumber = 0;
    std::size_t mInFlight = 0;
    kj::Own<kj::AsyncIoStream> mStream;
    kj::Own<capnp::TwoPartyClient> mClient;
    kj::Maybe<schema::Session::Client> mSession;
  };

  auto Connect(const std::string& aAddress, std::shared_ptr<Link> aLink)
    -> kj::Promise<schema::Session::Client>;
  static auto Close(Link& aLink) -> void;
  auto DropNumber(const std::string& aAddress, std::uint64_t aNumber) -> void;

  const PeerSettings& mSettings;
  kj::Network& mNetwork;
  kj::Timer& mTimer;
  kj::TaskSet& mTasks;
  std::uint64_t mNextNumber = 1;
  std::map<std::string, std::shared_ptr<Link>> mLinks;
};

} // namespace cuminslip
