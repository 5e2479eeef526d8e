#include "gateway/listener.h"

namespace cuminslip::gateway {

auto
StartListener(wire::EventLoop& aLoop,
              const std::optional<wire::SocketAddress>& aAddress,
              const InstanceLimits& aLimits,
              ListenerOptions aOptions,
              wire::RequestHandler aHandler)
  -> leaf::result<wire::HttpServerPtr>
{
  if (!aAddress) {
    return wire::HttpServerPtr{};
  }
  auto limits = wire::ListenerLimits{};
  limits.mMaxBodyBytes = static_cast<std::size_t>(aLimits.mMaxBodyBytes);
  limits.mMaxHeadBytes = static_cast<std::size_t>(aLimits.mMaxHeadBytes);
  limits.mMaxConnections = static_cast<std::size_t>(aLimits.mMaxConnections);
  limits.mRequestTimeout = aOptions.mRequestTimeout;
  limits.mBudget = std::move(aOptions.mBudget);
  limits.mWriteRefusal = std::move(aOptions.mWriteRefusal);
  return wire::StartHttpServer(aLoop, *aAddress, limits, std::move(aHandler));
}

auto
RefuseWhenClosed(const bool& aIsClosed, wire::RequestHandler aHandler)
  -> wire::RequestHandler
{
  return [&aIsClosed,
          handler = std::move(aHandler)](const wire::HttpRequest& aRequest,
                                         const wire::ResponderPtr& aResponder) {
    if (aIsClosed) {
      constexpr auto kUnavailable = 503;
      wire::SendResponse(aResponder, { kUnavailable, {}, "" });
      return;
    }
    handler(aRequest, aResponder);
  };
}

} // namespace cuminslip::gateway
