#include "evacuation/evacuation.h"
#include "forwarding/internal/forwarderstate.h"
#include "forwarding/internal/harmfulrequests.h"
#include "forwarding/internal/statements.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

/// Prompts of at least this length are announced to other instances
/// immediately, since they occupy an engine for longer than the interval
/// between notices.
constexpr auto kUrgentTokens = std::int64_t{ 25000 };

/// Returns the work of this instance by group of the engines.
auto
OwnShares(const Forwarder& aForwarder)
  -> std::map<LoadGroup, std::vector<EngineShare>>
{
  auto engines = std::map<EndpointId, LoadGroup>{};
  for (const auto& [id, flight] : aForwarder.mFlights) {
    for (const auto& it : flight->mAttempt.mWork) {
      engines.emplace(it.mEngine, it.mGroup);
    }
  }
  auto shares = std::map<LoadGroup, std::vector<EngineShare>>{};
  for (const auto& [engine, group] : engines) {
    shares[group].push_back(
      { Checksum(engine.mValue), OwnWorkOn(aForwarder, engine) });
  }
  return shares;
}

auto
SendToGroup(const Forwarder& aForwarder,
            const LoadGroup& aGroup,
            const std::string& aBytes) -> void
{
  const auto it = aForwarder.mMembers.find(aGroup);
  if (it == aForwarder.mMembers.end()) {
    return;
  }
  for (const auto& address : it->second) {
    if (address != aForwarder.mSettings.mPeerAddress) {
      aForwarder.mPorts.mSendNotice(address, aBytes);
    }
  }
}

/// Returns a sequence number that increases also across restarts of this
/// instance.
auto
NextSequence(Forwarder& aForwarder) -> std::uint64_t
{
  constexpr auto kNoticesPerMilli = std::uint64_t{ 1000 };
  const auto first = aForwarder.mSettings.mIncarnation * kNoticesPerMilli;
  aForwarder.mNoticeSequence = std::max(aForwarder.mNoticeSequence, first) + 1;
  return aForwarder.mNoticeSequence;
}

/// Returns the known work on the engines of this instance's group.
auto
SummarizeGroup(const Forwarder& aForwarder) -> std::vector<EngineShare>
{
  auto shares = std::vector<EngineShare>{};
  for (const auto& [id, entry] : aForwarder.mView.mEntries) {
    if (GroupOfEngine(aForwarder, entry.mNotice) != aForwarder.mOwnGroup) {
      continue;
    }
    const auto work = WorkOn(aForwarder, id);
    if (work != EngineWork{}) {
      shares.push_back({ Checksum(id.mValue), work });
    }
  }
  return shares;
}

/// Sends the load of the own group to some instances of each other group. Every
/// instance there gets it from one instance of this group.
auto
SendSummary(Forwarder& aForwarder) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  const auto isDue =
    now >= aForwarder.mSummarySentAt + aForwarder.mSettings.mSummaryInterval;
  const auto own = aForwarder.mMembers.find(aForwarder.mOwnGroup);
  if (aForwarder.mMembers.size() < 2 || !isDue ||
      own == aForwarder.mMembers.end()) {
    return;
  }
  aForwarder.mSummarySentAt = now;
  const auto& members = own->second;
  const auto rank = static_cast<std::size_t>(
    std::find(
      members.begin(), members.end(), aForwarder.mSettings.mPeerAddress) -
    members.begin());
  const auto bytes = EncodeLoadNotice({ aForwarder.mSettings.mPeerAddress,
                                        NextSequence(aForwarder),
                                        SummarizeGroup(aForwarder),
                                        true,
                                        ReportStatements(aForwarder),
                                        ReportSuspects(aForwarder),
                                        ReportEnds(aForwarder) });
  for (const auto& [group, others] : aForwarder.mMembers) {
    if (group == aForwarder.mOwnGroup) {
      continue;
    }
    for (auto i = rank; i < others.size(); i += members.size()) {
      aForwarder.mPorts.mSendNotice(others[i], bytes);
    }
  }
}

