#include "peers/internal/revisionreports.h"

#include "control/controlcodec.h"
#include "peers/internal/rpcparts.h"

#include <algorithm>

namespace cuminslip {

namespace {

/// Longer than a pull may stay open.
constexpr auto kReachableAge = Millis(10000);
constexpr auto kForgetAfter = Seconds(24 * 3600);
constexpr auto kMaxSubscribers = std::size_t{ 4096 };
constexpr auto kReportLimit = Millis(1000);

using ReportResponse = capnp::Response<schema::Session::ReportResults>;

/// Keeps the report that is the most recent for each instance.
auto
MergeInstance(RevisionReport& aReport, const InstanceRevision& aInstance)
  -> void
{
  const auto it = std::find_if(aReport.mInstances.begin(),
                               aReport.mInstances.end(),
                               [&](const auto& aKnown) {
                                 return aKnown.mInstance == aInstance.mInstance;
                               });
  if (it == aReport.mInstances.end()) {
    aReport.mInstances.push_back(aInstance);
    return;
  }
  if (aInstance.mAge < it->mAge) {
    *it = aInstance;
  }
}

auto
MergeResponse(RevisionReport& aReport, const ReportResponse& aResponse) -> void
{
  for (const auto it : aResponse.getInstances()) {
    const auto age = Millis(it.getAgeMillis());
    MergeInstance(aReport,
                  { { FromText(it.getInstance()) },
                    { FromText(it.getFailureDomain()) },
                    it.getRevision(),
                    age < kReachableAge,
                    age });
  }
  aReport.mAccepted = std::max(aReport.mAccepted, aResponse.getAccepted());
  if (!aResponse.getHasQuorum()) {
    return;
  }
  aReport.mHasQuorum = true;
  const auto leader = FromText(aResponse.getLeader());
  if (!leader.empty()) {
    aReport.mLeader = { leader };
  }
  auto membership = CollectOutcome<Membership>(
    [&] { return DecodeMembership(FromData(aResponse.getMembership())); });
  if (membership.mValue && !membership.mValue->mMembers.empty()) {
    aReport.mMembership = std::move(*membership.mValue);
  }
}

auto
AddSilent(const PeerContext& aContext, RevisionReport& aReport) -> void
{
  const auto age =
    std::max(MillisBetween(aContext.mStarted, aContext.mNow()), kReachableAge);
  const auto add = [&](const PeerInstance& aItem) {
    MergeInstance(aReport,
                  { aItem.mInstance, aItem.mFailureDomain, 0, false, age });
  };
  const auto& settings = aContext.mSettings;
  std::for_each(
    settings.mControlInstances.begin(), settings.mControlInstances.end(), add);
  std::for_each(
    settings.mDomainInstances.begin(), settings.mDomainInstances.end(), add);
  std::sort(aReport.mInstances.begin(),
            aReport.mInstances.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mInstance < aRight.mInstance;
            });
}

} // namespace

auto
NoteSubscriber(PeerContext& aContext,
               const InstanceId& aInstance,
               const FailureDomainId& aDomain,
               Revision aRevision) -> void
{
  const auto now = aContext.mNow();
  if (!aContext.mSubscribers.contains(aInstance) &&
      aContext.mSubscribers.size() >= kMaxSubscribers) {
    std::erase_if(aContext.mSubscribers, [&](const auto& aItem) {
      return aItem.second.mPulls == 0 &&
             aItem.second.mHeard + kForgetAfter < now;
    });
    if (aContext.mSubscribers.size() >= kMaxSubscribers) {
      return;
    }
  }
  auto& subscriber = aContext.mSubscribers[aInstance];
  subscriber.mFailureDomain = aDomain;
  subscriber.mRevision = aRevision;
  subscriber.mHeard = now;
}

auto
OwnReport(const PeerContext& aContext) -> RevisionReport
{
  auto report = RevisionReport{};
  const auto now = aContext.mNow();
  report.mAccepted = aContext.mCache.mRevision;
  report.mHasQuorum = !IsIsolatedNow(aContext);
  report.mInstances.push_back({ aContext.mSettings.mInstance,
                                aContext.mSettings.mFailureDomain,
                                aContext.mCache.mRevision,
                                true,
                                Millis(0) });
  for (const auto& [instance, it] : aContext.mSubscribers) {
    const auto age = MillisBetween(it.mHeard, now);
    report.mInstances.push_back(
      { instance, it.mFailureDomain, it.mRevision, age < kReachableAge, age });
  }
  if (aContext.mControl) {
    report.mAccepted =
      std::max(report.mAccepted, TemplateRevision(aContext.mControl->State()));
    report.mLeader = aContext.mControl->LeaderInstance();
    report.mMembership = CurrentMembership(aContext.mControl->Core());
  }
  return report;
}

auto
CollectReports(PeerContext& aContext,
               const OnceReplyPointer<RevisionReport>& aReply) -> void
{
  auto report = std::make_shared<RevisionReport>(OwnReport(aContext));
  auto calls = kj::Vector<kj::Promise<void>>();
  for (const auto& address : OtherControls(aContext)) {
    kj::Promise<ReportResponse> sent =
      aContext.mLinks.SessionAt(address).reportRequest().send();
    calls.add(aContext.mLinks.WithLimit(address, kReportLimit, kj::mv(sent))
                .then(
                  [report](ReportResponse aResponse) {
                    MergeResponse(*report, aResponse);
                  },
                  [](kj::Exception&&) {}));
  }
  aContext.mTasks.add(
    kj::joinPromises(calls.releaseAsArray()).then([&aContext, report, aReply] {
      AddSilent(aContext, *report);
      aReply->Send(*report);
    }));
}

} // namespace cuminslip
