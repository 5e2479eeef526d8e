#include "forwarding/internal/forwarderstate.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

/// Work of a prompt from this length on is told to other instances at once: it
/// holds an engine for longer than the pause between notices.
constexpr auto kUrgentTokens = std::int64_t{ 25000 };

auto
OwnShares(const Forwarder& aForwarder) -> std::vector<EngineShare>
{
  auto engines = std::set<EndpointId>{};
  for (const auto& [id, flight] : aForwarder.mFlights) {
    for (const auto& it : flight->mAttempt.mWork) {
      engines.insert(it.mEngine);
    }
  }
  auto shares = std::vector<EngineShare>{};
  for (const auto& it : engines) {
    shares.push_back({ Checksum(it.mValue), OwnWorkOn(aForwarder, it) });
  }
  return shares;
}

/// A sequence that grows also over starts of this instance.
auto
NextSequence(Forwarder& aForwarder) -> std::uint64_t
{
  constexpr auto kNoticesPerMilli = std::uint64_t{ 1000 };
  const auto first = aForwarder.mSettings.mIncarnation * kNoticesPerMilli;
  aForwarder.mNoticeSequence = std::max(aForwarder.mNoticeSequence, first) + 1;
  return aForwarder.mNoticeSequence;
}

} // namespace

auto
SendLoadNotice(Forwarder& aForwarder, bool aIsUrgent) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  const auto interval = aForwarder.mSettings.mNoticeIntervalPerInstance *
                        aForwarder.mEntries.size();
  const auto isDue = aIsUrgent || now >= aForwarder.mNoticeSentAt + interval;
  if (!aForwarder.mIsNoticeDue || !isDue) {
    return;
  }
  aForwarder.mIsNoticeDue = false;
  aForwarder.mNoticeSentAt = now;
  const auto bytes = EncodeLoadNotice({ aForwarder.mSettings.mPeerAddress,
                                        NextSequence(aForwarder),
                                        OwnShares(aForwarder) });
  for (const auto& it : aForwarder.mEntries) {
    if (it != aForwarder.mSettings.mPeerAddress) {
      aForwarder.mPorts.mSendNotice(it, bytes);
    }
  }
}

auto
NoteWorkChanged(Forwarder& aForwarder, const Flight& aFlight) -> void
{
  if (aFlight.mAttempt.mWork.empty()) {
    return;
  }
  const auto prompt = aFlight.mRequest.mPrompt.value_or(PromptFacts{});
  aForwarder.mIsNoticeDue = true;
  SendLoadNotice(aForwarder, prompt.mPromptTokens >= kUrgentTokens);
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
  auto& remote = aForwarder.mRemote[notice.mValue->mInstance];
  if (notice.mValue->mSequence <= remote.mSequence) {
    return;
  }
  remote.mSequence = notice.mValue->mSequence;
  remote.mHeard = aForwarder.mPorts.mNow();
  remote.mWork.clear();
  for (const auto& it : notice.mValue->mShares) {
    remote.mWork[it.mEngine] = it.mWork;
  }
  SchedulePlacement(aForwarder, false);
}

} // namespace cuminslip::forwarding
