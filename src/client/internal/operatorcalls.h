#pragma once

#include "client/types/options.h"
#include "wire/types/httpmessage.h"

#include <cstdint>
#include <string>

namespace cuminslip::client {

/// What is known of a call in the end.
enum class CallOutcome : std::uint8_t
{
  Answered,
  /// No attempt can have had an effect.
  NotDone,
  /// An attempt was sent and its answer was lost.
  Unknown
};

struct OperatorAnswer
{
  CallOutcome mOutcome = CallOutcome::NotDone;
  /// The last answer; status 0 when there was none.
  wire::HttpResponse mResponse{ 0, {}, "" };

  auto operator==(const OperatorAnswer&) const -> bool = default;
};

/// Calls the operator interface and blocks until an answer has come or the
/// attempts are used up. Attempts go to the instances in turn, with the same
/// body each time. An instance that answers 503 counts as not answering.
auto
CallOperator(const Options& aOptions,
             const std::string& aMethod,
             const std::string& aPath,
             const std::string& aBody) -> OperatorAnswer;

} // namespace cuminslip::client
