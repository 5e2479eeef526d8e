#pragma once

#include "base/findings.h"
#include "requests/types/completionrequest.h"

#include <string>
#include <string_view>

/// Parses and formats the completion API. All functions are pure and thread
/// safe.
namespace cuminslip::requests {

/// Parses the body of a completion or chat completion request. Chat
/// messages are joined to one prompt with a line "role: content" for each. On
/// failure reports all findings together.
auto
ParseCompletion(CompletionForm aForm, std::string_view aBody)
  -> leaf::result<CompletionRequest>;

/// Formats a piece of a streamed answer as a server-sent event.
auto
FormatPiece(CompletionForm aForm,
            std::string_view aRequestId,
            std::string_view aModel,
            std::string_view aText) -> std::string;

/// Formats the events that end a streamed answer: the finish reason and
/// "[DONE]".
auto
FormatEnd(CompletionForm aForm,
          std::string_view aRequestId,
          std::string_view aModel,
          std::string_view aReason) -> std::string;

/// Formats a complete answer as one JSON document.
auto
FormatAnswer(const CompletionRequest& aRequest,
             std::string_view aRequestId,
             std::string_view aText,
             std::string_view aReason,
             std::int64_t aPromptTokens,
             std::int64_t aAnswerTokens) -> std::string;

} // namespace cuminslip::requests
