#pragma once

#include "peers/internal/oncereply.h"
#include "peers/internal/peercontext.h"

namespace cuminslip {

/// What this instance knows by itself: its own revision and those of the
/// instances that pull from it.
auto
OwnReport(const PeerContext& aContext) -> RevisionReport;

/// Asks all control instances and puts their reports together. Instances of
/// the settings that nobody heard of are listed as not reachable.
auto
CollectReports(PeerContext& aContext,
               const OnceReplyPointer<RevisionReport>& aReply) -> void;

/// Notes that an instance pulled, and forgets those long gone.
auto
NoteSubscriber(PeerContext& aContext,
               const InstanceId& aInstance,
               const FailureDomainId& aDomain,
               Revision aRevision) -> void;

} // namespace cuminslip
