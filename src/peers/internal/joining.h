#pragma once

#include "peers/internal/oncereply.h"
#include "peers/internal/peercontext.h"
#include "peers/internal/rpcparts.h"

namespace cuminslip {

/// Lets a control instance whose disk belongs to no control log found one or
/// join one. It founds only when all other control instances answer that they
/// have none and it is the first of them by name. Goes on until it belongs to
/// one. Peer thread only.
auto
JoinControlLog(PeerContext& aContext) -> kj::Promise<void>;

/// Carries out an operator's membership change at the leader, here or
/// elsewhere.
auto
ChangeMembershipAtLeader(PeerContext& aContext,
                         const MembershipRequest& aRequest,
                         const OnceReplyPointer<MembershipReply>& aReply)
  -> void;

/// Carries out an operator's change; this instance is the leader.
auto
ChangeMembershipHere(PeerContext& aContext,
                     const MembershipRequest& aRequest,
                     const OnceReplyPointer<MembershipReply>& aReply) -> void;

} // namespace cuminslip
