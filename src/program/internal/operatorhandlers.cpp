#include "program/internal/handlers.h"
#include "program/internal/operatorjson.h"
#include "program/types/programevents.h"
#include "settings/keys.h"
#include "templates/templates.h"

#include <boost/json.hpp>

namespace cuminslip::program {

namespace {

namespace json = boost::json;

constexpr auto kTemplatesPath = std::string_view("/operator/v1/templates");
constexpr auto kEndpointsPath = std::string_view("/operator/v1/endpoints");
constexpr auto kMembersPath = std::string_view("/operator/v1/control/members/");
constexpr auto kHistorySuffix = std::string_view("/history");
constexpr auto kDrainSuffix = std::string_view("/drain");

/// One operator's call.
struct OperatorCall
{
  Instance& mInstance;
  wire::HttpRequest mRequest;
  wire::ResponderPtr mResponder;
  std::string mOperator;
};

auto
ErrorResponse(int aStatus, std::string_view aType, std::string_view aMessage)
  -> wire::HttpResponse
{
  return wire::JsonResponse(
    aStatus,
    json::serialize(json::object{
      { "error",
        json::object{ { "type", aType }, { "message", aMessage } } } }));
}

/// Runs aAction on the front task, whose thread owns the responder.
auto
PostBack(Instance& aInstance, std::function<void()> aAction) -> void
{
  wire::PostToLoop(*aInstance.mLoop, std::move(aAction));
}

auto
RespondLater(const OperatorCall& aCall, wire::HttpResponse aResponse) -> void
{
  PostBack(aCall.mInstance,
           [responder = aCall.mResponder, response = std::move(aResponse)] {
             wire::SendResponse(responder, response);
           });
}

auto
LogAction(const OperatorCall& aCall,
          std::string_view aAction,
          std::string_view aSubject,
          std::string_view aResult,
          Revision aRevision) -> void
{
  LogEvent(kOperatorActionEvent,
           { { "operator", aCall.mOperator },
             { "action", aAction },
             { "subject", aSubject },
             { "result", aResult },
             { "revision", aRevision } });
}

auto
PublishResponse(const AccountId& aAccount, const CommandResult& aResult)
  -> wire::HttpResponse
{
  switch (aResult.mStatus) {
    case CommandStatus::Accepted:
      return wire::JsonResponse(
        200,
        json::serialize(json::object{ { "account", aAccount.mValue },
                                      { "revision", aResult.mRevision } }));
    case CommandStatus::RevisionConflict:
      return wire::JsonResponse(
        409,
        json::serialize(json::object{ { "account", aAccount.mValue },
                                      { "current_revision", aResult.mRevision },
                                      { "document", aResult.mBytes } }));
    case CommandStatus::Invalid:
      return ErrorResponse(422, "invalid", "the change breaks a bound");
    case CommandStatus::DiskFull:
    case CommandStatus::Full:
      return ErrorResponse(
        507, "full", "the control instances take no more changes");
    default:
      return ErrorResponse(
        503,
        "no_quorum",
        "no quorum answered in time; the change may have been accepted: resend "
        "it with the same request id");
  }
}

auto
Publish(const OperatorCall& aCall, const AccountId& aAccount) -> void
{
  const auto publish = CollectOutcome<PublishRequest>(
    [&] { return DecodePublish(aCall.mRequest.mBody); });
  if (!publish.mValue) {
    wire::SendResponse(aCall.mResponder, FindingsResponse(publish.mFindings));
    return;
  }
  const auto parsed = CollectOutcome<Template>(
    [&] { return ParseTemplate(publish.mValue->mDocument, "document"); });
  auto findings = parsed.mFindings;
  if (parsed.mValue && parsed.mValue->mAccount != aAccount) {
    AddFinding(findings,
               { { "document", 0, 0 },
                 "account",
                 "is not the account of the path",
                 aAccount.mValue });
  }
  if (!IsEmpty(findings)) {
    wire::SendResponse(aCall.mResponder, FindingsResponse(findings));
    return;
  }
  auto command = PublishCommand{};
  command.mAccount = aAccount;
  command.mExpectedRevision = publish.mValue->mExpectedRevision;
  command.mRequest = publish.mValue->mRequest;
  command.mDocument = publish.mValue->mDocument;
  const auto reply = [call = OperatorCall(aCall),
                      aAccount](const CommandResult& aResult) {
    LogAction(call,
              "publish",
              aAccount.mValue,
              aResult.mStatus == CommandStatus::Accepted ? "accepted"
                                                         : "not accepted",
              aResult.mRevision);
    RespondLater(call, PublishResponse(aAccount, aResult));
  };
  aCall.mInstance.mPeers->Propose(std::move(command), reply);
}

auto
GetTemplate(const OperatorCall& aCall, const AccountId& aAccount) -> void
{
  aCall.mInstance.mPeers->ReadTemplates([call = OperatorCall(aCall), aAccount](
                                          const TemplateReading& aReading) {
    for (const auto& item : aReading.mTemplates) {
      if (item.mAccount == aAccount) {
        RespondLater(call, wire::JsonResponse(200, EncodeStoredTemplate(item)));
        return;
      }
    }
    RespondLater(
      call, ErrorResponse(404, "not_found", "no template for this account"));
  });
}

auto
ListTemplates(const OperatorCall& aCall) -> void
{
  aCall.mInstance.mPeers->ReadTemplates(
    [call = OperatorCall(aCall)](const TemplateReading& aReading) {
      RespondLater(call, wire::JsonResponse(200, EncodeReading(aReading)));
    });
}

auto
GetHistory(const OperatorCall& aCall, const AccountId& aAccount) -> void
{
  aCall.mInstance.mPeers->ReadHistory(
    aAccount, [call = OperatorCall(aCall)](const TemplateReading& aReading) {
      RespondLater(call, wire::JsonResponse(200, EncodeReading(aReading)));
    });
}

auto
GetRevisions(const OperatorCall& aCall) -> void
{
  aCall.mInstance.mPeers->ReportRevisions(
    [call = OperatorCall(aCall)](const RevisionReport& aReport) {
      RespondLater(call, wire::JsonResponse(200, EncodeRevisions(aReport)));
    });
}

auto
Drain(const OperatorCall& aCall, const EndpointId& aEndpoint) -> void
{
  const auto isKnown =
    requests::DrainEndpoint(*aCall.mInstance.mFront, aEndpoint);
  LogAction(
    aCall, "drain", aEndpoint.mValue, isKnown ? "done" : "not known", 0);
  wire::SendResponse(
    aCall.mResponder,
    isKnown ? wire::JsonResponse(200, R"({"drained":true})")
            : ErrorResponse(404, "not_found", "no such endpoint here"));
}

auto
RouteTemplates(const OperatorCall& aCall) -> bool
{
  const auto& path = aCall.mRequest.mPath;
  const auto& method = aCall.mRequest.mMethod;
  if (!path.starts_with(kTemplatesPath)) {
    return false;
  }
  if (path == kTemplatesPath && method == "GET") {
    ListTemplates(aCall);
    return true;
  }
  auto account = path.substr(kTemplatesPath.size());
  if (!account.starts_with('/') || account.size() < 2) {
    return false;
  }
  account.erase(0, 1);
  if (account.ends_with(kHistorySuffix) && method == "GET") {
    account.resize(account.size() - kHistorySuffix.size());
    GetHistory(aCall, AccountId{ account });
    return true;
  }
  if (method == "GET") {
    GetTemplate(aCall, AccountId{ account });
    return true;
  }
  if (method == "PUT") {
    Publish(aCall, AccountId{ account });
    return true;
  }
  return false;
}

auto
RouteEndpoints(const OperatorCall& aCall) -> bool
{
  const auto& path = aCall.mRequest.mPath;
  if (path == kEndpointsPath && aCall.mRequest.mMethod == "GET") {
    const auto standing = requests::GetFrontStatus(*aCall.mInstance.mFront);
    wire::SendResponse(
      aCall.mResponder,
      wire::JsonResponse(200, EncodeEndpoints(standing.mEndpoints)));
    return true;
  }
  const auto isDrain =
    path.starts_with(kEndpointsPath) && path.ends_with(kDrainSuffix) &&
    aCall.mRequest.mMethod == "POST" &&
    path.size() > kEndpointsPath.size() + kDrainSuffix.size() + 1;
  if (!isDrain) {
    return false;
  }
  const auto begin = kEndpointsPath.size() + 1;
  const auto size = path.size() - begin - kDrainSuffix.size();
  Drain(aCall, EndpointId{ path.substr(begin, size) });
  return true;
}

auto
FindControlInstance(const Settings& aSettings, const std::string& aName)
  -> std::optional<PeerInstance>
{
  for (const auto& item : aSettings.mControlInstances) {
    if (item.mId.mValue == aName) {
      return PeerInstance{ item.mId,
                           wire::FormatAddress(item.mAddress),
                           item.mFailureDomain };
    }
  }
  return std::nullopt;
}

auto
ToMembershipAction(std::string_view aName) -> std::optional<MembershipAction>
{
  if (aName == "add") {
    return MembershipAction::Add;
  }
  if (aName == "replace") {
    return MembershipAction::Replace;
  }
  if (aName == "remove") {
    return MembershipAction::Remove;
  }
  return std::nullopt;
}

auto
ChangeMember(const OperatorCall& aCall, const MembershipRequest& aRequest)
  -> void
{
  aCall.mInstance.mPeers->ChangeMembership(
    aRequest,
    [call = OperatorCall(aCall), aRequest](const MembershipReply& aReply) {
      const auto isBegun = aReply.mProblem.empty();
      LogAction(call,
                "change control membership",
                aRequest.mInstance.mInstance.mValue,
                isBegun ? "begun" : aReply.mProblem,
                0);
      RespondLater(call,
                   isBegun ? wire::JsonResponse(200, R"({"begun":true})")
                           : ErrorResponse(409, "refused", aReply.mProblem));
    });
}

auto
RouteMembers(const OperatorCall& aCall) -> bool
{
  const auto& path = aCall.mRequest.mPath;
  if (aCall.mRequest.mMethod != "POST" || !path.starts_with(kMembersPath)) {
    return false;
  }
  const auto rest = path.substr(kMembersPath.size());
  const auto slash = rest.find('/');
  if (slash == std::string::npos) {
    return false;
  }
  const auto action = ToMembershipAction(rest.substr(slash + 1));
  const auto instance =
    FindControlInstance(aCall.mInstance.mSettings, rest.substr(0, slash));
  if (!action || !instance) {
    return false;
  }
  ChangeMember(aCall, { *action, *instance });
  return true;
}

auto
RouteStatus(const OperatorCall& aCall) -> bool
{
  const auto& path = aCall.mRequest.mPath;
  if (aCall.mRequest.mMethod != "GET") {
    return false;
  }
  if (path == "/operator/v1/placement/plan") {
    wire::SendResponse(
      aCall.mResponder,
      wire::JsonResponse(
        200, EncodePlan(requests::GetPlannedOrders(*aCall.mInstance.mFront))));
    return true;
  }
  if (path == "/operator/v1/revisions") {
    GetRevisions(aCall);
    return true;
  }
  if (path == "/operator/v1/status") {
    wire::SendResponse(
      aCall.mResponder,
      wire::JsonResponse(
        200,
        EncodeStatus(aCall.mInstance.mSettings,
                     aCall.mInstance.mPeers->Status(),
                     requests::GetFrontStatus(*aCall.mInstance.mFront))));
    return true;
  }
  return false;
}

} // namespace

auto
HandleOperator(Instance& aInstance,
               const wire::HttpRequest& aRequest,
               const wire::ResponderPtr& aResponder) -> void
{
  const auto name = IdentifyOperator(aInstance.mSettings.mKeys,
                                     wire::BearerKey(aRequest.mHeaders));
  if (!name) {
    LogEvent(kKeyRefusedEvent, { { "interface", "operator" } });
    wire::SendResponse(
      aResponder, ErrorResponse(401, "unauthorized", "unknown operator key"));
    return;
  }
  const auto call = OperatorCall{ aInstance, aRequest, aResponder, *name };
  if (RouteTemplates(call) || RouteEndpoints(call) || RouteMembers(call) ||
      RouteStatus(call)) {
    return;
  }
  wire::SendResponse(aResponder,
                     ErrorResponse(404, "not_found", "no such path or method"));
}

} // namespace cuminslip::program
