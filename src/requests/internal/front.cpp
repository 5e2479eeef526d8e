#include "requests/front.h"

#include "base/digest.h"
#include "endpoints/protocol.h"
#include "policy/decisionlog.h"
#include "policy/prefixhashes.h"
#include "requests/internal/delivery.h"
#include "requests/internal/dispatch.h"
#include "requests/internal/filters.h"
#include "requests/internal/holdings.h"
#include "requests/internal/ordering.h"
#include "requests/internal/sharing.h"
#include "requests/types/requestsevents.h"

#include <algorithm>
#include <array>

namespace cuminslip::requests {

namespace {

using Filter = auto(*)(Front&, Request&) -> FilterResult;

constexpr auto kFilters =
  std::array<Filter, 8>{ IdentifyCaller,  CheckReadiness, ParseRequest,
                         ClassifyRequest, CheckIsolation, AdmitRequest,
                         ClaimRun,        EnterQueue };
/// Position of AdmitRequest. Later filters run for admitted requests only.
constexpr auto kAdmitPosition = std::size_t{ 5 };

/// The views contain ages of reports, which grow between announcements.
/// Rebuilding the views at this interval bounds the error of the ages.
constexpr auto kViewRefreshInterval = Millis(200);
constexpr auto kCallerCheckInterval = Millis(500);
constexpr auto kStatusBadRequest = 400;

auto
OnDeadline(Front& aFront, const RequestId& aId) -> void
{
  auto* request = FindRequest(aFront, aId);
  if (request == nullptr) {
    return;
  }
  const auto isOpen = request->mAttempt.has_value();
  const auto hasRun = request->mSequencer.mNext > 0;
  const auto ran = hasRun ? Ran::Yes : isOpen ? Ran::Unknown : request->mRan;
  RefuseRequest(aFront,
                *request,
                { RefusalType::TimedOut, "the deadline has passed", ran });
  PumpQueue(aFront);
}

auto
StartDeadline(Front& aFront, Request& aRequest) -> void
{
  const auto left = aRequest.mFacts.mDeadline - aFront.mPorts.mNow();
  aRequest.mDeadlineTimer = aFront.mPorts.mTimers.mStart(
    left, [&aFront, id = aRequest.mFacts.mId] { OnDeadline(aFront, id); });
}

auto
CheckCallers(Front& aFront) -> void
{
  auto gone = std::vector<RequestId>{};
  for (const auto& [id, request] : aFront.mRequests) {
    // NOTE: a recorded call continues without its caller, so that a resend can
    // get the outcome.
    if (request->mClaim && request->mClaim->mIsHeld && request->mAttempt) {
      continue;
    }
    const auto isSlow =
      request->mCaller.mUnsentBytes() > aFront.mSettings.mMaxUnsentBytes;
    if (isSlow || request->mCaller.mIsClosed()) {
      gone.push_back(id);
    }
  }
  for (const auto& id : gone) {
    if (auto* request = FindRequest(aFront, id)) {
      DropRequest(aFront, *request);
    }
  }
}

auto
UpdateOverloadLevel(Front& aFront) -> void
{
  const auto now = aFront.mPorts.mNow();
  const auto oldest = OldestWait(aFront.mQueue, now);
  const auto hasChanged =
    UpdateOverload(aFront.mOverload, aFront.mSettings.mOverload, oldest, now);
  if (hasChanged) {
    LogOverload(aFront.mOverload.mLevel, oldest);
  }
}

auto
ToPolicyEvents(const endpoints::CacheEvents& aEvents) -> std::vector<CacheEvent>
{
  auto events = std::vector<CacheEvent>{};
  for (const auto& event : aEvents.mEvents) {
    const auto prefix = ParsePrefixHash(event.mPrefix);
    if (!prefix) {
      continue;
    }
    const auto kind = event.mKind == endpoints::CacheEventKind::Stored
                        ? CacheEventKind::Stored
                        : CacheEventKind::Evicted;
    events.push_back({ event.mSequence, kind, *prefix, event.mTokens });
  }
  return events;
}

auto
CountReleases(const endpoints::Ledger& aLedger) -> std::int64_t
{
  return std::count_if(
    aLedger.mEntries.begin(), aLedger.mEntries.end(), [](const auto& aItem) {
      return aItem.second.mReleaseReason != endpoints::ReleaseReason::None;
    });
}

auto
ProcessAnnouncement(Front& aFront, const endpoints::Announcement& aAnnouncement)
  -> endpoints::AnnounceAnswer
{
  const auto now = aFront.mPorts.mNow();
  ++aFront.mCounters.mAnnouncements;
  const auto outcome =
    endpoints::ApplyAnnouncement(aFront.mFleet.mRegistry, aAnnouncement, now);
  for (const auto& change : outcome.mChanges) {
    endpoints::LogEndpointChange(change);
  }
  if (outcome.mIsNews) {
    ShareEndpointState(aFront, aAnnouncement.mEndpoint);
    const auto events = ToPolicyEvents(aAnnouncement.mCacheEvents);
    ApplyCacheEvents(aFront.mPrefixes,
                     aAnnouncement.mEndpoint,
                     aAnnouncement.mIncarnation,
                     events,
                     outcome.mAnswer.mResendCacheEventsFrom.has_value(),
                     now);
    if (outcome.mChanges.empty()) {
      RefreshView(aFront.mFleet, aAnnouncement.mEndpoint, now);
    } else {
      MarkStale(aFront.mFleet);
    }
    PumpQueue(aFront);
  }
  return outcome.mAnswer;
}

} // namespace

auto
FrontDeleter::operator()(Front* aFront) const -> void
{
  delete aFront;
}

auto
CreateFront(FrontSettings aSettings, FrontPorts aPorts, std::uint64_t aSeed)
  -> FrontPtr
{
  auto front = FrontPtr(new Front);
  front->mSettings = std::move(aSettings);
  front->mPorts = std::move(aPorts);
  front->mRandom.seed(aSeed);
  StartSharing(*front);
  StartHoldings(*front);
  StartOrdering(*front);
  front->mQueue.mSettings.mMaxRequests = front->mSettings.mMaxWaitingRequests;
  front->mQueue.mSettings.mMaxBytes = front->mSettings.mMaxWaitingBytes;
  return front;
}

auto
FindRequest(Front& aFront, const RequestId& aId) -> Request*
{
  const auto it = aFront.mRequests.find(aId);
  return it == aFront.mRequests.end() ? nullptr : it->second.get();
}

auto
MakeUniqueId(Front& aFront, std::string_view aPrefix) -> std::string
{
  return std::string(aPrefix) + "-" + aFront.mSettings.mInstance.mValue + "-" +
         std::to_string(aFront.mSettings.mIncarnation) + "-" +
         std::to_string(aFront.mNextNumber++);
}

auto
AdvanceRequest(Front& aFront, Request& aRequest) -> void
{
  while (aRequest.mNextFilter < kFilters.size()) {
    const auto position = aRequest.mNextFilter++;
    const auto result = kFilters.at(position)(aFront, aRequest);
    if (result == FilterResult::Done) {
      return;
    }
    if (position == kAdmitPosition) {
      StartDeadline(aFront, aRequest);
    }
    if (result == FilterResult::Wait) {
      break;
    }
  }
  if (aRequest.mStage == Stage::Waiting) {
    PumpQueue(aFront);
  }
}

auto
HandleCallerRequest(Front& aFront,
                    const wire::HttpRequest& aRequest,
                    CallerPort aCaller) -> void
{
  ++aFront.mCounters.mReceived;
  auto request = std::make_unique<Request>();
  request->mFacts.mId = RequestId{ MakeUniqueId(aFront, "r") };
  request->mFacts.mArrived = aFront.mPorts.mNow();
  request->mHttp = aRequest;
  request->mCaller = std::move(aCaller);
  auto& open = *request;
  aFront.mRequests.emplace(open.mFacts.mId, std::move(request));
  AdvanceRequest(aFront, open);
}

auto
HandleAnnouncement(Front& aFront, std::string_view aBody) -> wire::HttpResponse
{
  const auto outcome = CollectOutcome<endpoints::Announcement>(
    [&] { return endpoints::DecodeAnnouncement(aBody); });
  if (!outcome.mValue) {
    const auto findings = FormatFindings(outcome.mFindings);
    LogEvent(kAnnouncementRefusedEvent, { { "findings", findings } });
    return { kStatusBadRequest,
             { { "content-type", "text/plain" } },
             findings };
  }
  return wire::JsonResponse(200,
                            endpoints::EncodeAnnounceAnswer(
                              ProcessAnnouncement(aFront, *outcome.mValue)));
}

auto
ApplyTemplates(Front& aFront, const std::vector<TemplateInForce>& aTemplates)
  -> void
{
  for (const auto& item : aTemplates) {
    auto& held = aFront.mTemplates[item.mTemplate.mAccount];
    if (held && held->mRevision >= item.mRevision) {
      continue;
    }
    held = std::make_shared<const TemplateInForce>(item);
    LogEvent(kTemplatesAppliedEvent,
             { { "account", item.mTemplate.mAccount.mValue },
               { "revision", item.mRevision } });
  }
  PumpQueue(aFront);
}

auto
TickFront(Front& aFront) -> void
{
  const auto now = aFront.mPorts.mNow();
  aFront.mEnded.clear();
  for (const auto& change :
       endpoints::TickRegistry(aFront.mFleet.mRegistry, now)) {
    endpoints::LogEndpointChange(change);
  }
  TickSharing(aFront);
  if (now >= aFront.mNextViewRefresh) {
    aFront.mNextViewRefresh = now + kViewRefreshInterval;
    MarkStale(aFront.mFleet);
  }
  RefreshViews(aFront.mFleet, aFront.mSettings.mChoice.mLanes, now);
  UpdateFleetHealth(
    aFront.mFleet, aFront.mSettings.mHealth, now, aFront.mRandom);
  UpdateOverloadLevel(aFront);
  FailSilentAttempts(aFront);
  TickHoldings(aFront);
  TickOrdering(aFront);
  if (now >= aFront.mNextCallerCheck) {
    aFront.mNextCallerCheck = now + kCallerCheckInterval;
    CheckCallers(aFront);
  }
  PumpQueue(aFront);
}

auto
BeginStop(Front& aFront) -> void
{
  aFront.mIsStopping = true;
}

auto
AbandonRequests(Front& aFront) -> void
{
  auto ids = std::vector<RequestId>{};
  for (const auto& [id, request] : aFront.mRequests) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    auto* request = FindRequest(aFront, id);
    if (request == nullptr) {
      continue;
    }
    const auto ran = request->mAttempt ? Ran::Unknown : request->mRan;
    RefuseRequest(aFront,
                  *request,
                  { RefusalType::Stopping, "this instance has stopped", ran });
  }
}

