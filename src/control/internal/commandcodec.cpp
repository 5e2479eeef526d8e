#include "control/controlcodec.h"
#include "control/internal/codecparts.h"

namespace cuminslip {

namespace {

/// Encodes each kind of command into its group of the union.
struct CommandWriter
{
  schema::Command::Builder mRoot;

  auto operator()(const PublishCommand& aFrom) -> void
  {
    auto to = mRoot.initPublish();
    to.setAccount(TextFrom(aFrom.mAccount.mValue));
    to.setExpectedRevision(aFrom.mExpectedRevision);
    to.setRequest(TextFrom(aFrom.mRequest.mValue));
    to.setDocument(DataOf(aFrom.mDocument));
  }

  auto operator()(const PublishRoutingCommand& aFrom) -> void
  {
    auto to = mRoot.initPublishRouting();
    to.setVersion(aFrom.mVersion);
    to.setDocument(DataOf(aFrom.mDocument));
  }

  auto operator()(const ClaimRunCommand& aFrom) -> void
  {
    auto to = mRoot.initClaimRun();
    to.setAccount(TextFrom(aFrom.mAccount.mValue));
    to.setKey(TextFrom(aFrom.mKey.mValue));
    to.setFingerprint(TextFrom(aFrom.mFingerprint));
    to.setToken(TextFrom(aFrom.mToken));
    to.setLongest(aFrom.mLongest);
  }

  auto operator()(const FinishRunCommand& aFrom) -> void
  {
    auto to = mRoot.initFinishRun();
    to.setAccount(TextFrom(aFrom.mAccount.mValue));
    to.setKey(TextFrom(aFrom.mKey.mValue));
    to.setToken(TextFrom(aFrom.mToken));
    to.setOutcome(static_cast<std::uint8_t>(aFrom.mOutcome));
    to.setAnswer(DataOf(aFrom.mAnswer));
  }

  auto operator()(const LeaseCommand& aFrom) -> void
  {
    auto to = mRoot.initLease();
    to.setName(TextFrom(aFrom.mName));
    to.setHolder(TextFrom(aFrom.mHolder));
    to.setDuration(aFrom.mDuration);
  }

  auto operator()(const SubmitWorkCommand& aFrom) -> void
  {
    auto to = mRoot.initSubmitWork();
    to.setAccount(TextFrom(aFrom.mAccount.mValue));
    to.setWork(TextFrom(aFrom.mWork));
    to.setFingerprint(TextFrom(aFrom.mFingerprint));
    to.setTotalBytes(aFrom.mTotalBytes);
    to.setOffset(aFrom.mOffset);
    to.setPiece(DataOf(aFrom.mPiece));
    to.setRetention(aFrom.mRetention);
  }

  auto operator()(const TakeWorkCommand& aFrom) -> void
  {
    auto to = mRoot.initTakeWork();
    to.setHolder(TextFrom(aFrom.mHolder));
    to.setToken(TextFrom(aFrom.mToken));
    to.setLease(aFrom.mLease);
  }

  auto operator()(const RenewWorkCommand& aFrom) -> void
  {
    auto to = mRoot.initRenewWork();
    to.setAccount(TextFrom(aFrom.mAccount.mValue));
    to.setWork(TextFrom(aFrom.mWork));
    to.setToken(TextFrom(aFrom.mToken));
    to.setLease(aFrom.mLease);
  }

