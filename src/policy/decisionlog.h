#pragma once

#include "policy/admission.h"
#include "policy/endpointchoice.h"
#include "policy/endpointhealth.h"
#include "policy/permission.h"
#include "policy/retries.h"
#include "policy/splitplan.h"
#include "policy/waitqueue.h"

#include <span>
#include <string>

/// Logs one line for each decision, with its reason and the values behind it.
/// All functions are thread safe.
namespace cuminslip {

/// Formats the endpoints compared for a choice as
/// "id first_token_ms/cached/cost_ms ...", the chosen one first, at most aMost
/// of them.
auto
FormatAlternatives(const EndpointChoice& aChoice,
                   std::span<const EndpointView> aEndpoints,
                   std::size_t aMost = 4) -> std::string;

auto
LogChoice(const RequestFacts& aRequest,
          const EndpointChoice& aChoice,
          std::span<const EndpointView> aEndpoints) -> void;

auto
LogAdmission(const RequestFacts& aRequest, const AdmissionDecision& aDecision)
  -> void;

auto
LogWaitStarted(const WaitEntry& aEntry, const EnqueueResult& aResult) -> void;

auto
LogWaitEnded(const StartedEntry& aStarted) -> void;

auto
LogWaitExpired(const WaitEntry& aEntry, TimePoint aNow) -> void;

auto
LogWaitDisplaced(const WaitEntry& aEntry, TimePoint aNow) -> void;

auto
LogRetry(const RequestFacts& aRequest,
         const RetryInput& aInput,
         const RetryDecision& aDecision) -> void;

auto
LogHealthChange(const HealthChange& aChange) -> void;

auto
LogOverload(double aLevel, Micros aOldestWait) -> void;

auto
LogSplit(const RequestFacts& aRequest,
         const SplitPlan& aPlan,
         std::span<const EndpointView> aEndpoints) -> void;

auto
LogPermissionWithdrawn(const RequestFacts& aRequest,
                       const EndpointId& aEndpoint,
                       Permission aPermission) -> void;

} // namespace cuminslip
