#include "requests/internal/sharing.h"

#include "requests/internal/dispatch.h"

namespace cuminslip::requests {

namespace {

auto
ApplyOutput(Front& aFront, const endpoints::MembershipOutput& aOutput) -> void
{
  for (const auto& message : aOutput.mMessages) {
    aFront.mPorts.mPeers.mSend(message.mAddress, message.mBytes);
  }
  for (const auto& change : aOutput.mEndpointChanges) {
    endpoints::LogEndpointChange(change);
    MarkStale(aFront.mFleet);
  }
  for (const auto& change : aOutput.mInstanceChanges) {
    endpoints::LogInstanceChange(change);
    endpoints::NoteInstanceChange(
      aFront.mOrphans, change, aFront.mPorts.mNow());
  }
}

} // namespace

auto
StartSharing(Front& aFront) -> void
{
  auto settings = endpoints::MembershipSettings{};
  settings.mInstance = aFront.mSettings.mInstance;
  settings.mIncarnation = aFront.mSettings.mIncarnation;
  settings.mAddress = aFront.mSettings.mPeerAddress;
  settings.mFailureDomain = aFront.mSettings.mPlace.mFailureDomain;
  settings.mPeers = aFront.mSettings.mDomainPeers;
  aFront.mMembership =
    endpoints::StartMembership(std::move(settings), aFront.mPorts.mNow());
}

auto
TickSharing(Front& aFront) -> void
{
  ApplyOutput(aFront,
              endpoints::TickMembership(aFront.mMembership,
                                        aFront.mFleet.mRegistry,
                                        aFront.mPorts.mNow()));
}

auto
ShareEndpointState(Front& aFront, const EndpointId& aEndpoint) -> void
{
  ApplyOutput(aFront,
              endpoints::ShareEndpoint(aFront.mMembership,
                                       aFront.mFleet.mRegistry,
                                       aEndpoint,
                                       aFront.mPorts.mNow()));
}

auto
HandlePeerMessage(Front& aFront, std::string_view aBytes) -> void
{
  ApplyOutput(aFront,
              endpoints::ReceiveMembershipMessage(aFront.mMembership,
                                                  aFront.mFleet.mRegistry,
                                                  aBytes,
                                                  aFront.mPorts.mNow()));
}

auto
LeaveDomain(Front& aFront) -> void
{
  ApplyOutput(
    aFront,
    endpoints::StopMembership(aFront.mMembership, aFront.mPorts.mNow()));
}

} // namespace cuminslip::requests
