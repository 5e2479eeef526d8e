#include "control/controlcodec.h"
#include "control/internal/codecparts.h"

namespace cuminslip {

namespace {

auto
MicrosOf(TimePoint aTime) -> std::int64_t
{
  return aTime.time_since_epoch().count();
}

auto
TimeOf(std::int64_t aMicros) -> TimePoint
{
  return TimePoint(Micros(aMicros));
}

/// Encodes each kind of message body.
struct BodyWriter
{
  schema::ControlMessage::Builder mRoot;

  auto operator()(const PreVoteRequest& aFrom) -> void
  {
    auto to = mRoot.initPreVoteRequest();
    to.setTerm(aFrom.mTerm);
    to.setLastIndex(aFrom.mLastIndex);
    to.setLastTerm(aFrom.mLastTerm);
  }

  auto operator()(const PreVoteReply& aFrom) -> void
  {
    auto to = mRoot.initPreVoteReply();
    to.setTerm(aFrom.mTerm);
    to.setGranted(aFrom.mIsGranted);
  }

  auto operator()(const VoteRequest& aFrom) -> void
  {
    auto to = mRoot.initVoteRequest();
    to.setLastIndex(aFrom.mLastIndex);
    to.setLastTerm(aFrom.mLastTerm);
  }

  auto operator()(const VoteReply& aFrom) -> void
  {
    mRoot.initVoteReply().setGranted(aFrom.mIsGranted);
  }

  auto operator()(const AppendRequest& aFrom) -> void
  {
    auto to = mRoot.initAppendRequest();
    to.setPreviousIndex(aFrom.mPreviousIndex);
    to.setPreviousTerm(aFrom.mPreviousTerm);
    to.setCommit(aFrom.mCommit);
    to.setSentAt(MicrosOf(aFrom.mSentAt));
    to.setQuorumAge(aFrom.mQuorumAge.count());
    auto entries = to.initEntries(static_cast<unsigned>(aFrom.mEntries.size()));
    auto n = 0U;
    for (const auto& it : aFrom.mEntries) {
      WriteEntry(entries[n++], it);
    }
  }

  auto operator()(const AppendReply& aFrom) -> void
  {
    auto to = mRoot.initAppendReply();
    to.setAccepted(aFrom.mIsAccepted);
    to.setPreviousIndex(aFrom.mPreviousIndex);
    to.setMatch(aFrom.mMatch);
    to.setSentAt(MicrosOf(aFrom.mSentAt));
  }

  auto operator()(const SnapshotPiece& aFrom) -> void
  {
    auto to = mRoot.initSnapshotPiece();
    to.setIndex(aFrom.mIndex);
    to.setTerm(aFrom.mTerm);
    to.setClock(aFrom.mClock);
    WriteMembership(to.initMembership(), aFrom.mMembership);
    to.setTotal(aFrom.mTotalBytes);
    to.setOffset(aFrom.mOffset);
    to.setBytes(DataOf(aFrom.mBytes));
    to.setSentAt(MicrosOf(aFrom.mSentAt));
  }

  auto operator()(const SnapshotReply& aFrom) -> void
  {
    auto to = mRoot.initSnapshotReply();
    to.setIndex(aFrom.mIndex);
    to.setNextOffset(aFrom.mNextOffset);
    to.setSentAt(MicrosOf(aFrom.mSentAt));
  }

