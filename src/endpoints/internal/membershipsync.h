#pragma once

#include "endpoints/membership.h"

#include <cstdint>
#include <string>
#include <vector>

/// Learning from the messages of peers, and answering them.
namespace cuminslip::endpoints {

auto
Send(const std::string& aAddress,
     const MembershipMessage& aMessage,
     MembershipOutput& aOutput) -> void;

/// Sends aMessage to every instance that is alive but this one.
auto
SendToAll(const Membership& aMembership,
          const MembershipMessage& aMessage,
          TimePoint aNow,
          MembershipOutput& aOutput) -> void;

/// The member whose key is aKey; null when there is none.
auto
FindSender(Membership& aMembership, std::uint32_t aKey) -> Member*;

/// Takes in instance records, and tells all others of one that greets.
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

/// Sends the records that the asker does not have.
auto
AnswerRecordRequest(const Membership& aMembership,
                    const Registry& aRegistry,
                    const MembershipMessage& aAsked,
                    const std::string& aAddress,
                    TimePoint aNow,
                    MembershipOutput& aOutput) -> void;

/// Sends the loads of endpoints and the heartbeats of instances in aKeys that
/// are fresh here.
auto
AnswerStale(const Membership& aMembership,
            const Registry& aRegistry,
            const std::vector<std::uint32_t>& aKeys,
            const std::string& aAddress,
            TimePoint aNow,
            MembershipOutput& aOutput) -> void;

/// Asks a peer for records that are missing here, unless one was asked lately.
auto
AskForRecords(Membership& aMembership,
              const Registry& aRegistry,
              const std::string& aAddress,
              TimePoint aNow,
              MembershipOutput& aOutput) -> void;

} // namespace cuminslip::endpoints
