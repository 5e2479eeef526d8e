#pragma once

#include "fakes/engine/internal/engineserverstate.h"

#include <functional>
#include <optional>

namespace cuminslip::fakes {

/// One request on its way through the handlers.
struct Exchange
{
  EngineServer* mServer;
  boost::json::object mBody;
  wire::ResponderPtr mResponder;
  std::vector<std::string> mPath;
};

/// Sends a JSON body.
auto
Answer(const Exchange& aExchange, int aStatus, const boost::json::object& aBody)
  -> void;

/// Refuses before anything ran.
auto
Refuse(const Exchange& aExchange, const Verdict& aVerdict) -> void;

/// Sends aBody, or the refusal.
auto
AnswerVerdict(const Exchange& aExchange,
              const Verdict& aVerdict,
              const boost::json::object& aBody) -> void;

/// What another engine is told of a holding, if it is there.
auto
HoldingContents(const EngineServer& aServer, const std::string& aId)
  -> std::optional<boost::json::object>;

/// Asks the engine that has a holding for its contents.
auto
FetchHolding(
  EngineServer& aServer,
  const std::string& aAddress,
  const std::string& aHolding,
  const std::function<void(std::optional<boost::json::object>)>& aDone) -> void;

/// Finds the digest up to the end of the last of aParts; 0 when there are none.
auto
FindDigest(EngineServer& aServer,
           const std::vector<boost::json::object>& aParts,
           const std::function<void(std::optional<std::uint64_t>)>& aDone)
  -> void;

auto
HandleStream(const Exchange& aExchange) -> void;

auto
HandleCancel(const Exchange& aExchange) -> void;

auto
HandleResume(const Exchange& aExchange) -> void;

auto
HandleReservation(const Exchange& aExchange) -> void;

auto
HandlePart(const Exchange& aExchange) -> void;

auto
HandleExport(const Exchange& aExchange) -> void;

auto
HandleImport(const Exchange& aExchange) -> void;

auto
HandleRenew(const Exchange& aExchange) -> void;

auto
HandleRelease(const Exchange& aExchange) -> void;

auto
AnswerHolding(const Exchange& aExchange) -> void;

} // namespace cuminslip::fakes
