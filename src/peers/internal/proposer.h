#pragma once

#include "peers/internal/oncereply.h"
#include "peers/internal/peercontext.h"

namespace cuminslip {

/// One command on its way to the leader.
struct Attempt
{
  std::string mCommand;
  TimePoint mDeadline{};
  OnceReplyPointer<CommandResult> mReply;
  std::size_t mNextControl = 0;
};

/// Brings aCommand to the leader, here or elsewhere, and tries again until the
/// settings' time is over.
auto
ProposeCommand(PeerContext& aContext,
               std::string aCommand,
               const OnceReplyPointer<CommandResult>& aReply) -> void;

/// Asks the leader for the result of submitted work.
auto
FetchFromLeader(PeerContext& aContext,
                const AccountKey& aWork,
                const OnceReplyPointer<CommandResult>& aReply) -> void;

/// Answers with the templates in force; they count as current when they are
/// no older than what the leader has accepted since the call began.
auto
ReadCurrentTemplates(PeerContext& aContext,
                     const OnceReplyPointer<TemplateReading>& aReply) -> void;

/// Asks the control instances in turn.
auto
ReadAccountHistory(PeerContext& aContext,
                   const AccountId& aAccount,
                   const OnceReplyPointer<TemplateReading>& aReply) -> void;

} // namespace cuminslip
