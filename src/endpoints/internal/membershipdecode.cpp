#include "endpoints/internal/membershipcodec.h"
#include "endpoints/internal/membershipcolumns.h"
#include "endpoints/protocol.h"

#include <membership.capnp.h>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>

namespace cuminslip::endpoints {

namespace {

constexpr std::uint64_t kMaxWords = std::uint64_t{ 4 } * kMaxMembershipBytes;
constexpr int kMaxNesting = 16;
constexpr std::size_t kMaxRows = 4096;

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
    row.mAge = DecodeLoadAge(At(aTable.getAges(), i));
    row.mLoadAge = DecodeLoadAge(At(aTable.getReportAges(), i));
    row.mLoad.mRunningStreams = At(aTable.getRunning(), i);
    row.mLoad.mWaitingStreams = At(aTable.getWaiting(), i);
    row.mLoad.mQueuedPrefillTokens =
      DecodeTokens(At(aTable.getQueuedPrefill(), i));
    row.mLoad.mFreeKvTokens = DecodeTokens(At(aTable.getFreeKv(), i));
    row.mLoad.mPrefillTokensPerSecond =
      DecodeRate(At(aTable.getPrefillRates(), i));
    row.mLoad.mDecodeTokensPerSecond =
      DecodeRate(At(aTable.getDecodeRates(), i));
    row.mRounds = At(aTable.getRounds(), i);
    rows.push_back(row);
  }
  return rows;
}

auto
ReadHeartbeats(schema::BeatTable::Reader aTable) -> std::vector<HeartbeatRow>
{
  auto rows = std::vector<HeartbeatRow>{};
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
  message.mHeartbeats = ReadHeartbeats(aRoot.getBeats());
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