auto
ApplySummary(Forwarder& aForwarder, const LoadNotice& aNotice) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& it : aNotice.mShares) {
    aForwarder.mSummaries[it.mEngine] = { now, it.mWork };
  }
  std::erase_if(aForwarder.mSummaries, [&](const auto& aItem) {
    return now - aItem.second.mHeard > aForwarder.mSettings.mMaxNoticeAge;
  });
}

auto
RemoveShares(Forwarder& aForwarder, const RemoteLoad& aRemote) -> void
{
  for (const auto engine : aRemote.mEngines) {
    const auto it = aForwarder.mRemoteShares.find(engine);
    // NOTE: a notice may name an engine twice.
    if (it == aForwarder.mRemoteShares.end()) {
      continue;
    }
    std::erase_if(it->second, [&](const auto& aShare) {
      return aShare.mSource == &aRemote;
    });
    if (it->second.empty()) {
      aForwarder.mRemoteShares.erase(it);
    }
  }
}

} // namespace

auto
GroupOfEngine(const Forwarder& aForwarder,
              const directory::EndpointNotice& aEngine) -> LoadGroup
{
  return GroupOf(
    aForwarder.mGroups, aEngine.mFailureDomain, Checksum(aEngine.mId.mValue));
}

auto
GroupSize(const Forwarder& aForwarder, const LoadGroup& aGroup) -> std::size_t
{
  const auto it = aForwarder.mMembers.find(aGroup);
  return it == aForwarder.mMembers.end()
           ? 1
           : std::max<std::size_t>(it->second.size(), 1);
}

auto
RefreshGroups(Forwarder& aForwarder) -> void
{
  auto domains = std::vector<FailureDomainId>{};
  for (const auto& it : aForwarder.mEntries) {
    domains.push_back(it.mFailureDomain);
  }
  aForwarder.mDivision =
    DivideFleet(domains, aForwarder.mDivision, aForwarder.mSettings.mGroups);
  auto groups =
    WithoutDomains(aForwarder.mDivision, [&](const FailureDomainId& aDomain) {
      return evacuation::IsEvacuated(aForwarder.mEvacuations, aDomain);
    });
  if (groups != aForwarder.mGroups) {
    aForwarder.mSummaries.clear();
    LogEvent(kLoadGroupsEvent,
             { { "instances", aForwarder.mEntries.size() },
               { "domains", groups.mParts.size() },
               { "former_domains", aForwarder.mGroups.mParts.size() } });
  }
  aForwarder.mGroups = std::move(groups);
  aForwarder.mOwnGroup = GroupOf(aForwarder.mGroups,
                                 aForwarder.mSettings.mFailureDomain,
                                 Checksum(aForwarder.mSettings.mPeerAddress));
  aForwarder.mMembers.clear();
  for (const auto& it : aForwarder.mEntries) {
    const auto group =
      GroupOf(aForwarder.mGroups, it.mFailureDomain, Checksum(it.mPeerAddress));
    aForwarder.mMembers[group].push_back(it.mPeerAddress);
  }
}

auto
SetEntries(Forwarder& aForwarder,
           std::vector<directory::EntryInstance> aEntries) -> void
{
  aForwarder.mEntries = std::move(aEntries);
  RefreshRoster(aForwarder);
  RefreshGroups(aForwarder);
}

