#include "control/controlcodec.h"
#include "control/internal/applyparts.h"
#include "control/internal/codecparts.h"

#include <algorithm>

namespace cuminslip {

namespace {

auto
Count(std::size_t aSize) -> unsigned
{
  return static_cast<unsigned>(aSize);
}

auto
WriteTemplate(schema::StoredTemplate::Builder aTo, const StoredTemplate& aFrom)
  -> void
{
  aTo.setAccount(TextFrom(aFrom.mAccount.mValue));
  aTo.setRevision(aFrom.mRevision);
  aTo.setDocument(DataOf(aFrom.mDocument));
  aTo.setVersion(aFrom.mVersion);
}

auto
ReadTemplate(schema::StoredTemplate::Reader aFrom) -> StoredTemplate
{
  return { { TextOf(aFrom.getAccount()) },
           aFrom.getRevision(),
           BytesOf(aFrom.getDocument()),
           aFrom.getVersion() };
}

auto
WriteTemplates(schema::ControlState::Builder aTo, const ControlState& aFrom)
  -> void
{
  auto templates = aTo.initTemplates(Count(aFrom.mTemplates.size()));
  auto n = 0U;
  for (const auto& [account, it] : aFrom.mTemplates) {
    WriteTemplate(templates[n++], it);
  }
  auto count = std::size_t{ 0 };
  for (const auto& [account, versions] : aFrom.mHistory) {
    count += versions.size();
  }
  auto history = aTo.initHistory(Count(count));
  n = 0;
  for (const auto& [account, versions] : aFrom.mHistory) {
    for (const auto& it : versions) {
      WriteTemplate(history[n++], it);
    }
  }
  auto publishes = aTo.initPublishes(Count(aFrom.mPublishes.size()));
  n = 0;
  for (const auto& [key, it] : aFrom.mPublishes) {
    auto to = publishes[n++];
    to.setAccount(TextFrom(key.mAccount.mValue));
    to.setRequest(TextFrom(key.mName));
    to.setFingerprint(it.mFingerprint);
    to.setStatus(static_cast<std::uint8_t>(it.mStatus));
    to.setRevision(it.mRevision);
    to.setClock(it.mClock);
  }
}

auto
WriteRuns(schema::ControlState::Builder aTo, const ControlState& aFrom) -> void
{
  auto runs = aTo.initRuns(Count(aFrom.mRuns.size()));
  auto n = 0U;
  for (const auto& [key, it] : aFrom.mRuns) {
    auto to = runs[n++];
    to.setAccount(TextFrom(key.mAccount.mValue));
    to.setKey(TextFrom(key.mName));
    to.setFingerprint(TextFrom(it.mFingerprint));
    to.setToken(TextFrom(it.mToken));
    to.setState(static_cast<std::uint8_t>(it.mState));
    to.setAnswer(DataOf(it.mAnswer));
    to.setClaimedAt(it.mClaimedAt);
    to.setUnknownAt(it.mUnknownAt);
  }
  auto leases = aTo.initLeases(Count(aFrom.mLeases.size()));
  n = 0;
  for (const auto& [name, it] : aFrom.mLeases) {
    auto to = leases[n++];
    to.setName(TextFrom(name));
    to.setHolder(TextFrom(it.mHolder));
    to.setFencing(it.mFencing);
    to.setExpiresAt(it.mExpiresAt);
  }
}

auto
WriteWorks(schema::ControlState::Builder aTo, const ControlState& aFrom) -> void
{
  auto works = aTo.initWorks(Count(aFrom.mWorks.size()));
  auto n = 0U;
  for (const auto& [key, it] : aFrom.mWorks) {
    auto to = works[n++];
    to.setAccount(TextFrom(key.mAccount.mValue));
    to.setWork(TextFrom(key.mName));
    to.setFingerprint(TextFrom(it.mFingerprint));
    to.setTotalBytes(it.mTotalBytes);
    to.setRequest(DataOf(it.mRequest));
    to.setToken(TextFrom(it.mToken));
    to.setLeaseUntil(it.mLeaseUntil);
    to.setResultBytes(it.mResultBytes);
    to.setResult(DataOf(it.mResult));
    to.setOrder(it.mOrder);
    to.setExpiresAt(it.mExpiresAt);
    to.setIsFinished(it.mIsFinished);
  }
}

auto
ReadTemplates(schema::ControlState::Reader aFrom, ControlState& aTo) -> void
{
  for (const auto it : aFrom.getTemplates()) {
    auto stored = ReadTemplate(it);
    const auto account = stored.mAccount;
    aTo.mTemplates[account] = std::move(stored);
  }
  for (const auto it : aFrom.getHistory()) {
    auto stored = ReadTemplate(it);
    auto& versions = aTo.mHistory[stored.mAccount];
    versions.push_back(std::move(stored));
  }
  for (const auto it : aFrom.getPublishes()) {
    RequireValid(it.getStatus() <= static_cast<int>(CommandStatus::Invalid),
                 "unknown status of a change");
    const auto key =
      AccountKey{ { TextOf(it.getAccount()) }, TextOf(it.getRequest()) };
    aTo.mPublishes[key] = { it.getFingerprint(),
                            static_cast<CommandStatus>(it.getStatus()),
                            it.getRevision(),
                            it.getClock() };
    aTo.mPublishOrder.insert({ it.getClock(), key });
  }
}

auto
ReadRuns(schema::ControlState::Reader aFrom, ControlState& aTo) -> void
{
  for (const auto it : aFrom.getRuns()) {
    RequireValid(it.getState() <= static_cast<int>(RunState::Unknown),
                 "unknown state of a run");
    const auto key =
      AccountKey{ { TextOf(it.getAccount()) }, TextOf(it.getKey()) };
    auto answer = BytesOf(it.getAnswer());
    aTo.mAnswerBytes += answer.size();
    aTo.mRuns[key] = { TextOf(it.getFingerprint()),
                       TextOf(it.getToken()),
                       static_cast<RunState>(it.getState()),
                       std::move(answer),
                       it.getClaimedAt(),
                       it.getUnknownAt() };
    aTo.mRunOrder.insert({ it.getClaimedAt(), key });
  }
  for (const auto it : aFrom.getLeases()) {
    aTo.mLeases[TextOf(it.getName())] = { TextOf(it.getHolder()),
                                          it.getFencing(),
                                          it.getExpiresAt() };
  }
}

auto
ReadWorks(schema::ControlState::Reader aFrom, ControlState& aTo) -> void
{
  for (const auto it : aFrom.getWorks()) {
    auto work = WorkRecord{ TextOf(it.getFingerprint()),
                            it.getTotalBytes(),
                            BytesOf(it.getRequest()),
                            TextOf(it.getToken()),
                            it.getLeaseUntil(),
                            it.getResultBytes(),
                            BytesOf(it.getResult()),
                            it.getIsFinished(),
                            it.getOrder(),
                            it.getExpiresAt() };
    aTo.mWorkBytes += WorkBytes(work);
    aTo.mNextWorkExpiry = aTo.mWorks.empty()
                            ? work.mExpiresAt
                            : std::min(aTo.mNextWorkExpiry, work.mExpiresAt);
    aTo.mWorks[{ { TextOf(it.getAccount()) }, TextOf(it.getWork()) }] =
      std::move(work);
  }
}

} // namespace

auto
EncodeControlState(const ControlState& aState) -> std::string
{
  auto message = capnp::MallocMessageBuilder();
  auto root = message.initRoot<schema::ControlState>();
  root.setApplied(aState.mApplied);
  root.setClock(aState.mClock);
  WriteTemplates(root, aState);
  WriteRuns(root, aState);
  WriteWorks(root, aState);
  return BytesOfMessage(message);
}

auto
DecodeControlState(std::string_view aBytes) -> leaf::result<ControlState>
{
  return ReadMessage<schema::ControlState, ControlState>(
    aBytes, [](schema::ControlState::Reader aItem) {
      auto state = ControlState{};
      state.mApplied = aItem.getApplied();
      state.mClock = aItem.getClock();
      ReadTemplates(aItem, state);
      ReadRuns(aItem, state);
      ReadWorks(aItem, state);
      return state;
    });
}

} // namespace cuminslip
