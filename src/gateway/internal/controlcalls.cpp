#include "gateway/compression.h"
#include "gateway/internal/gatewaystate.h"
#include "gateway/types/gatewayevents.h"
#include "routing/routing.h"

namespace cuminslip::gateway {

namespace {

/// Maximum decompressed size of a routing document. Larger than any request
/// body that a listener accepts.
constexpr auto kMaxDocumentBytes = std::size_t{ 32 } * 1024 * 1024;

/// Executes one control call and answers it exactly once.
struct ControlCallRunner
{
  Gateway& mGateway;
  wire::ResponderPtr mResponder;

  auto Answer(const ControlAnswer& aAnswer) const -> void
  {
    wire::SendResponse(mResponder,
                       mGateway.mAdapter.mWriteControlAnswer(aAnswer));
  }

  /// Answers from any thread, by posting to the loop.
  auto AnswerLater(ControlAnswer aAnswer) const -> void
  {
    wire::PostToLoop(
      *mGateway.mLoop,
      [runner = *this, answer = std::move(aAnswer)] { runner.Answer(answer); });
  }

  auto operator()(const NoticeCall& aCall) const -> void
  {
    mGateway.mPeers->TakeNotice(aCall.mNotice, [runner = *this](bool aIsTaken) {
      runner.AnswerLater(
        { aIsTaken ? ControlStatus::Done : ControlStatus::Unavailable,
          {},
          {} });
    });
  }

  auto operator()(const PublishCall& aCall) const -> void;
  auto operator()(const ReadCall&) const -> void;

  auto operator()(const EvacuationCall& aCall) const -> void
  {
    HandleEvacuation(mGateway, aCall.mOrder, mResponder);
  }

  auto operator()(const BadCall& aCall) const -> void
  {
    LogEvent(kControlCallRefusedEvent,
             { { "findings", FormatFindings(aCall.mFindings) } });
    Answer({ ControlStatus::Invalid, {}, aCall.mFindings });
  }

  auto operator()(const UnknownCall&) const -> void
  {
    Answer({ ControlStatus::NotFound, {}, {} });
  }
};

auto
LogPublished(routing::Version aVersion, const CommandResult& aResult) -> void
{
  LogEvent(kRoutingPublishedEvent,
           { { "version", aVersion },
             { "accepted", aResult.mStatus == CommandStatus::Accepted },
             { "status", static_cast<int>(aResult.mStatus) },
             { "revision", aResult.mRevision } });
}

auto
ControlCallRunner::operator()(const PublishCall& aCall) const -> void
{
  const auto findings = routing::CheckRoutingDocument(aCall.mDocument);
  if (!IsEmpty(findings)) {
    LogEvent(kRoutingRefusedEvent,
             { { "version", aCall.mDocument.mVersion },
               { "findings", FormatFindings(findings) } });
    Answer({ ControlStatus::Invalid, {}, findings });
    return;
  }
  auto command = PublishRoutingCommand{};
  command.mVersion = aCall.mDocument.mVersion;
  command.mDocument = Compress(aCall.mText);
  mGateway.mPeers->Propose(
    std::move(command),
    [runner = *this,
     version = aCall.mDocument.mVersion](const CommandResult& aResult) {
      LogPublished(version, aResult);
      const auto isAccepted = aResult.mStatus == CommandStatus::Accepted;
      const auto isInvalid = aResult.mStatus == CommandStatus::Invalid;
      runner.AnswerLater({ isAccepted  ? ControlStatus::Done
                           : isInvalid ? ControlStatus::Invalid
                                       : ControlStatus::Unavailable,
                           {},
                           {} });
    });
}

auto
ControlCallRunner::operator()(const ReadCall&) const -> void
{
  mGateway.mPeers->ReadTemplates(
    [runner = *this](const TemplateReading& aReading) {
      for (const auto& it : aReading.mTemplates) {
        if (it.mAccount != kRoutingAccount || !aReading.mIsCurrent) {
          continue;
        }
        auto text = CollectOutcome<std::string>(
          [&] { return Decompress(it.mDocument, kMaxDocumentBytes); });
        LogEvent(kRoutingReadEvent, { { "version", it.mVersion } });
        if (text.mValue) {
          runner.AnswerLater(
            { ControlStatus::Done, std::move(*text.mValue), {} });
          return;
        }
        LogEvent(kRoutingUnreadableEvent,
                 { { "version", it.mVersion },
                   { "findings", FormatFindings(text.mFindings) } });
      }
      runner.AnswerLater({ ControlStatus::Unavailable, {}, {} });
    });
}

} // namespace

auto
HandleControlCall(Gateway& aGateway,
                  const wire::HttpRequest& aRequest,
                  const wire::ResponderPtr& aResponder) -> void
{
  std::visit(ControlCallRunner{ aGateway, aResponder },
             aGateway.mAdapter.mReadControlCall(aRequest));
}

auto
ReadStoredRouting(const Adapter& aAdapter, const StoredTemplate& aStored)
  -> leaf::result<routing::RoutingDocument>
{
  BOOST_LEAF_AUTO(text, Decompress(aStored.mDocument, kMaxDocumentBytes));
  return aAdapter.mReadRouting(text);
}

} // namespace cuminslip::gateway