  auto operator()(const FinishWorkCommand& aFrom) -> void
  {
    auto to = mRoot.initFinishWork();
    to.setAccount(TextFrom(aFrom.mAccount.mValue));
    to.setWork(TextFrom(aFrom.mWork));
    to.setToken(TextFrom(aFrom.mToken));
    to.setTotalBytes(aFrom.mTotalBytes);
    to.setOffset(aFrom.mOffset);
    to.setPiece(DataOf(aFrom.mPiece));
  }
};

auto
ReadWorkCommand(schema::Command::Reader aFrom) -> Command
{
  if (aFrom.isSubmitWork()) {
    const auto it = aFrom.getSubmitWork();
    return SubmitWorkCommand{ { TextOf(it.getAccount()) },
                              TextOf(it.getWork()),
                              TextOf(it.getFingerprint()),
                              it.getTotalBytes(),
                              it.getOffset(),
                              BytesOf(it.getPiece()),
                              it.getRetention() };
  }
  if (aFrom.isTakeWork()) {
    const auto it = aFrom.getTakeWork();
    return TakeWorkCommand{ TextOf(it.getHolder()),
                            TextOf(it.getToken()),
                            it.getLease() };
  }
  if (aFrom.isRenewWork()) {
    const auto it = aFrom.getRenewWork();
    return RenewWorkCommand{ { TextOf(it.getAccount()) },
                             TextOf(it.getWork()),
                             TextOf(it.getToken()),
                             it.getLease() };
  }
  RequireValid(aFrom.isFinishWork(), "unknown command");
  const auto it = aFrom.getFinishWork();
  return FinishWorkCommand{
    { TextOf(it.getAccount()) }, TextOf(it.getWork()), TextOf(it.getToken()),
    it.getTotalBytes(),          it.getOffset(),       BytesOf(it.getPiece())
  };
}

auto
ReadCommand(schema::Command::Reader aFrom) -> Command
{
  if (aFrom.isPublish()) {
    const auto it = aFrom.getPublish();
    return PublishCommand{ { TextOf(it.getAccount()) },
                           it.getExpectedRevision(),
                           { TextOf(it.getRequest()) },
                           BytesOf(it.getDocument()) };
  }
  if (aFrom.isPublishRouting()) {
    const auto it = aFrom.getPublishRouting();
    return PublishRoutingCommand{ it.getVersion(), BytesOf(it.getDocument()) };
  }
  if (aFrom.isClaimRun()) {
    const auto it = aFrom.getClaimRun();
    return ClaimRunCommand{ { TextOf(it.getAccount()) },
                            { TextOf(it.getKey()) },
                            TextOf(it.getFingerprint()),
                            TextOf(it.getToken()),
                            it.getLongest() };
  }
  if (aFrom.isFinishRun()) {
    const auto it = aFrom.getFinishRun();
    using Outcome = FinishRunCommand::Outcome;
    RequireValid(it.getOutcome() <= static_cast<int>(Outcome::NotRun),
                 "unknown outcome of a run");
    return FinishRunCommand{ { TextOf(it.getAccount()) },
                             { TextOf(it.getKey()) },
                             TextOf(it.getToken()),
                             static_cast<Outcome>(it.getOutcome()),
                             BytesOf(it.getAnswer()) };
  }
  if (aFrom.isLease()) {
    const auto it = aFrom.getLease();
    return LeaseCommand{ TextOf(it.getName()),
                         TextOf(it.getHolder()),
                         it.getDuration() };
  }
  return ReadWorkCommand(aFrom);
}

auto
ReadResult(schema::CommandResult::Reader aFrom) -> CommandResult
{
  RequireValid(aFrom.getStatus() <= static_cast<int>(CommandStatus::Invalid),
               "unknown status of a command");
  return { static_cast<CommandStatus>(aFrom.getStatus()),
           aFrom.getRevision(),
           TextOf(aFrom.getHolder()),
           TextOf(aFrom.getWork()),
           BytesOf(aFrom.getBytes()) };
}

} // namespace

auto
EncodeCommand(const Command& aCommand) -> std::string
{
  auto message = capnp::MallocMessageBuilder();
  std::visit(CommandWriter{ message.initRoot<schema::Command>() }, aCommand);
  return BytesOfMessage(message);
}

auto
DecodeCommand(std::string_view aBytes) -> leaf::result<Command>
{
  return ReadMessage<schema::Command, Command>(aBytes, ReadCommand);
}

auto
EncodeCommandResult(const CommandResult& aResult) -> std::string
{
  auto message = capnp::MallocMessageBuilder();
  auto root = message.initRoot<schema::CommandResult>();
  root.setStatus(static_cast<std::uint8_t>(aResult.mStatus));
  root.setRevision(aResult.mRevision);
  root.setHolder(TextFrom(aResult.mHolder));
  root.setWork(TextFrom(aResult.mWork));
  root.setBytes(DataOf(aResult.mBytes));
  return BytesOfMessage(message);
}

auto
DecodeCommandResult(std::string_view aBytes) -> leaf::result<CommandResult>
{
  return ReadMessage<schema::CommandResult, CommandResult>(aBytes, ReadResult);
}

} // namespace cuminslip
