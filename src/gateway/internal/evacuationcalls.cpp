#include "evacuation/evacuation.h"
#include "gateway/internal/gatewaystate.h"
#include "gateway/types/gatewayevents.h"

#include <algorithm>
#include <random>

namespace cuminslip::gateway {

namespace {

using evacuation::Evacuations;

/// Number of publications of one order. Each further one follows a change of
/// another failure domain.
constexpr auto kMaxPublications = 4;

auto
MakeRequestId() -> RequestId
{
  auto device = std::random_device{};
  return { "evacuation-" + std::to_string(device()) + "-" +
           std::to_string(device()) };
}

/// Carries out one order and answers exactly once. Runs on the front task; the
/// replies of the peer task are posted to it.
struct EvacuationRunner
{
  Gateway& mGateway;
  wire::ResponderPtr mResponder;
  evacuation::EvacuationOrder mOrder;
  int mPublications = 0;

  auto Answer(ControlStatus aStatus) const -> void
  {
    wire::SendResponse(
      mResponder, mGateway.mAdapter.mWriteControlAnswer({ aStatus, {}, {} }));
  }

  auto Refuse(std::string_view aReason) const -> void
  {
    LogEvent(kEvacuationRefusedEvent,
             { { "domain", mOrder.mDomain.mValue },
               { "evacuated", mOrder.mIsEvacuated },
               { "reason", aReason } });
    Answer(ControlStatus::Unavailable);
  }

  auto Accept(Revision aRevision) const -> void
  {
    LogEvent(kEvacuationChangedEvent,
             { { "domain", mOrder.mDomain.mValue },
               { "evacuated", mOrder.mIsEvacuated },
               { "revision", aRevision },
               { "publications", mPublications } });
    Answer(ControlStatus::Done);
  }

  auto Start() const -> void
  {
    // NOTE: the local copy may be old, and an order that looks done in it may
    // have been withdrawn elsewhere.
    mGateway.mPeers->ReadTemplates(
      [runner = *this](const TemplateReading& aReading) {
        wire::PostToLoop(*runner.mGateway.mLoop, [runner, reading = aReading] {
          runner.TakeReading(reading);
        });
      });
  }

  auto TakeReading(const TemplateReading& aReading) const -> void
  {
    if (!aReading.mIsCurrent) {
      Refuse("no quorum confirmed the present state");
      return;
    }
    const auto stored = std::find_if(
      aReading.mTemplates.begin(),
      aReading.mTemplates.end(),
      [](const auto& aItem) { return aItem.mAccount == kEvacuationsAccount; });
    const auto isNew = stored == aReading.mTemplates.end();
    TakePresent(isNew ? std::string{} : stored->mDocument,
                isNew ? 0 : stored->mRevision,
                std::nullopt);
  }

  /// Goes on with the present document. aRead is what the order was based on,
  /// if it met a conflict.
  auto TakePresent(const std::string& aDocument,
                   Revision aRevision,
                   const std::optional<Evacuations>& aRead) const -> void
  {
    auto present = CollectOutcome<Evacuations>([&] {
      return aDocument.empty() ? leaf::result<Evacuations>(Evacuations{})
                               : evacuation::ParseEvacuations(aDocument);
    });
    if (!present.mValue) {
      LogEvent(kEvacuationsUnreadableEvent,
               { { "revision", aRevision },
                 { "findings", FormatFindings(present.mFindings) } });
      Answer(ControlStatus::Unavailable);
      return;
    }
    if (evacuation::IsInForce(*present.mValue, mOrder)) {
      Accept(aRevision);
      return;
    }
    if (!evacuation::IsAcceptable(*present.mValue, mOrder)) {
      Refuse("too many failure domains");
      return;
    }
    if (aRead && !evacuation::IsStillDue(*aRead, *present.mValue, mOrder)) {
      Refuse("overtaken by another order");
      return;
    }
    // NOTE: an instance that was paused must not carry out an order whose
    // caller has sent it elsewhere and may have withdrawn it since.
    if (wire::IsClosed(mResponder)) {
      Refuse("the caller has left");
      return;
    }
    Publish(std::move(*present.mValue), aRevision);
  }

  auto Publish(Evacuations aPresent, Revision aRevision) const -> void
  {
    auto command = PublishCommand{};
    command.mAccount = kEvacuationsAccount;
    command.mExpectedRevision = aRevision;
    command.mRequest = MakeRequestId();
    command.mDocument =
      evacuation::FormatEvacuations(evacuation::ApplyOrder(aPresent, mOrder));
    auto next = *this;
    ++next.mPublications;
    mGateway.mPeers->Propose(
      std::move(command),
      [next, present = std::move(aPresent)](const CommandResult& aResult) {
        wire::PostToLoop(*next.mGateway.mLoop,
                         [next, present, result = aResult] {
                           next.TakeResult(present, result);
                         });
      });
  }

  auto TakeResult(const Evacuations& aRead, const CommandResult& aResult) const
    -> void
  {
    if (aResult.mStatus == CommandStatus::Accepted) {
      Accept(aResult.mRevision);
      return;
    }
    const auto isConflict = aResult.mStatus == CommandStatus::RevisionConflict;
    if (!isConflict || mPublications >= kMaxPublications) {
      Refuse(isConflict ? "too many conflicts" : "no quorum answered in time");
      return;
    }
    TakePresent(aResult.mBytes, aResult.mRevision, aRead);
  }
};

} // namespace

auto
HandleEvacuation(Gateway& aGateway,
                 const evacuation::EvacuationOrder& aOrder,
                 const wire::ResponderPtr& aResponder) -> void
{
  EvacuationRunner{ aGateway, aResponder, aOrder }.Start();
}

} // namespace cuminslip::gateway
