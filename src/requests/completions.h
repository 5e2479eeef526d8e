#pragma once

#include "base/findings.h"
#include "requests/types/completionrequest.h"

#include <string>
#include <string_view>

/// The callers' request and answer forms. Pure; thread safe.
namespace cuminslip::requests {

/// Parses the body of a completion or chat completion request. Chat messages
/// become one prompt, a line "role: content" each. Fails with all findings.
auto
ParseCompletion(CompletionForm aForm, std::string_view aBody)
  -> leaf::result<CompletionRequest>;

/// One server-sent event with a piece of the answer.
auto
FormatPiece(CompletionForm aForm,
            std::string_view aRequestId,
            std::string_view aModel,
            std::string_view aText) -> std::string;

/// The events that end a streamed answer: the finish reason and "[DONE]".
auto
FormatEnd(CompletionForm aForm,
          std::string_view aRequestId,
          std::string_view aModel,
          std::string_view aReason) -> std::string;

/// A whole answer as one JSON document.
auto
FormatAnswer(const CompletionRequest& aRequest,
             std::string_view aRequestId,
             std::string_view aText,
             std::string_view aReason,
             std::int64_t aPromptTokens,
             std::int64_t aAnswerTokens) -> std::string;

} // namespace cuminslip::requests
