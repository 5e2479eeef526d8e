#pragma once

#include "peers/internal/peercontext.h"

/// The endpoint table of a control instance: what it hears, tells the other
/// control instances and answers to those that watch it. Peer thread only.
namespace cuminslip {

/// Takes what an endpoint said to this instance. News goes to the others and
/// to followers at once. False when it was old or could not be kept.
auto
HearNotice(PeerContext& aContext, const directory::EndpointNotice& aNotice)
  -> bool;

/// Takes what another control instance heard.
auto
TakeShared(PeerContext& aContext,
           capnp::List<schema::EndpointRow>::Reader aRows) -> void;

/// Marks silent endpoints and shares heartbeats that are due.
auto
TickEndpoints(PeerContext& aContext) -> void;

/// Notes that an entry instance watches this one.
auto
NoteEntry(PeerContext& aContext,
          const InstanceId& aInstance,
          const std::string& aAddress) -> void;

using WatchParams = schema::Session::WatchParams::Reader;
using WatchResults = schema::Session::WatchResults::Builder;

/// True when there is something that the watching instance does not know.
auto
HasWatchNews(const PeerContext& aContext, const WatchParams& aParams) -> bool;

/// Writes endpoints, entry instances and control instances.
auto
WriteWatched(const PeerContext& aContext,
             const WatchParams& aParams,
             WatchResults& aResults) -> void;

} // namespace cuminslip
