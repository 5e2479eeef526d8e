#include "forwarding/loadnotice.h"

#include "base/capnpmessage.h"
#include "base/digest.h"
#include "forwarding/generated/loadnotice.capnp.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace cuminslip::forwarding {

namespace {

constexpr auto kNoRate = -1.0;

auto
WriteStatements(const std::vector<ReportedStatement>& aStatements,
                schema::LoadNotice::Builder aRoot) -> void
{
  auto list = aRoot.initStatements(static_cast<unsigned>(aStatements.size()));
  auto n = 0U;
  for (const auto& it : aStatements) {
    auto to = list[n++];
    to.setEndpoint(it.mEndpoint);
    to.setIncarnation(it.mIncarnation);
    to.setRequestsPerSecond(it.mLimit.mRate.value_or(kNoRate));
    to.setVersion(it.mLimit.mVersion);
    to.setIsLeaving(it.mIsLeaving);
    to.setColdMillis(static_cast<std::uint32_t>(it.mWarmUpTime.count()));
  }
}

/// Skips statements that no sender of any version writes.
auto
ReadStatements(schema::LoadNotice::Reader aRoot)
  -> std::vector<ReportedStatement>
{
  auto statements = std::vector<ReportedStatement>{};
  for (const auto it : aRoot.getStatements()) {
    const auto rate = it.getRequestsPerSecond();
    if (!std::isfinite(rate)) {
      continue;
    }
    statements.push_back(
      { it.getEndpoint(),
        it.getIncarnation(),
        { rate < 0 ? std::nullopt : std::optional(rate), it.getVersion() },
        it.getIsLeaving(),
        Millis(it.getColdMillis()) });
  }
  return statements;
}

auto
WriteSuspects(const std::vector<ReportedSuspect>& aSuspects,
              schema::LoadNotice::Builder aRoot) -> void
{
  auto list = aRoot.initSuspects(static_cast<unsigned>(aSuspects.size()));
  auto n = 0U;
  for (const auto& it : aSuspects) {
    auto to = list[n++];
    to.setKey(it.mKey);
    to.setDepth(it.mDepth);
    if (it.mSoundAge) {
      to.setSoundAgeMillis(it.mSoundAge->count());
    }
    auto crashes = to.initCrashes(static_cast<unsigned>(it.mCrashes.size()));
    auto i = 0U;
    for (const auto& crash : it.mCrashes) {
      auto item = crashes[i++];
      item.setEndpoint(crash.mEndpoint);
      item.setAgeMillis(static_cast<std::uint32_t>(crash.mAge.count()));
      item.setHadBegun(crash.mHadBegun);
      item.setCompany(crash.mCompany);
      item.setRanMillis(static_cast<std::uint32_t>(crash.mRanFor.count()));
    }
  }
}

/// Skips those beyond the number that any sender writes.
auto
ReadSuspects(schema::LoadNotice::Reader aRoot) -> std::vector<ReportedSuspect>
{
  constexpr auto kMaxSuspects = std::size_t{ 64 };
  auto suspects = std::vector<ReportedSuspect>{};
  for (const auto it : aRoot.getSuspects()) {
    if (suspects.size() == kMaxSuspects) {
      break;
    }
    auto suspect =
      ReportedSuspect{ it.getKey(), it.getDepth(), {}, std::nullopt };
    for (const auto crash : it.getCrashes()) {
      suspect.mCrashes.push_back({ crash.getEndpoint(),
                                   Millis(crash.getAgeMillis()),
                                   crash.getHadBegun(),
                                   crash.getCompany(),
                                   Millis(crash.getRanMillis()) });
    }
    if (it.getSoundAgeMillis() >= 0) {
      suspect.mSoundAge = Millis(it.getSoundAgeMillis());
    }
    suspects.push_back(std::move(suspect));
  }
  return suspects;
}

/// Skips priorities beyond the number that any sender writes. A figure that is
/// no amount of time counts as none.
auto
ReadWaiting(schema::LoadNotice::Reader aRoot) -> std::vector<double>
{
  auto waiting = std::vector<double>{};
  for (const auto it : aRoot.getWaitingMillis()) {
    if (waiting.size() == kStatedPriorities) {
      break;
    }
    waiting.push_back(std::isfinite(it) ? std::max(it, 0.0) : 0.0);
  }
  return waiting;
}

} // namespace

