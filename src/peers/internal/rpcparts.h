#pragma once

#include "control/types/storedtemplate.h"
#include "directory/types/endpointnotice.h"
#include "peers/generated/peer.capnp.h"
#include "peers/types/leaderoutcome.h"
#include "peers/types/peerreports.h"

#include <kj/async-io.h>

#include <optional>
#include <string>

/// Conversions between the RPC schema and plain values.
namespace cuminslip {

auto
ToText(const std::string& aText) -> capnp::Text::Reader;

auto
ToData(const std::string& aBytes) -> capnp::Data::Reader;

auto
FromText(capnp::Text::Reader aText) -> std::string;

auto
FromData(capnp::Data::Reader aBytes) -> std::string;

using PulledTemplates = capnp::List<schema::PulledTemplate>;

auto
WritePulled(PulledTemplates::Builder aTo,
            const std::vector<StoredTemplate>& aFrom) -> void;

auto
ReadPulled(PulledTemplates::Reader aFrom) -> std::vector<StoredTemplate>;

using EndpointRows = capnp::List<schema::EndpointRow>;

auto
WriteRow(schema::EndpointRow::Builder aTo, const directory::EndpointRow& aFrom)
  -> void;

/// No value when the row can't be from this version.
auto
ReadRow(schema::EndpointRow::Reader aFrom)
  -> std::optional<directory::EndpointRow>;

auto
ToSchema(LeaderOutcome aOutcome) -> schema::LeaderOutcome;

/// An unknown outcome counts as NotLeader.
auto
FromSchema(schema::LeaderOutcome aOutcome) -> LeaderOutcome;

/// A member on its way into the control log.
struct Joiner
{
  MemberId mMember = 0;
  PeerInstance mInstance;

  auto operator==(const Joiner&) const -> bool = default;
};

auto
WriteJoiner(schema::Joiner::Builder aTo, const Joiner& aFrom) -> void;

auto
ReadJoiner(schema::Joiner::Reader aFrom) -> Joiner;

/// Sends small messages at once.
auto
SetNoDelay(kj::AsyncIoStream& aStream) -> void;

} // namespace cuminslip
