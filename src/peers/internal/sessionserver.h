#pragma once

#include "peers/internal/peercontext.h"
#include "peers/internal/peerlistener.h"

namespace cuminslip {

/// The capability that a connecting instance gets first. It hands out a
/// session for the right peer key only, which aIdentity then tells. aContext
/// must outlive it.
auto
MakePeerServer(PeerContext& aContext, std::shared_ptr<PeerIdentity> aIdentity)
  -> schema::Peer::Client;

} // namespace cuminslip