auto
KeyOf(const EndpointId& aEndpoint, Incarnation aIncarnation) -> std::uint64_t
{
  // NOTE: with a small number as seed, short ids have equal checksums.
  return Checksum(std::to_string(aIncarnation), Checksum(aEndpoint.mValue));
}

auto
EncodeLoadNotice(const LoadNotice& aNotice) -> std::string
{
  auto message = capnp::MallocMessageBuilder();
  auto root = message.initRoot<schema::LoadNotice>();
  root.setInstance(TextFrom(aNotice.mInstance));
  root.setSequence(aNotice.mSequence);
  root.setIsSummary(aNotice.mIsSummary);
  root.setIsCutOff(aNotice.mIsCutOff);
  const auto waiting =
    std::span(aNotice.mWaitingMillis)
      .first(std::min(aNotice.mWaitingMillis.size(), kStatedPriorities));
  auto millis = root.initWaitingMillis(static_cast<unsigned>(waiting.size()));
  for (auto i = 0U; i < waiting.size(); ++i) {
    millis.set(i, waiting[i]);
  }
  WriteStatements(aNotice.mStatements, root);
  WriteSuspects(aNotice.mSuspects, root);
  auto ends = root.initEnds(static_cast<unsigned>(aNotice.mEnds.size()));
  auto i = 0U;
  for (const auto& it : aNotice.mEnds) {
    auto to = ends[i++];
    to.setEndpoint(it.mEndpoint);
    to.setAgeMillis(static_cast<std::uint32_t>(it.mAge.count()));
  }
  auto shares = root.initShares(static_cast<unsigned>(aNotice.mShares.size()));
  auto n = 0U;
  for (const auto& it : aNotice.mShares) {
    auto to = shares[n++];
    to.setEngine(it.mEngine);
    to.setStreams(static_cast<std::uint32_t>(it.mWork.mStreams));
    to.setLongStreams(static_cast<std::uint32_t>(it.mWork.mLongStreams));
    to.setContextTokens(static_cast<std::uint64_t>(it.mWork.mContextTokens));
    to.setReadMillis(
      static_cast<std::uint32_t>(std::max(it.mWork.mReadMillis, 0.0)));
    to.setUnread(static_cast<std::uint32_t>(it.mWork.mStreamsInPrefill));
    to.setUnreadLong(
      static_cast<std::uint32_t>(it.mWork.mLongPromptsInPrefill));
    to.setClaimed(static_cast<std::uint32_t>(it.mWork.mClaimedStreams));
    if (it.mWork.mPauseMillis < kNoPauseLimitMillis) {
      to.setPauseMillis(static_cast<std::uint32_t>(it.mWork.mPauseMillis));
    }
  }
  return PackedBytesOfMessage(message);
}

auto
DecodeLoadNotice(std::string_view aBytes) -> leaf::result<LoadNotice>
{
  return ReadPackedMessage<schema::LoadNotice, LoadNotice>(
    aBytes, [](schema::LoadNotice::Reader aItem) {
      auto notice = LoadNotice{};
      notice.mInstance = TextOf(aItem.getInstance());
      notice.mSequence = aItem.getSequence();
      notice.mIsSummary = aItem.getIsSummary();
      notice.mIsCutOff = aItem.getIsCutOff();
      notice.mStatements = ReadStatements(aItem);
      notice.mSuspects = ReadSuspects(aItem);
      notice.mWaitingMillis = ReadWaiting(aItem);
      for (const auto it : aItem.getEnds()) {
        notice.mEnds.push_back({ it.getEndpoint(), Millis(it.getAgeMillis()) });
      }
      for (const auto it : aItem.getShares()) {
        notice.mShares.push_back(
          { it.getEngine(),
            { it.getStreams(),
              static_cast<std::int64_t>(it.getContextTokens()),
              static_cast<double>(it.getReadMillis()),
              it.getLongStreams(),
              it.getPauseMillis() == 0
                ? kNoPauseLimitMillis
                : static_cast<double>(it.getPauseMillis()),
              it.getUnread(),
              it.getUnreadLong(),
              it.getClaimed() } });
      }
      return notice;
    });
}

} // namespace cuminslip::forwarding
