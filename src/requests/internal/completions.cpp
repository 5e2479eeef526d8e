#include "requests/completions.h"

#include "base/boundedjson.h"

#include <boost/json.hpp>

namespace cuminslip::requests {

namespace {

namespace json = boost::json;

constexpr auto kMaxAnswerTokens = std::int64_t{ 65536 };
constexpr auto kSource = "request body";

auto
Report(Findings& aFindings,
       std::string aKey,
       std::string aProblem,
       std::string aExpected) -> void
{
  AddFinding(aFindings,
             { { kSource, 0, 0 },
               std::move(aKey),
               std::move(aProblem),
               std::move(aExpected) });
}

auto
ReadText(const json::object& aObject,
         const std::string& aKey,
         Findings& aFindings) -> std::string
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_string()) {
    Report(aFindings, aKey, "missing or not a string", "a string");
    return {};
  }
  return std::string(value->as_string());
}

auto
ReadMessages(const json::object& aObject, Findings& aFindings) -> std::string
{
  const auto* value = aObject.if_contains("messages");
  if (value == nullptr || !value->is_array() || value->as_array().empty()) {
    Report(aFindings, "messages", "missing or empty", "a list of messages");
    return {};
  }
  auto prompt = std::string{};
  for (const auto& item : value->as_array()) {
    if (!item.is_object()) {
      Report(aFindings,
             "messages",
             "an item is not an object",
             "a list of messages");
      return {};
    }
    prompt += ReadText(item.as_object(), "role", aFindings) + ": ";
    prompt += ReadText(item.as_object(), "content", aFindings) + "\n";
  }
  return prompt;
}

auto
ReadMaxTokens(const json::object& aObject, Findings& aFindings) -> std::int64_t
{
  const auto* value = aObject.if_contains("max_tokens");
  if (value == nullptr) {
    return CompletionRequest{}.mMaxTokens;
  }
  const auto isInRange = value->is_int64() && value->as_int64() >= 1 &&
                         value->as_int64() <= kMaxAnswerTokens;
  if (!isInRange) {
    Report(aFindings,
           "max_tokens",
           "out of range",
           "a whole number from 1 to " + std::to_string(kMaxAnswerTokens));
    return 1;
  }
  return value->as_int64();
}

auto
ReadStream(const json::object& aObject, Findings& aFindings) -> bool
{
  const auto* value = aObject.if_contains("stream");
  if (value == nullptr) {
    return false;
  }
  if (!value->is_bool()) {
    Report(aFindings, "stream", "not a boolean", "true or false");
    return false;
  }
  return value->as_bool();
}

auto
FormatEvent(const json::value& aValue) -> std::string
{
  return "data: " + json::serialize(aValue) + "\n\n";
}

auto
Envelope(std::string_view aObject,
         std::string_view aRequestId,
         std::string_view aModel,
         json::object aChoice) -> json::object
{
  return { { "id", aRequestId },
           { "object", aObject },
           { "model", aModel },
           { "choices", json::array{ std::move(aChoice) } } };
}

auto
ChunkObject(CompletionForm aForm) -> std::string_view
{
  return aForm == CompletionForm::Chat ? "chat.completion.chunk"
                                       : "text_completion";
}

} // namespace

auto
ParseCompletion(CompletionForm aForm, std::string_view aBody)
  -> leaf::result<CompletionRequest>
{
  auto ec = json::error_code{};
  const auto value = ParseJson(aBody, ec);
  auto findings = Findings{};
  if (ec || !value.is_object()) {
    Report(findings, "", "not a JSON object", "a JSON object");
    return leaf::new_error(findings);
  }
  const auto& object = value.as_object();
  auto request = CompletionRequest{};
  request.mForm = aForm;
  request.mModel = ReadText(object, "model", findings);
  request.mPrompt = aForm == CompletionForm::Chat
                      ? ReadMessages(object, findings)
                      : ReadText(object, "prompt", findings);
  request.mMaxTokens = ReadMaxTokens(object, findings);
  request.mIsStream = ReadStream(object, findings);
  if (!IsEmpty(findings)) {
    return leaf::new_error(findings);
  }
  return request;
}

auto
FormatPiece(CompletionForm aForm,
            std::string_view aRequestId,
            std::string_view aModel,
            std::string_view aText) -> std::string
{
  auto choice = json::object{ { "index", 0 }, { "finish_reason", nullptr } };
  if (aForm == CompletionForm::Chat) {
    choice["delta"] = json::object{ { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  return FormatEvent(
    Envelope(ChunkObject(aForm), aRequestId, aModel, std::move(choice)));
}

auto
FormatEnd(CompletionForm aForm,
          std::string_view aRequestId,
          std::string_view aModel,
          std::string_view aReason) -> std::string
{
  auto choice = json::object{ { "index", 0 }, { "finish_reason", aReason } };
  if (aForm == CompletionForm::Chat) {
    choice["delta"] = json::object{};
  } else {
    choice["text"] = "";
  }
  return FormatEvent(Envelope(ChunkObject(aForm), aRequestId, aModel, choice)) +
         "data: [DONE]\n\n";
}

auto
FormatAnswer(const CompletionRequest& aRequest,
             std::string_view aRequestId,
             std::string_view aText,
             std::string_view aReason,
             std::int64_t aPromptTokens,
             std::int64_t aAnswerTokens) -> std::string
{
  const auto isChat = aRequest.mForm == CompletionForm::Chat;
  auto choice = json::object{ { "index", 0 }, { "finish_reason", aReason } };
  if (isChat) {
    choice["message"] =
      json::object{ { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  auto answer = Envelope(isChat ? "chat.completion" : "text_completion",
                         aRequestId,
                         aRequest.mModel,
                         std::move(choice));
  answer["usage"] =
    json::object{ { "prompt_tokens", aPromptTokens },
                  { "completion_tokens", aAnswerTokens },
                  { "total_tokens", aPromptTokens + aAnswerTokens } };
  return json::serialize(answer);
}

} // namespace cuminslip::requests
