#pragma once

#include "endpoints/membership.h"

#include <cstdint>
#include <string>
#include <vector>

/// Applies the messages of peers and answers their requests.
namespace cuminslip::endpoints {

auto
Send(const std::string& aAddress,
     const MembershipMessage& aMessage,
     MembershipOutput& aOutput) -> void;

/// Sends aMessage to every other instance that is alive.
auto
SendToAll(const Membership& aMembership,
          const MembershipMessage& aMessage,
          TimePoint aNow,
          MembershipOutput& aOutput) -> void;

/// The member whose key is aKey; null if there is none.
auto
FindSender(Membership& aMembership, std::uint32_t aKey) -> Member*;

/// Applies instance records, and shares the sender's record with all others if
/// the sender requests records and is new or restarted.
auto
LearnInstances(Membership& aMembership,
               const MembershipMessage& aMessage,
               TimePoint aNow,
               MembershipOutput& aOutput) -> void;

auto
LearnHeartbeats(Membership& aMembership,
                const std::vector<HeartbeatRow>& aRows,
                TimePoint aNow) -> void;

auto
LearnLoads(Membership& aMembership,
           Registry& aRegistry,
           const std::vector<LoadRow>& aRows,
           TimePoint aNow) -> void;

auto
LearnEndpoints(Membership& aMembership,
               Registry& aRegistry,
               const std::vector<EndpointRecord>& aRecords,
               TimePoint aNow,
               MembershipOutput& aOutput) -> void;

/// Sends the records that the requester does not have.
auto
AnswerRecordRequest(const Membership& aMembership,
                    const Registry& aRegistry,
                    const MembershipMessage& aAsked,
                    const std::string& aAddress,
                    TimePoint aNow,
                    MembershipOutput& aOutput) -> void;

/// Sends the loads and heartbeats of those endpoints and instances in aKeys
/// whose updates are not overdue here.
auto
AnswerStale(const Membership& aMembership,
            const Registry& aRegistry,
            const std::vector<std::uint32_t>& aKeys,
            const std::string& aAddress,
            TimePoint aNow,
            MembershipOutput& aOutput) -> void;

/// Requests missing records from a peer, at most once per mSyncInterval.
auto
RequestRecords(Membership& aMembership,
               const Registry& aRegistry,
               const std::string& aAddress,
               TimePoint aNow,
               MembershipOutput& aOutput) -> void;

} // namespace cuminslip::endpoints
