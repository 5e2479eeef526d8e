#pragma once

#include "peers/internal/peercontext.h"

namespace cuminslip {

/// The capability that a connecting instance gets first. It hands out a
/// session for the right peer key only. aContext must outlive it.
auto
MakePeerServer(PeerContext& aContext) -> schema::Peer::Client;

} // namespace cuminslip