auto
IsIdle(const Front& aFront) -> bool
{
  return aFront.mRequests.empty() && aFront.mLedger.mEntries.empty();
}

auto
DrainEndpoint(Front& aFront, const EndpointId& aEndpoint) -> bool
{
  if (!aFront.mFleet.mRegistry.mEntries.contains(aEndpoint)) {
    return false;
  }
  const auto changes =
    endpoints::SetDrained(aFront.mFleet.mRegistry, aEndpoint, true);
  for (const auto& change : changes) {
    endpoints::LogEndpointChange(change);
  }
  ShareEndpointState(aFront, aEndpoint);
  MarkStale(aFront.mFleet);
  return true;
}

auto
GetPlannedOrders(const Front& aFront)
  -> const std::vector<placement::PlannedOrder>&
{
  return aFront.mOrderer.mPlan;
}

auto
GetFrontStatus(const Front& aFront) -> FrontStatus
{
  const auto now = aFront.mPorts.mNow();
  auto standing = FrontStatus{};
  standing.mCounters = aFront.mCounters;
  standing.mWaiting = static_cast<std::int64_t>(aFront.mQueue.mEntries.size());
  for (const auto& [id, request] : aFront.mRequests) {
    standing.mRunning += request->mAttempt ? 1 : 0;
  }
  standing.mOpenCancels = CountReleases(aFront.mLedger);
  standing.mOldestWait =
    std::chrono::duration_cast<Millis>(OldestWait(aFront.mQueue, now));
  standing.mOverloadLevel = aFront.mOverload.mLevel;
  standing.mEndpoints = aFront.mFleet.mViews;
  return standing;
}

} // namespace cuminslip::requests
