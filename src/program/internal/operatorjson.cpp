#include "program/internal/operatorjson.h"

#include "base/boundedjson.h"
#include "endpoints/protocol.h"

#include <boost/json.hpp>

namespace cuminslip::program {

namespace {

namespace json = boost::json;

constexpr auto kMaxRequestIdBytes = std::size_t{ 128 };
constexpr auto kUnprocessable = 422;

auto
Report(Findings& aFindings, std::string aKey, std::string aExpected) -> void
{
  AddFinding(aFindings,
             { { "request body", 0, 0 },
               std::move(aKey),
               "missing or of the wrong type",
               std::move(aExpected) });
}

auto
ReadText(const json::object& aObject,
         const std::string& aKey,
         Findings& aFindings) -> std::string
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_string() || value->as_string().empty()) {
    Report(aFindings, aKey, "a text");
    return {};
  }
  return std::string(value->as_string());
}

auto
ToJson(const StoredTemplate& aTemplate) -> json::object
{
  return { { "account", aTemplate.mAccount.mValue },
           { "revision", aTemplate.mRevision },
           { "document", aTemplate.mDocument } };
}

auto
StateName(EndpointState aState) -> std::string_view
{
  switch (aState) {
    case EndpointState::Active:
      return "active";
    case EndpointState::Leaving:
      return "leaving";
    case EndpointState::Suspect:
      return "suspect";
  }
  return "unknown";
}

auto
RoleName(EngineRole aRole) -> std::string_view
{
  switch (aRole) {
    case EngineRole::Mixed:
      return "mixed";
    case EngineRole::Prefill:
      return "prefill";
    case EngineRole::Decode:
      return "decode";
  }
  return "unknown";
}

auto
ToJson(const LoadReport& aLoad) -> json::object
{
  return { { "running_streams", aLoad.mRunningStreams },
           { "waiting_streams", aLoad.mWaitingStreams },
           { "batch_slots", aLoad.mBatchSlots },
           { "queued_prefill_tokens", aLoad.mQueuedPrefillTokens },
           { "free_kv_tokens", aLoad.mFreeKvTokens },
           { "total_kv_tokens", aLoad.mTotalKvTokens } };
}

auto
ToJson(const EndpointView& aView) -> json::object
{
  auto models = json::array{};
  for (const auto& model : aView.mModels) {
    models.push_back(json::object{ { "model", model.mModel.mValue },
                                   { "version", model.mVersion.mValue } });
  }
  const auto isEngine = aView.mKind == EndpointKind::ModelEngine;
  return { { "endpoint", aView.mId.mValue },
           { "incarnation", aView.mIncarnation },
           { "kind", isEngine ? "model_engine" : "plain_service" },
           { "service", aView.mService },
           { "address", aView.mAddress },
           { "failure_domain", aView.mFailureDomain.mValue },
           { "region", aView.mRegion.mValue },
           { "state", StateName(aView.mState) },
           { "role", RoleName(aView.mRole) },
           { "lane", aView.mLane == Lane::Long ? "long" : "shared" },
           { "ejected", aView.mIsEjected },
           { "models", models },
           { "load", ToJson(aView.mLoad) },
           { "report_age_ms", aView.mReportAge.count() },
           { "own_streams", aView.mOwnStreams },
           { "failure_share", aView.mHealth.mFailureShare },
           { "slowness", aView.mHealth.mSlowness } };
}

auto
ToJson(const InstanceRevision& aRevision) -> json::object
{
  return { { "instance", aRevision.mInstance.mValue },
           { "failure_domain", aRevision.mFailureDomain.mValue },
           { "revision", aRevision.mRevision },
           { "reachable", aRevision.mIsReachable },
           { "age_ms", aRevision.mAge.count() } };
}

auto
CountStates(const std::vector<EndpointView>& aEndpoints) -> json::object
{
  auto counts =
    json::object{ { "active", 0 }, { "leaving", 0 }, { "suspect", 0 } };
  for (const auto& view : aEndpoints) {
    auto& count = counts[StateName(view.mState)];
    count = count.as_int64() + 1;
  }
  return counts;
}

auto
RoleNames(const Settings& aSettings) -> json::array
{
  auto names = json::array{};
  for (const auto role : aSettings.mRoles) {
    names.emplace_back(role == Role::Entry ? "entry" : "control");
  }
  return names;
}

/// What a person should look at, one text each.
auto
Attention(const PeerStatus& aStatus, const requests::FrontStatus& aStanding)
  -> json::array
{
  auto items = json::array{};
  if (!aStatus.mIsReady) {
    items.emplace_back("not ready: has not learned the templates in force");
  }
  if (aStatus.mIsIsolated) {
    items.emplace_back("isolated from the quorum of control instances");
  }
  if (!aStatus.mStorageFailure.empty()) {
    items.emplace_back("storage stopped: " + aStatus.mStorageFailure);
  }
  if (aStanding.mOverloadLevel > 0) {
    items.emplace_back("overloaded: refuses part of the work");
  }
  for (const auto& view : aStanding.mEndpoints) {
    if (view.mState == EndpointState::Suspect || view.mIsEjected) {
      items.emplace_back("endpoint " + view.mId.mValue + " gets no work");
    }
  }
  return items;
}

} // namespace

