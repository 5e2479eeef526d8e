#include "endpoints/internal/membershipcodec.h"
#include "endpoints/internal/membershipcolumns.h"

#include <membership.capnp.h>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace cuminslip::endpoints {

namespace {

auto
WriteLoads(const std::vector<LoadRow>& aRows, schema::LoadTable::Builder aTable)
  -> void
{
  const auto n = static_cast<unsigned>(aRows.size());
  auto keys = aTable.initKeys(n);
  auto sequences = aTable.initSequences(n);
  auto ages = aTable.initAges(n);
  auto reportAges = aTable.initReportAges(n);
  auto running = aTable.initRunning(n);
  auto waiting = aTable.initWaiting(n);
  auto queued = aTable.initQueuedPrefill(n);
  auto freeKv = aTable.initFreeKv(n);
  auto prefill = aTable.initPrefillRates(n);
  auto decode = aTable.initDecodeRates(n);
  auto rounds = aTable.initRounds(n);
  for (auto i = 0U; i < n; ++i) {
    const auto& row = aRows[i];
    const auto& load = row.mLoad;
    keys.set(i, row.mKey);
    sequences.set(i, row.mSequence);
    ages.set(i, EncodeLoadAge(row.mAge));
    reportAges.set(i, EncodeLoadAge(row.mLoadAge));
    running.set(i, Narrow<std::uint16_t>(load.mRunningStreams));
    waiting.set(i, Narrow<std::uint16_t>(load.mWaitingStreams));
    queued.set(i, EncodeQueued(load.mQueuedPrefillTokens));
    freeKv.set(i, EncodeFree(load.mFreeKvTokens));
    prefill.set(i, EncodeRate(load.mPrefillTokensPerSecond));
    decode.set(i, EncodeRate(load.mDecodeTokensPerSecond));
    rounds.set(i, row.mRounds);
  }
}

auto
WriteBeats(const std::vector<HeartbeatRow>& aRows,
           schema::BeatTable::Builder aTable) -> void
{
  const auto n = static_cast<unsigned>(aRows.size());
  auto keys = aTable.initKeys(n);
  auto beats = aTable.initBeats(n);
  auto rounds = aTable.initRounds(n);
  for (auto i = 0U; i < n; ++i) {
    keys.set(i, aRows[i].mKey);
    beats.set(i, aRows[i].mHeartbeat);
    rounds.set(i, aRows[i].mRounds);
  }
}

auto
WriteInstance(const InstanceRecord& aRecord,
              schema::InstanceRecord::Builder aBuilder) -> void
{
  aBuilder.setId(aRecord.mId.mValue);
  aBuilder.setIncarnation(aRecord.mIncarnation);
  aBuilder.setAddress(aRecord.mAddress);
  aBuilder.setState(static_cast<std::uint8_t>(aRecord.mState));
}

auto
EncodeFencing(std::optional<bool> aChecksFencing) -> std::uint8_t
{
  return aChecksFencing ? (*aChecksFencing ? 2 : 1) : 0;
}

auto
WriteModel(const AnnouncedModel& aModel, schema::ModelRecord::Builder aBuilder)
  -> void
{
  aBuilder.setModel(aModel.mModel.mValue);
  aBuilder.setVersion(aModel.mVersion.mValue);
  auto adapters =
    aBuilder.initAdapters(static_cast<unsigned>(aModel.mAdapters.size()));
  for (auto i = 0U; i < adapters.size(); ++i) {
    adapters.set(i, aModel.mAdapters[i]);
  }
}

auto
WriteEndpoint(const EndpointRecord& aRecord,
              schema::EndpointRecord::Builder aBuilder) -> void
{
  const auto& identity = aRecord.mIdentity;
  aBuilder.setId(identity.mEndpoint.mValue);
  aBuilder.setIncarnation(identity.mIncarnation);
  aBuilder.setSequence(identity.mSequence);
  aBuilder.setKind(static_cast<std::uint8_t>(identity.mKind));
  aBuilder.setService(identity.mService);
  aBuilder.setAddress(identity.mAddress);
  aBuilder.setFailureDomain(identity.mFailureDomain.mValue);
  aBuilder.setRegion(identity.mRegion.mValue);
  aBuilder.setIsLeaving(identity.mIsLeaving);
  aBuilder.setIsDrained(aRecord.mIsDrained);
  aBuilder.setDrainVersion(aRecord.mDrainVersion);
  aBuilder.setIntervalMillis(Narrow<std::uint16_t>(identity.mInterval.count()));
  aBuilder.setRole(static_cast<std::uint8_t>(identity.mRole));
  aBuilder.setFencing(EncodeFencing(identity.mChecksFencing));
  aBuilder.setTotalKvTokens(
    Narrow<std::uint32_t>(identity.mLoad.mTotalKvTokens));
  aBuilder.setBatchSlots(Narrow<std::uint32_t>(identity.mLoad.mBatchSlots));
  aBuilder.setAge(EncodeAge(aRecord.mAge));
  auto models =
    aBuilder.initModels(static_cast<unsigned>(identity.mModels.size()));
  for (auto i = 0U; i < models.size(); ++i) {
    WriteModel(identity.mModels[i], models[i]);
  }
}

auto
WriteMessage(const MembershipMessage& aMessage, schema::Message::Builder aRoot)
  -> void
{
  aRoot.setFailureDomain(aMessage.mFailureDomain);
  aRoot.setSender(aMessage.mSender);
  aRoot.setRound(aMessage.mRound);
  aRoot.setDigest(aMessage.mDigest);
  aRoot.setWantsRecords(aMessage.mWantsRecords);
  if (!aMessage.mLoads.empty()) {
    WriteLoads(aMessage.mLoads, aRoot.initLoads());
  }
  if (!aMessage.mHeartbeats.empty()) {
    WriteBeats(aMessage.mHeartbeats, aRoot.initBeats());
  }
  auto instances =
    aRoot.initInstances(static_cast<unsigned>(aMessage.mInstances.size()));
  for (auto i = 0U; i < instances.size(); ++i) {
    WriteInstance(aMessage.mInstances[i], instances[i]);
  }
  auto endpoints =
    aRoot.initEndpoints(static_cast<unsigned>(aMessage.mEndpoints.size()));
  for (auto i = 0U; i < endpoints.size(); ++i) {
    WriteEndpoint(aMessage.mEndpoints[i], endpoints[i]);
  }
  auto stale =
    aRoot.initStaleKeys(static_cast<unsigned>(aMessage.mStaleKeys.size()));
  for (auto i = 0U; i < stale.size(); ++i) {
    stale.set(i, aMessage.mStaleKeys[i]);
  }
  const auto n = static_cast<unsigned>(aMessage.mKnown.size());
  auto keys = aRoot.initKnownKeys(n);
  auto sums = aRoot.initKnownSums(n);
  for (auto i = 0U; i < n; ++i) {
    keys.set(i, aMessage.mKnown[i].mKey);
    sums.set(i, aMessage.mKnown[i].mFingerprint);
  }
}

} // namespace

auto
EncodeMembershipMessage(const MembershipMessage& aMessage) -> std::string
{
  auto builder = capnp::MallocMessageBuilder();
  WriteMessage(aMessage, builder.initRoot<schema::Message>());
  auto stream = kj::VectorOutputStream();
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray().asChars();
  return { bytes.begin(), bytes.size() };
}

} // namespace cuminslip::endpoints
