#include "peers/internal/peerlistener.h"

#include "peers/internal/rpcparts.h"
#include "peers/internal/sessionserver.h"
#include "peers/types/peersevents.h"

#include <capnp/rpc-twoparty.h>

#include <algorithm>

namespace cuminslip {

namespace {

constexpr auto kAcceptPause = 100 * kj::MILLISECONDS;
/// Time and bytes in which a client shows the peer key: several times what that
/// takes.
constexpr auto kVerifyTime = 5 * kj::SECONDS;
constexpr auto kMaxUnverifiedBytes = std::size_t{ 16 } * 1024;

// NOTE: streams are destroyed as what they were made as, not through a base.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"
/// Passes on what a client sends, until it is too much for one that has not
/// shown the key.
class GuardedStream final : public kj::AsyncIoStream
{
public:
  GuardedStream(kj::Own<kj::AsyncIoStream> aStream,
                std::shared_ptr<const PeerIdentity> aIdentity)
    : mStream(kj::mv(aStream))
    , mIdentity(std::move(aIdentity))
  {
  }

  auto tryRead(void* aBuffer, size_t aLeast, size_t aMost)
    -> kj::Promise<size_t> override
  {
    // NOTE: a read may not end before all its bytes have come.
    if (!mIdentity->mIsVerified && mBytes + aLeast > kMaxUnverifiedBytes) {
      return KJ_EXCEPTION(DISCONNECTED, "too much without the peer key");
    }
    const auto most =
      mIdentity->mIsVerified
        ? aMost
        : std::max(aLeast, std::min(aMost, kMaxUnverifiedBytes - mBytes));
    return mStream->tryRead(aBuffer, aLeast, most).then([this](size_t aCount) {
      mBytes += mIdentity->mIsVerified ? 0 : aCount;
      return aCount;
    });
  }

  auto write(const void* aBuffer, size_t aSize) -> kj::Promise<void> override
  {
    return mStream->write(aBuffer, aSize);
  }

  auto write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces)
    -> kj::Promise<void> override
  {
    return mStream->write(aPieces);
  }

  auto whenWriteDisconnected() -> kj::Promise<void> override
  {
    return mStream->whenWriteDisconnected();
  }

  auto shutdownWrite() -> void override { mStream->shutdownWrite(); }

  auto abortRead() -> void override { mStream->abortRead(); }

private:
  kj::Own<kj::AsyncIoStream> mStream;
  std::shared_ptr<const PeerIdentity> mIdentity;
  std::size_t mBytes = 0;
};
#pragma GCC diagnostic pop

} // namespace

struct PeerListener::Connection
{
  Connection(std::uint64_t aNumber,
             kj::Own<kj::AsyncIoStream> aStream,
             PeerContext& aContext)
    : mNumber(aNumber)
    , mStream(kj::mv(aStream), mIdentity)
    , mNetwork(mStream, capnp::rpc::twoparty::Side::SERVER)
    , mRpc(capnp::makeRpcServer(mNetwork, MakePeerServer(aContext, mIdentity)))
  {
  }

  std::uint64_t mNumber;
  std::shared_ptr<PeerIdentity> mIdentity = std::make_shared<PeerIdentity>();
  GuardedStream mStream;
  capnp::TwoPartyVatNetwork mNetwork;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> mRpc;
};

PeerListener::PeerListener(kj::ConnectionReceiver& aReceiver,
                           PeerContext& aContext)
  : mReceiver(aReceiver)
  , mContext(aContext)
{
}

PeerListener::~PeerListener() noexcept = default;

auto
PeerListener::AcceptForever() -> kj::Promise<void>
{
  // NOTE: accept may also throw at once.
  return kj::evalNow([this] { return mReceiver.accept(); })
    .then(
      [this](kj::Own<kj::AsyncIoStream> aStream) {
        if (MakeRoom()) {
          Serve(kj::mv(aStream));
        }
        return AcceptForever();
      },
      [this](const kj::Exception& aProblem) {
        LogEvent(kPeerAcceptFailedEvent,
                 { { "reason", aProblem.getDescription().cStr() } });
        return mContext.mTimer.afterDelay(kAcceptPause).then([this] {
          return AcceptForever();
        });
      });
}

auto
PeerListener::Serve(kj::Own<kj::AsyncIoStream> aStream) -> void
{
  SetNoDelay(*aStream);
  const auto number = mNextNumber++;
  mConnections.push_back(
    kj::heap<Connection>(number, kj::mv(aStream), mContext));
  auto& connection = *mConnections.back();
  mContext.mTasks.add(connection.mNetwork.onDisconnect().then(
    [this, number] { Remove(number); },
    [this, number](kj::Exception&&) { Remove(number); }));
  mContext.mTasks.add(mContext.mTimer.afterDelay(kVerifyTime)
                        .then([this, number, identity = connection.mIdentity] {
                          if (!identity->mIsVerified) {
                            Remove(number);
                          }
                        }));
}

auto
PeerListener::MakeRoom() -> bool
{
  if (mConnections.size() < mContext.mSettings.mMaxConnections) {
    return true;
  }
  const auto it = std::find_if(
    mConnections.begin(), mConnections.end(), [](const auto& aConnection) {
      return !aConnection->mIdentity->mIsVerified;
    });
  if (it == mConnections.end()) {
    LogEvent(kPeerRefusedEvent, { { "reason", "too many connections" } });
    return false;
  }
  mConnections.erase(it);
  return true;
}

auto
PeerListener::Remove(std::uint64_t aNumber) -> void
{
  const auto it = std::find_if(
    mConnections.begin(), mConnections.end(), [&](const auto& aConnection) {
      return aConnection->mNumber == aNumber;
    });
  if (it == mConnections.end()) {
    return;
  }
  // NOTE: this may run inside a callback of that connection.
  mContext.mTasks.add(kj::evalLast(
    [connection = kj::mv(*it)]() mutable { connection = nullptr; }));
  mConnections.erase(it);
}

} // namespace cuminslip
