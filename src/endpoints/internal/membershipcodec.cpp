#include "endpoints/internal/membershipcodec.h"

#include "endpoints/protocol.h"

#include <membership.capnp.h>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace cuminslip::endpoints {

namespace {

constexpr auto kAgeUnit = Millis(10);
constexpr auto kLoadAgeUnit = Millis(50);
constexpr double kSteps = 8.0;
constexpr std::uint64_t kMaxWords = std::uint64_t{ 4 } * kMaxMembershipBytes;
constexpr int kMaxNesting = 16;
constexpr std::size_t kMaxRows = 4096;

template<class T>
auto
Narrow(std::int64_t aValue) -> T
{
  constexpr auto kLimit = std::int64_t{ std::numeric_limits<T>::max() };
  return static_cast<T>(std::clamp<std::int64_t>(aValue, 0, kLimit));
}

auto
EncodeAge(Millis aAge) -> std::uint16_t
{
  return Narrow<std::uint16_t>((aAge + kAgeUnit / 2) / kAgeUnit);
}

auto
DecodeAge(std::uint16_t aAge) -> Millis
{
  return aAge * kAgeUnit;
}

auto
EncodeLoadAge(Millis aAge) -> std::uint8_t
{
  return Narrow<std::uint8_t>((aAge + kLoadAgeUnit / 2) / kLoadAgeUnit);
}

auto
StepsOf(double aValue) -> double
{
  return std::log2(std::max(aValue, 0.0) + 1.0) * kSteps;
}

auto
ValueOf(std::uint8_t aSteps) -> double
{
  return std::exp2(aSteps / kSteps) - 1.0;
}

auto
EncodeRate(double aRate) -> std::uint8_t
{
  return Narrow<std::uint8_t>(std::lround(StepsOf(aRate)));
}

/// Free memory is rounded down, so that no more is promised than there is.
auto
EncodeFree(std::int64_t aTokens) -> std::uint8_t
{
  const auto steps = StepsOf(static_cast<double>(aTokens));
  return Narrow<std::uint8_t>(static_cast<std::int64_t>(steps));
}

/// Queued work is rounded up.
auto
EncodeQueued(std::int64_t aTokens) -> std::uint8_t
{
  const auto steps = std::ceil(StepsOf(static_cast<double>(aTokens)));
  return Narrow<std::uint8_t>(static_cast<std::int64_t>(steps));
}

auto
DecodeTokens(std::uint8_t aSteps) -> std::int64_t
{
  return std::lround(ValueOf(aSteps));
}

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
WriteBeats(const std::vector<BeatRow>& aRows, schema::BeatTable::Builder aTable)
  -> void
{
  const auto n = static_cast<unsigned>(aRows.size());
  auto keys = aTable.initKeys(n);
  auto beats = aTable.initBeats(n);
  auto rounds = aTable.initRounds(n);
  for (auto i = 0U; i < n; ++i) {
    keys.set(i, aRows[i].mKey);
    beats.set(i, aRows[i].mBeat);
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
  if (!aMessage.mBeats.empty()) {
    WriteBeats(aMessage.mBeats, aRoot.initBeats());
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
    sums.set(i, aMessage.mKnown[i].mSum);
  }
}

/// Item aIndex of a column; 0 where a column is shorter than the first.
template<class Column>
auto
At(const Column& aColumn, unsigned aIndex) -> decltype(aColumn[0])
{
  return aIndex < aColumn.size() ? aColumn[aIndex] : decltype(aColumn[0]){};
}

auto
ReadLoads(schema::LoadTable::Reader aTable) -> std::vector<LoadRow>
{
  auto rows = std::vector<LoadRow>{};
  const auto keys = aTable.getKeys();
  for (auto i = 0U; i < std::min<std::size_t>(keys.size(), kMaxRows); ++i) {
    auto row = LoadRow{};
    row.mKey = keys[i];
    row.mSequence = At(aTable.getSequences(), i);
    row.mAge = At(aTable.getAges(), i) * kLoadAgeUnit;
    row.mLoadAge = At(aTable.getReportAges(), i) * kLoadAgeUnit;
    row.mLoad.mRunningStreams = At(aTable.getRunning(), i);
    row.mLoad.mWaitingStreams = At(aTable.getWaiting(), i);
    row.mLoad.mQueuedPrefillTokens =
      DecodeTokens(At(aTable.getQueuedPrefill(), i));
    row.mLoad.mFreeKvTokens = DecodeTokens(At(aTable.getFreeKv(), i));
    row.mLoad.mPrefillTokensPerSecond =
      ValueOf(At(aTable.getPrefillRates(), i));
    row.mLoad.mDecodeTokensPerSecond = ValueOf(At(aTable.getDecodeRates(), i));
    row.mRounds = At(aTable.getRounds(), i);
    rows.push_back(row);
  }
  return rows;
}

auto
ReadBeats(schema::BeatTable::Reader aTable) -> std::vector<BeatRow>
{
  auto rows = std::vector<BeatRow>{};
  const auto keys = aTable.getKeys();
  for (auto i = 0U; i < std::min<std::size_t>(keys.size(), kMaxRows); ++i) {
    rows.push_back(
      { keys[i], At(aTable.getBeats(), i), At(aTable.getRounds(), i) });
  }
  return rows;
}

auto
ReadText(capnp::Text::Reader aText) -> std::string
{
  return { aText.cStr(), std::min(aText.size(), kMaxTextBytes) };
}

auto
ReadModel(schema::ModelRecord::Reader aReader) -> AnnouncedModel
{
  auto model = AnnouncedModel{ { ReadText(aReader.getModel()) },
                               { ReadText(aReader.getVersion()) },
                               {} };
  for (const auto& it : aReader.getAdapters()) {
    model.mAdapters.push_back(ReadText(it));
  }
  return model;
}

auto
DecodeFencing(std::uint8_t aFencing) -> std::optional<bool>
{
  return aFencing == 0 ? std::nullopt : std::optional(aFencing == 2);
}

auto
ReadEndpoint(schema::EndpointRecord::Reader aReader) -> EndpointRecord
{
  auto record = EndpointRecord{};
  auto& identity = record.mIdentity;
  identity.mEndpoint = { ReadText(aReader.getId()) };
  identity.mIncarnation = aReader.getIncarnation();
  identity.mSequence = aReader.getSequence();
  identity.mKind = aReader.getKind() == 0 ? EndpointKind::ModelEngine
                                          : EndpointKind::PlainService;
  identity.mService = ReadText(aReader.getService());
  identity.mAddress = ReadText(aReader.getAddress());
  identity.mFailureDomain = { ReadText(aReader.getFailureDomain()) };
  identity.mRegion = { ReadText(aReader.getRegion()) };
  identity.mIsLeaving = aReader.getIsLeaving();
  identity.mInterval =
    std::clamp(Millis(aReader.getIntervalMillis()), kMinInterval, kMaxInterval);
  identity.mRole = aReader.getRole() > 2
                     ? EngineRole::Mixed
                     : static_cast<EngineRole>(aReader.getRole());
  identity.mChecksFencing = DecodeFencing(aReader.getFencing());
  identity.mLoad.mTotalKvTokens = Narrow<std::uint32_t>(
    static_cast<std::int64_t>(aReader.getTotalKvTokens()));
  identity.mLoad.mBatchSlots = aReader.getBatchSlots();
  for (const auto& it : aReader.getModels()) {
    identity.mModels.push_back(ReadModel(it));
  }
  record.mAge = DecodeAge(aReader.getAge());
  record.mDrainVersion = aReader.getDrainVersion();
  record.mIsDrained = aReader.getIsDrained();
  return record;
}

auto
ReadInstance(schema::InstanceRecord::Reader aReader) -> InstanceRecord
{
  return { { ReadText(aReader.getId()) },
           aReader.getIncarnation(),
           ReadText(aReader.getAddress()),
           aReader.getState() == 0 ? InstanceState::Running
                                   : InstanceState::Stopped };
}

auto
ReadMessage(schema::Message::Reader aRoot) -> MembershipMessage
{
  auto message = MembershipMessage{};
  message.mFailureDomain = aRoot.getFailureDomain();
  message.mSender = aRoot.getSender();
  message.mRound = aRoot.getRound();
  message.mDigest = aRoot.getDigest();
  message.mWantsRecords = aRoot.getWantsRecords();
  message.mLoads = ReadLoads(aRoot.getLoads());
  message.mBeats = ReadBeats(aRoot.getBeats());
  for (const auto& it : aRoot.getInstances()) {
    message.mInstances.push_back(ReadInstance(it));
  }
  for (const auto& it : aRoot.getEndpoints()) {
    message.mEndpoints.push_back(ReadEndpoint(it));
  }
  for (const auto key : aRoot.getStaleKeys()) {
    message.mStaleKeys.push_back(key);
  }
  const auto keys = aRoot.getKnownKeys();
  for (auto i = 0U; i < std::min<std::size_t>(keys.size(), kMaxRows); ++i) {
    message.mKnown.push_back({ keys[i], At(aRoot.getKnownSums(), i) });
  }
  return message;
}

auto
Malformed(const std::string& aProblem) -> leaf::error_id
{
  return leaf::new_error(
    Findings{ { { {}, "membership message", aProblem, "a whole message" } } });
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

auto
DecodeMembershipMessage(std::string_view aBytes)
  -> leaf::result<MembershipMessage>
{
  if (aBytes.size() > kMaxMembershipBytes) {
    return Malformed("too large");
  }
  auto message = MembershipMessage{};
  const auto failure = kj::runCatchingExceptions([&]() {
    const auto bytes = kj::arrayPtr(
      reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size());
    auto stream = kj::ArrayInputStream(bytes);
    auto reader = capnp::PackedMessageReader(
      stream, capnp::ReaderOptions{ kMaxWords, kMaxNesting });
    message = ReadMessage(reader.getRoot<schema::Message>());
  });
  KJ_IF_MAYBE (exception, failure) {
    return Malformed(exception->getDescription().cStr());
  }
  return message;
}

} // namespace cuminslip::endpoints
