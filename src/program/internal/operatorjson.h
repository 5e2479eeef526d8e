#pragma once

#include "base/findings.h"
#include "peers/types/peerreports.h"
#include "placement/types/placementtypes.h"
#include "requests/types/frontstatus.h"
#include "settings/types/settings.h"
#include "wire/types/httpmessage.h"

#include <string>
#include <string_view>

/// Bodies of the operator interface, docs/INTERFACES.md. Pure; thread safe.
namespace cuminslip::program {

/// An operator's change of one template.
struct PublishRequest
{
  Revision mExpectedRevision = 0;
  RequestId mRequest;
  std::string mDocument;

  auto operator==(const PublishRequest&) const -> bool = default;
};

/// Fails with all Findings at once.
auto
DecodePublish(std::string_view aBody) -> leaf::result<PublishRequest>;

/// 422 with the findings, as places and as text.
auto
FindingsResponse(const Findings& aFindings) -> wire::HttpResponse;

auto
EncodeStoredTemplate(const StoredTemplate& aTemplate) -> std::string;

auto
EncodeReading(const TemplateReading& aReading) -> std::string;

auto
EncodeRevisions(const RevisionReport& aReport) -> std::string;

auto
EncodeEndpoints(const std::vector<EndpointView>& aEndpoints) -> std::string;

auto
EncodePlan(const std::vector<placement::PlannedOrder>& aOrders) -> std::string;

auto
EncodeStatus(const Settings& aSettings,
             const PeerStatus& aStatus,
             const requests::FrontStatus& aStanding) -> std::string;

} // namespace cuminslip::program
