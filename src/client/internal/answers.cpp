#include "client/internal/answers.h"

#include "documents/findingsjson.h"

#include <boost/json.hpp>

namespace cuminslip::client {

namespace {

namespace json = boost::json;

auto
ExitCodeOf(int aStatus) -> ExitCode
{
  switch (aStatus) {
    case 401:
    case 403:
      return ExitCode::Refused;
    case 404:
      return ExitCode::NotFound;
    case 409:
      return ExitCode::Conflict;
    case 422:
      return ExitCode::Invalid;
    default:
      return ExitCode::Failed;
  }
}

auto
MessageOf(const wire::HttpResponse& aResponse) -> std::string
{
  const auto body = ParseBody(aResponse);
  auto ec = boost::system::error_code{};
  const auto* message = body.find_pointer("/error/message", ec);
  if (message != nullptr && message->is_string()) {
    return message->get_string().c_str();
  }
  return "the instance answered with status " +
         std::to_string(aResponse.mStatus);
}

auto
ReportUnanswered(const Options& aOptions,
                 const OperatorAnswer& aAnswer,
                 const Output& aOutput) -> ExitCode
{
  const auto isUnknown = aAnswer.mOutcome == CallOutcome::Unknown;
  auto message =
    std::string(isUnknown ? "no answer came; the call may have taken "
                            "effect"
                          : "no instance did it");
  if (aAnswer.mResponse.mStatus != 0) {
    message += "; last answer: " + MessageOf(aAnswer.mResponse);
  }
  if (isUnknown && !aOptions.mRequestId.empty()) {
    message +=
      "; a resend with --request-id " + aOptions.mRequestId + " is harmless";
  }
  if (aOptions.mIsJson) {
    const auto error =
      json::object{ { "type", isUnknown ? "unknown" : "unavailable" },
                    { "message", message },
                    { "request_id", aOptions.mRequestId },
                    { "ran", isUnknown ? "unknown" : "no" } };
    *aOutput.mOut << json::object{ { "error", error } } << "\n";
  } else {
    *aOutput.mErr << message << "\n";
  }
  return isUnknown ? ExitCode::Unknown : ExitCode::Unavailable;
}

} // namespace

auto
ReportFindings(const Options& aOptions,
               const Findings& aFindings,
               const Output& aOutput) -> ExitCode
{
  if (aOptions.mIsJson) {
    const auto findings = documents::FindingsToJson(aFindings);
    *aOutput.mOut << json::object{ { "findings", findings } } << "\n";
  } else {
    *aOutput.mErr << FormatFindings(aFindings);
  }
  return IsEmpty(aFindings) ? ExitCode::Ok : ExitCode::Invalid;
}

auto
ReportFailure(const Options& aOptions,
              const OperatorAnswer& aAnswer,
              const Output& aOutput) -> ExitCode
{
  if (aAnswer.mOutcome != CallOutcome::Answered) {
    return ReportUnanswered(aOptions, aAnswer, aOutput);
  }
  const auto code = ExitCodeOf(aAnswer.mResponse.mStatus);
  if (aOptions.mIsJson) {
    *aOutput.mOut << aAnswer.mResponse.mBody << "\n";
    return code;
  }
  const auto body = ParseBody(aAnswer.mResponse);
  const auto* findings =
    body.is_object() ? body.get_object().if_contains("findings") : nullptr;
  if (findings != nullptr) {
    *aOutput.mErr << FormatFindings(documents::FindingsFromJson(*findings));
    return code;
  }
  *aOutput.mErr << MessageOf(aAnswer.mResponse) << "\n";
  return code;
}

auto
IsSuccess(const OperatorAnswer& aAnswer) -> bool
{
  const auto status = aAnswer.mResponse.mStatus;
  return aAnswer.mOutcome == CallOutcome::Answered && status >= 200 &&
         status < 300;
}

auto
ParseBody(const wire::HttpResponse& aResponse) -> json::value
{
  auto ec = boost::system::error_code{};
  auto body = json::parse(aResponse.mBody, ec);
  return ec ? json::value{} : body;
}

auto
TextMember(const json::value& aValue, std::string_view aKey) -> std::string
{
  const auto* object = aValue.if_object();
  const auto* member = object == nullptr ? nullptr : object->if_contains(aKey);
  if (member == nullptr || !member->is_string()) {
    return {};
  }
  return member->get_string().c_str();
}

auto
NumberMember(const json::value& aValue, std::string_view aKey) -> std::uint64_t
{
  const auto* object = aValue.if_object();
  const auto* member = object == nullptr ? nullptr : object->if_contains(aKey);
  if (member == nullptr || !member->is_number()) {
    return 0;
  }
  auto ec = boost::system::error_code{};
  return member->to_number<std::uint64_t>(ec);
}

} // namespace cuminslip::client
