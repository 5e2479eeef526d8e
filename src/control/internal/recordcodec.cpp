#include "control/controlcodec.h"
#include "control/internal/codecparts.h"

namespace cuminslip {

namespace {

auto
ReadVote(schema::VoteRecord::Reader aFrom) -> StoredVote
{
  auto stored = StoredVote{};
  stored.mSequence = aFrom.getSequence();
  stored.mLastSegment = aFrom.getLastSegment();
  stored.mFloor = aFrom.getFloor();
  stored.mVote = { aFrom.getCluster(), aFrom.getMember(), aFrom.getBoot(),
                   aFrom.getTerm(),    aFrom.getVote(),   {} };
  for (const auto it : aFrom.getPeerBoots()) {
    stored.mVote.mPeerBoots[it.getMember()] = it.getBoot();
  }
  return stored;
}

auto
ReadRecord(schema::LogRecord::Reader aFrom) -> LogRecord
{
  switch (aFrom.which()) {
    case schema::LogRecord::ENTRY:
      return ReadEntry(aFrom.getEntry());
    case schema::LogRecord::TRUNCATE_FROM:
      return TruncateRecord{ aFrom.getTruncateFrom() };
    case schema::LogRecord::COMMIT_FLOOR:
      return FloorRecord{ aFrom.getCommitFloor() };
    case schema::LogRecord::BASE:
      return BaseRecord{ aFrom.getBase().getIndex(),
                         aFrom.getBase().getTerm() };
  }
  RequireValid(false, "unknown kind of log record");
  return {};
}

} // namespace

auto
WriteMembership(schema::Membership::Builder aTo, const Membership& aFrom)
  -> void
{
  auto members = aTo.initMembers(static_cast<unsigned>(aFrom.mMembers.size()));
  auto n = 0U;
  for (const auto& it : aFrom.mMembers) {
    auto member = members[n++];
    member.setId(it.mId);
    member.setInstance(TextFrom(it.mInstance.mValue));
    member.setAddress(TextFrom(it.mAddress));
    member.setFailureDomain(TextFrom(it.mFailureDomain.mValue));
    member.setRole(static_cast<std::uint8_t>(it.mRole));
    member.setReplaces(it.mReplaces);
  }
  auto expected =
    aTo.initExpected(static_cast<unsigned>(aFrom.mExpected.size()));
  n = 0;
  for (const auto& it : aFrom.mExpected) {
    expected.set(n++, TextFrom(it.mValue));
  }
}

auto
ReadMembership(schema::Membership::Reader aFrom) -> Membership
{
  auto membership = Membership{};
  for (const auto it : aFrom.getMembers()) {
    RequireValid(it.getRole() <= static_cast<int>(MemberRole::Spare),
                 "unknown member role");
    membership.mMembers.push_back({ it.getId(),
                                    { TextOf(it.getInstance()) },
                                    TextOf(it.getAddress()),
                                    { TextOf(it.getFailureDomain()) },
                                    static_cast<MemberRole>(it.getRole()),
                                    it.getReplaces() });
  }
  for (const auto it : aFrom.getExpected()) {
    membership.mExpected.push_back({ TextOf(it) });
  }
  return membership;
}

auto
WriteEntry(schema::LogEntry::Builder aTo, const LogEntry& aFrom) -> void
{
  aTo.setIndex(aFrom.mIndex);
  aTo.setTerm(aFrom.mTerm);
  aTo.setKind(static_cast<std::uint8_t>(aFrom.mKind));
  aTo.setClock(aFrom.mClock);
  aTo.setPayload(DataOf(aFrom.mPayload));
}

auto
ReadEntry(schema::LogEntry::Reader aFrom) -> LogEntry
{
  RequireValid(aFrom.getKind() <= static_cast<int>(EntryKind::Membership),
               "unknown kind of log entry");
  return { aFrom.getIndex(),
           aFrom.getTerm(),
           static_cast<EntryKind>(aFrom.getKind()),
           aFrom.getClock(),
           BytesOf(aFrom.getPayload()) };
}

auto
EncodeMembership(const Membership& aMembership) -> std::string
{
  auto message = capnp::MallocMessageBuilder();
  WriteMembership(message.initRoot<schema::Membership>(), aMembership);
  return BytesOfMessage(message);
}

auto
DecodeMembership(std::string_view aBytes) -> leaf::result<Membership>
{
  return ReadMessage<schema::Membership, Membership>(aBytes, ReadMembership);
}

auto
EncodeLogRecord(const LogRecord& aRecord) -> std::string
{
  auto message = capnp::MallocMessageBuilder();
  auto root = message.initRoot<schema::LogRecord>();
  if (const auto* entry = std::get_if<LogEntry>(&aRecord)) {
    WriteEntry(root.initEntry(), *entry);
  } else if (const auto* truncate = std::get_if<TruncateRecord>(&aRecord)) {
    root.setTruncateFrom(truncate->mFrom);
  } else if (const auto* floor = std::get_if<FloorRecord>(&aRecord)) {
    root.setCommitFloor(floor->mCommitFloor);
  } else if (const auto* base = std::get_if<BaseRecord>(&aRecord)) {
    auto group = root.initBase();
    group.setIndex(base->mIndex);
    group.setTerm(base->mTerm);
  }
  return BytesOfMessage(message);
}

auto
DecodeLogRecord(std::string_view aBytes) -> leaf::result<LogRecord>
{
  return ReadMessage<schema::LogRecord, LogRecord>(aBytes, ReadRecord);
}

auto
EncodeStoredVote(const StoredVote& aVote) -> std::string
{
  auto message = capnp::MallocMessageBuilder();
  auto root = message.initRoot<schema::VoteRecord>();
  root.setSequence(aVote.mSequence);
  root.setCluster(aVote.mVote.mCluster);
  root.setMember(aVote.mVote.mMember);
  root.setBoot(aVote.mVote.mBoot);
  root.setTerm(aVote.mVote.mTerm);
  root.setVote(aVote.mVote.mVote);
  root.setLastSegment(aVote.mLastSegment);
  root.setFloor(aVote.mFloor);
  auto boots =
    root.initPeerBoots(static_cast<unsigned>(aVote.mVote.mPeerBoots.size()));
  auto n = 0U;
  for (const auto& [member, boot] : aVote.mVote.mPeerBoots) {
    boots[n].setMember(member);
    boots[n].setBoot(boot);
    ++n;
  }
  return BytesOfMessage(message);
}

auto
DecodeStoredVote(std::string_view aBytes) -> leaf::result<StoredVote>
{
  return ReadMessage<schema::VoteRecord, StoredVote>(aBytes, ReadVote);
}

auto
EncodeSnapshot(const Snapshot& aSnapshot) -> std::string
{
  auto message = capnp::MallocMessageBuilder();
  auto root = message.initRoot<schema::Snapshot>();
  root.setIndex(aSnapshot.mIndex);
  root.setTerm(aSnapshot.mTerm);
  root.setClock(aSnapshot.mClock);
  WriteMembership(root.initMembership(), aSnapshot.mMembership);
  root.setState(DataOf(*aSnapshot.mState));
  return BytesOfMessage(message);
}

auto
DecodeSnapshot(std::string_view aBytes) -> leaf::result<Snapshot>
{
  return ReadMessage<schema::Snapshot, Snapshot>(
    aBytes, [](schema::Snapshot::Reader aItem) {
      return Snapshot{ aItem.getIndex(),
                       aItem.getTerm(),
                       aItem.getClock(),
                       ReadMembership(aItem.getMembership()),
                       std::make_shared<const std::string>(
                         BytesOf(aItem.getState())) };
    });
}

} // namespace cuminslip