auto
DecodePublish(std::string_view aBody) -> leaf::result<PublishRequest>
{
  auto ec = json::error_code{};
  const auto value = ParseJson(aBody, ec);
  auto findings = Findings{};
  if (ec || !value.is_object()) {
    Report(findings, "", "a JSON object");
    return leaf::new_error(findings);
  }
  const auto& object = value.as_object();
  auto request = PublishRequest{};
  request.mRequest = RequestId{ ReadText(object, "request_id", findings) };
  request.mDocument = ReadText(object, "document", findings);
  const auto* revision = object.if_contains("expected_revision");
  if (revision == nullptr || !revision->is_int64() ||
      revision->as_int64() < 0) {
    Report(findings, "expected_revision", "a whole number, 0 for none yet");
  } else {
    request.mExpectedRevision = static_cast<Revision>(revision->as_int64());
  }
  if (request.mRequest.mValue.size() > kMaxRequestIdBytes) {
    Report(findings, "request_id", "at most 128 bytes");
  }
  if (!IsEmpty(findings)) {
    return leaf::new_error(findings);
  }
  return request;
}

auto
FindingsResponse(const Findings& aFindings) -> wire::HttpResponse
{
  auto items = json::array{};
  for (const auto& finding : aFindings.mItems) {
    items.push_back(json::object{ { "source", finding.mPlace.mSource },
                                  { "line", finding.mPlace.mLine },
                                  { "column", finding.mPlace.mColumn },
                                  { "key", finding.mKey },
                                  { "problem", finding.mProblem },
                                  { "expected", finding.mExpected } });
  }
  return wire::JsonResponse(
    kUnprocessable, json::serialize(json::object{ { "findings", items } }));
}

auto
EncodeStoredTemplate(const StoredTemplate& aTemplate) -> std::string
{
  return json::serialize(ToJson(aTemplate));
}

auto
EncodeReading(const TemplateReading& aReading) -> std::string
{
  auto items = json::array{};
  for (const auto& item : aReading.mTemplates) {
    items.push_back(ToJson(item));
  }
  return json::serialize(
    json::object{ { "current", aReading.mIsCurrent }, { "templates", items } });
}

auto
EncodeRevisions(const RevisionReport& aReport) -> std::string
{
  auto instances = json::array{};
  for (const auto& item : aReport.mInstances) {
    instances.push_back(ToJson(item));
  }
  auto members = json::array{};
  for (const auto& member : aReport.mMembership.mMembers) {
    const auto isVoter = member.mRole == MemberRole::Voter;
    members.push_back(
      json::object{ { "instance", member.mInstance.mValue },
                    { "failure_domain", member.mFailureDomain.mValue },
                    { "role", isVoter ? "voter" : "learner" } });
  }
  return json::serialize(json::object{ { "accepted", aReport.mAccepted },
                                       { "quorum", aReport.mHasQuorum },
                                       { "leader", aReport.mLeader.mValue },
                                       { "members", members },
                                       { "instances", instances } });
}

auto
EncodeEndpoints(const std::vector<EndpointView>& aEndpoints) -> std::string
{
  auto items = json::array{};
  for (const auto& view : aEndpoints) {
    items.push_back(ToJson(view));
  }
  return json::serialize(json::object{ { "endpoints", items } });
}

auto
EncodePlan(const std::vector<placement::PlannedOrder>& aOrders) -> std::string
{
  auto items = json::array{};
  for (const auto& order : aOrders) {
    items.push_back(
      json::object{ { "endpoint", order.mEndpoint.mValue },
                    { "failure_domain", order.mFailureDomain.mValue },
                    { "action", endpoints::NameOf(order.mAction) },
                    { "model", order.mModel.mModel.mValue },
                    { "version", order.mModel.mVersion.mValue },
                    { "reason", order.mReason },
                    { "blocked_by", order.mBlockedBy } });
  }
  return json::serialize(json::object{ { "orders", items } });
}

auto
EncodeStatus(const Settings& aSettings,
             const PeerStatus& aStatus,
             const requests::FrontStatus& aStanding) -> std::string
{
  return json::serialize(
    json::object{ { "instance", aSettings.mInstance.mValue },
                  { "failure_domain", aSettings.mFailureDomain.mValue },
                  { "region", aSettings.mRegion.mValue },
                  { "roles", RoleNames(aSettings) },
                  { "ready", aStatus.mIsReady },
                  { "isolated", aStatus.mIsIsolated },
                  { "isolated_for_ms", aStatus.mIsolatedFor.count() },
                  { "leader", aStatus.mLeader.mValue },
                  { "revision", aStatus.mRevision },
                  { "waiting", aStanding.mWaiting },
                  { "running", aStanding.mRunning },
                  { "oldest_wait_ms", aStanding.mOldestWait.count() },
                  { "overload_level", aStanding.mOverloadLevel },
                  { "received", aStanding.mCounters.mReceived },
                  { "finished", aStanding.mCounters.mFinished },
                  { "endpoints", CountStates(aStanding.mEndpoints) },
                  { "attention", Attention(aStatus, aStanding) } });
}

} // namespace cuminslip::program