auto
SendLoadNotice(Forwarder& aForwarder, bool aIsUrgent) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  const auto interval = aForwarder.mSettings.mNoticeIntervalPerInstance *
                        GroupSize(aForwarder, aForwarder.mOwnGroup);
  const auto isDue = aIsUrgent || now >= aForwarder.mNoticeSentAt + interval;
  if (!aForwarder.mIsNoticeDue || !isDue) {
    return;
  }
  aForwarder.mIsNoticeDue = false;
  aForwarder.mNoticeSentAt = now;
  auto shares = OwnShares(aForwarder);
  // NOTE: groups that the last notice went to must learn that the work ended.
  for (const auto& it : std::exchange(aForwarder.mNotifiedGroups, {})) {
    shares[it];
  }
  shares[aForwarder.mOwnGroup];
  const auto sequence = NextSequence(aForwarder);
  const auto limits = ReportStatements(aForwarder);
  const auto suspects = TakeDueReports(aForwarder);
  const auto ends =
    suspects.empty() ? std::vector<ReportedEnd>{} : ReportEnds(aForwarder);
  for (const auto& [group, groupShares] : shares) {
    if (group != aForwarder.mOwnGroup && !groupShares.empty()) {
      aForwarder.mNotifiedGroups.insert(group);
    }
    SendToGroup(aForwarder,
                group,
                EncodeLoadNotice({ aForwarder.mSettings.mPeerAddress,
                                   sequence,
                                   groupShares,
                                   false,
                                   limits,
                                   suspects,
                                   ends,
                                   aForwarder.mReach.mIsLost,
                                   group == aForwarder.mOwnGroup
                                     ? SumWaiting(aForwarder)
                                     : std::vector<double>{} }));
  }
}

namespace {

/// Returns true if the engine of the flight's attempt has hardly a free slot.
/// Instances that learn late of its last slots would all take them.
auto
IsEngineNearlyFull(const Forwarder& aForwarder, const Flight& aFlight) -> bool
{
  const auto& rules = aForwarder.mSettings.mDeferral;
  if (!rules || aFlight.mService == nullptr || !aFlight.mService->mEngine) {
    return false;
  }
  const auto& engine = aFlight.mAttempt.mWork.front().mEngine;
  return IsNearlyFull(WorkOn(aForwarder, engine).mStreams,
                      aFlight.mService->mEngine->mSlots,
                      *rules);
}

} // namespace

auto
NoteWorkChanged(Forwarder& aForwarder, const Flight& aFlight) -> void
{
  if (aFlight.mAttempt.mWork.empty()) {
    return;
  }
  const auto prompt = aFlight.mRequest.mPrompt.value_or(PromptFacts{});
  aForwarder.mIsNoticeDue = true;
  const auto isUrgent = prompt.mPromptTokens >= kUrgentTokens ||
                        IsEngineNearlyFull(aForwarder, aFlight);
  SendLoadNotice(aForwarder, isUrgent);
  SchedulePlacement(aForwarder, true);
}

auto
HandleLoadNotice(Forwarder& aForwarder, std::string_view aBytes) -> void
{
  const auto notice =
    CollectOutcome<LoadNotice>([&] { return DecodeLoadNotice(aBytes); });
  if (!notice.mValue) {
    LogEvent(kLoadNoticeUnreadableEvent,
             { { "bytes", aBytes.size() },
               { "findings", FormatFindings(notice.mFindings) } });
    return;
  }
  ApplyReports(
    aForwarder, notice.mValue->mInstance, notice.mValue->mStatements);
  ApplyEnds(aForwarder, notice.mValue->mEnds);
  ApplyEvidence(aForwarder, notice.mValue->mSuspects);
  if (notice.mValue->mIsSummary) {
    ApplySummary(aForwarder, *notice.mValue);
    return;
  }
  auto& remote = aForwarder.mRemote[notice.mValue->mInstance];
  if (notice.mValue->mSequence <= remote.mSequence) {
    return;
  }
  remote.mInstance = notice.mValue->mInstance;
  remote.mSequence = notice.mValue->mSequence;
  remote.mHeard = aForwarder.mPorts.mNow();
  remote.mIsCutOff = notice.mValue->mIsCutOff;
  remote.mWaitingMillis = notice.mValue->mWaitingMillis;
  RemoveShares(aForwarder, remote);
  remote.mEngines.clear();
  for (const auto& it : notice.mValue->mShares) {
    remote.mEngines.push_back(it.mEngine);
    aForwarder.mRemoteShares[it.mEngine].push_back({ &remote, it.mWork });
  }
  SendSummary(aForwarder);
  SchedulePlacement(aForwarder, false);
}

} // namespace cuminslip::forwarding
