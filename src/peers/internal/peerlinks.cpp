#include "peers/internal/peerlinks.h"

#include "base/events.h"
#include "peers/internal/rpcparts.h"
#include "peers/types/peersevents.h"

namespace cuminslip {

namespace {

/// Messages to one peer that wait for their receipt.
constexpr auto kMaxInFlight = std::size_t{ 256 };
constexpr auto kSendLimit = Millis(3000);

} // namespace

PeerLinks::PeerLinks(const PeerSettings& aSettings,
                     kj::Network& aNetwork,
                     kj::Timer& aTimer,
                     kj::TaskSet& aTasks)
  : mSettings(aSettings)
  , mNetwork(aNetwork)
  , mTimer(aTimer)
  , mTasks(aTasks)
{
}

PeerLinks::~PeerLinks()
{
  for (auto& [address, it] : mLinks) {
    Close(*it);
  }
}

auto
PeerLinks::Close(Link& aLink) -> void
{
  // NOTE: a promise still under way holds the link, which holds the promise.
  aLink.mSession = nullptr;
  aLink.mClient = nullptr;
  aLink.mStream = nullptr;
}

auto
PeerLinks::Connect(const std::string& aAddress, std::shared_ptr<Link> aLink)
  -> kj::Promise<schema::Session::Client>
{
  return mNetwork.parseAddress(aAddress.c_str())
    .then([](kj::Own<kj::NetworkAddress> aParsed) {
      return aParsed->connect().attach(kj::mv(aParsed));
    })
    .then([this, address = aAddress, link = std::move(aLink)](
            kj::Own<kj::AsyncIoStream> aStream) mutable {
      SetNoDelay(*aStream);
      link->mStream = kj::mv(aStream);
      link->mClient = kj::heap<capnp::TwoPartyClient>(*link->mStream);
      mTasks.add(link->mClient->onDisconnect().then(
        [this, address, number = link->mNumber] {
          DropNumber(address, number);
        }));
      auto request =
        link->mClient->bootstrap().castAs<schema::Peer>().openRequest();
      request.setKey(ToData(mSettings.mPeerKey));
      request.setInstance(ToText(mSettings.mInstance.mValue));
      request.setFailureDomain(ToText(mSettings.mFailureDomain.mValue));
      return request.send().then(
        [](capnp::Response<schema::Peer::OpenResults> aResponse)
          -> schema::Session::Client { return aResponse.getSession(); });
    });
}

auto
PeerLinks::SessionAt(const std::string& aAddress) -> schema::Session::Client
{
  auto& link = mLinks[aAddress];
  if (!link) {
    link = std::make_shared<Link>();
    link->mNumber = mNextNumber++;
    link->mSession = schema::Session::Client(Connect(aAddress, link));
  }
  KJ_IF_MAYBE (session, link->mSession) {
    return *session;
  }
  return nullptr;
}

auto
PeerLinks::Drop(const std::string& aAddress) -> void
{
  const auto it = mLinks.find(aAddress);
  if (it == mLinks.end()) {
    return;
  }
  LogEvent(kPeerLostEvent, { { "address", aAddress } });
  // NOTE: this may run inside a callback of that connection.
  mTasks.add(kj::evalLast([link = std::move(it->second)] { Close(*link); }));
  mLinks.erase(it);
}

auto
PeerLinks::DropNumber(const std::string& aAddress, std::uint64_t aNumber)
  -> void
{
  const auto it = mLinks.find(aAddress);
  if (it != mLinks.end() && it->second->mNumber == aNumber) {
    Drop(aAddress);
  }
}

auto
PeerLinks::SendControl(const std::string& aAddress, const std::string& aBytes)
  -> void
{
  auto session = SessionAt(aAddress);
  auto link = mLinks[aAddress];
  if (link->mInFlight >= kMaxInFlight) {
    return;
  }
  ++link->mInFlight;
  auto request = session.controlRequest();
  request.setMessage(ToData(aBytes));
  using Response = capnp::Response<schema::Session::ControlResults>;
  kj::Promise<Response> sent = request.send();
  mTasks.add(WithLimit(aAddress, kSendLimit, kj::mv(sent))
               .then(
                 [this, link](Response aResponse) {
                   --link->mInFlight;
                   const auto reply = FromData(aResponse.getReply());
                   if (!reply.empty() && mOnControlReply) {
                     mOnControlReply(reply);
                   }
                 },
                 [link](kj::Exception&&) { --link->mInFlight; }));
}

auto
PeerLinks::SendBytes(const std::string& aAddress, const std::string& aBytes)
  -> void
{
  auto session = SessionAt(aAddress);
  auto link = mLinks[aAddress];
  if (link->mInFlight >= kMaxInFlight) {
    return;
  }
  ++link->mInFlight;
  auto request = session.sendRequest();
  request.setBytes(ToData(aBytes));
  mTasks.add(WithLimit(aAddress, kSendLimit, request.send().ignoreResult())
               .then([link] { --link->mInFlight; },
                     [link](kj::Exception&&) { --link->mInFlight; }));
}

} // namespace cuminslip