  auto operator()(const Rejection& aFrom) -> void
  {
    auto to = mRoot.initRejection();
    to.setReason(static_cast<std::uint8_t>(aFrom.mReason));
    to.setBoot(aFrom.mBoot);
  }
};

auto
ReadAppendRequest(schema::AppendRequest::Reader aFrom) -> AppendRequest
{
  auto request = AppendRequest{ aFrom.getPreviousIndex(),
                                aFrom.getPreviousTerm(),
                                {},
                                aFrom.getCommit(),
                                TimeOf(aFrom.getSentAt()),
                                Millis(aFrom.getQuorumAge()) };
  for (const auto it : aFrom.getEntries()) {
    request.mEntries.push_back(ReadEntry(it));
  }
  return request;
}

auto
ReadSnapshotPiece(schema::SnapshotPiece::Reader aFrom) -> SnapshotPiece
{
  return { aFrom.getIndex(),          aFrom.getTerm(),
           aFrom.getClock(),          ReadMembership(aFrom.getMembership()),
           aFrom.getTotal(),          aFrom.getOffset(),
           BytesOf(aFrom.getBytes()), TimeOf(aFrom.getSentAt()) };
}

auto
ReadRejection(schema::Rejection::Reader aFrom) -> Rejection
{
  RequireValid(aFrom.getReason() <=
                 static_cast<int>(RejectionReason::LostEntries),
               "unknown reason of a rejection");
  return { static_cast<RejectionReason>(aFrom.getReason()), aFrom.getBoot() };
}

auto
ReadBody(schema::ControlMessage::Reader aFrom) -> ControlBody
{
  switch (aFrom.which()) {
    case schema::ControlMessage::PRE_VOTE_REQUEST: {
      const auto it = aFrom.getPreVoteRequest();
      return PreVoteRequest{ it.getTerm(),
                             it.getLastIndex(),
                             it.getLastTerm() };
    }
    case schema::ControlMessage::PRE_VOTE_REPLY:
      return PreVoteReply{ aFrom.getPreVoteReply().getTerm(),
                           aFrom.getPreVoteReply().getGranted() };
    case schema::ControlMessage::VOTE_REQUEST:
      return VoteRequest{ aFrom.getVoteRequest().getLastIndex(),
                          aFrom.getVoteRequest().getLastTerm() };
    case schema::ControlMessage::VOTE_REPLY:
      return VoteReply{ aFrom.getVoteReply().getGranted() };
    case schema::ControlMessage::APPEND_REQUEST:
      return ReadAppendRequest(aFrom.getAppendRequest());
    case schema::ControlMessage::APPEND_REPLY: {
      const auto it = aFrom.getAppendReply();
      return AppendReply{ it.getAccepted(),
                          it.getPreviousIndex(),
                          it.getMatch(),
                          TimeOf(it.getSentAt()) };
    }
    case schema::ControlMessage::SNAPSHOT_PIECE:
      return ReadSnapshotPiece(aFrom.getSnapshotPiece());
    case schema::ControlMessage::SNAPSHOT_REPLY: {
      const auto it = aFrom.getSnapshotReply();
      return SnapshotReply{ it.getIndex(),
                            it.getNextOffset(),
                            TimeOf(it.getSentAt()) };
    }
    case schema::ControlMessage::REJECTION:
      return ReadRejection(aFrom.getRejection());
  }
  RequireValid(false, "unknown kind of message");
  return {};
}

} // namespace

auto
EncodeControlMessage(const ControlMessage& aMessage) -> std::string
{
  auto message = capnp::MallocMessageBuilder();
  auto root = message.initRoot<schema::ControlMessage>();
  root.setCluster(aMessage.mCluster);
  root.setFrom(aMessage.mFrom);
  root.setTo(aMessage.mTo);
  root.setFromAddress(TextFrom(aMessage.mFromAddress));
  root.setBoot(aMessage.mBoot);
  root.setTerm(aMessage.mTerm);
  root.setDurable(aMessage.mDurable);
  root.setDiskFull(aMessage.mIsDiskFull);
  std::visit(BodyWriter{ root }, aMessage.mBody);
  return BytesOfMessage(message);
}

auto
DecodeControlMessage(std::string_view aBytes) -> leaf::result<ControlMessage>
{
  return ReadMessage<schema::ControlMessage, ControlMessage>(
    aBytes, [](schema::ControlMessage::Reader aItem) {
      return ControlMessage{ aItem.getCluster(), aItem.getFrom(),
                             aItem.getTo(),      TextOf(aItem.getFromAddress()),
                             aItem.getBoot(),    aItem.getTerm(),
                             aItem.getDurable(), aItem.getDiskFull(),
                             ReadBody(aItem) };
    });
}

} // namespace cuminslip
