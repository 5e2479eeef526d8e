#include "client/internal/answers.h"
#include "client/internal/commands.h"

#include "documents/readfile.h"
#include "templates/templates.h"

#include <boost/json.hpp>

#include <random>

namespace cuminslip::client {

namespace {

namespace json = boost::json;

constexpr auto kTemplatesPath = "/operator/v1/templates/";
constexpr auto kNotFound = 404;
constexpr auto kConflict = 409;

struct TemplateFile
{
  std::string mText;
  Template mTemplate;
};

/// The template in force for a client account; no template and revision 0 when
/// there is none.
struct CurrentTemplate
{
  Revision mRevision = 0;
  std::optional<Template> mTemplate;
};

auto
LoadTemplate(const std::string& aPath) -> leaf::result<TemplateFile>
{
  BOOST_LEAF_AUTO(text, documents::ReadFile(aPath));
  BOOST_LEAF_AUTO(parsed, ParseTemplate(text, aPath));
  return TemplateFile{ std::move(text), std::move(parsed) };
}

auto
MakeRequestId() -> std::string
{
  constexpr auto kDigits = std::string_view("0123456789abcdef");
  constexpr auto kLength = 32;
  auto device = std::random_device{};
  auto digit = std::uniform_int_distribution<std::size_t>(0, 15);
  auto id = std::string{};
  for (auto i = 0; i < kLength; ++i) {
    id += kDigits[digit(device)];
  }
  return id;
}

auto
ParseCurrent(const wire::HttpResponse& aResponse, std::string_view aRevisionKey)
  -> CurrentTemplate
{
  const auto body = ParseBody(aResponse);
  const auto document = TextMember(body, "document");
  auto current = CurrentTemplate{ NumberMember(body, aRevisionKey), {} };
  if (!document.empty()) {
    current.mTemplate = CollectOutcome<Template>([&] {
                          return ParseTemplate(document, "in force");
                        }).mValue;
  }
  return current;
}

auto
ListChanges(const CurrentTemplate& aCurrent, const Template& aNew)
  -> std::vector<std::string>
{
  if (!aCurrent.mTemplate) {
    return { "the client account has no template yet" };
  }
  auto lines = std::vector<std::string>{};
  for (const auto& change : DiffTemplates(*aCurrent.mTemplate, aNew)) {
    lines.push_back(FormatChange(change));
  }
  return lines;
}

auto
PrintChanges(const Options& aOptions,
             const CurrentTemplate& aCurrent,
             const Template& aNew,
             const Output& aOutput) -> void
{
  const auto changes = ListChanges(aCurrent, aNew);
  if (aOptions.mIsJson) {
    auto items = json::array{};
    for (const auto& change : changes) {
      items.emplace_back(change);
    }
    *aOutput.mOut << json::object{ { "account", aNew.mAccount.mValue },
                                   { "current_revision", aCurrent.mRevision },
                                   { "changes", items } }
                  << "\n";
    return;
  }
  *aOutput.mOut << "in force: revision " << aCurrent.mRevision << " of "
                << aNew.mAccount.mValue << "\n";
  for (const auto& change : changes) {
    *aOutput.mOut << "  " << change << "\n";
  }
  if (changes.empty()) {
    *aOutput.mOut << "  no changes\n";
  }
}

/// Compares a template with the one in force and prints what differs.
auto
CompareWithCurrent(const Options& aOptions,
                   const Template& aNew,
                   const Output& aOutput) -> ExitCode
{
  const auto answer =
    CallOperator(aOptions, "GET", kTemplatesPath + aNew.mAccount.mValue, "");
  const auto isMissing = answer.mOutcome == CallOutcome::Answered &&
                         answer.mResponse.mStatus == kNotFound;
  if (!IsSuccess(answer) && !isMissing) {
    return ReportFailure(aOptions, answer, aOutput);
  }
  const auto current =
    isMissing ? CurrentTemplate{} : ParseCurrent(answer.mResponse, "revision");
  PrintChanges(aOptions, current, aNew, aOutput);
  const auto expected = aOptions.mExpectedRevision;
  if (expected && *expected != current.mRevision) {
    *aOutput.mErr << "expected revision " << *expected
                  << " is not the one in force\n";
    return ExitCode::Conflict;
  }
  return ExitCode::Ok;
}

auto
ReportConflict(const Options& aOptions,
               const wire::HttpResponse& aResponse,
               const Template& aNew,
               const Output& aOutput) -> ExitCode
{
  const auto current = ParseCurrent(aResponse, "current_revision");
  *aOutput.mErr << "not published: expected revision "
                << aOptions.mExpectedRevision.value_or(0) << ", but revision "
                << current.mRevision << " is in force; differences to it:\n";
  PrintChanges(aOptions, current, aNew, aOutput);
  return ExitCode::Conflict;
}

auto
Publish(const Options& aOptions,
        const TemplateFile& aFile,
        const Output& aOutput) -> ExitCode
{
  const auto& account = aFile.mTemplate.mAccount.mValue;
  const auto body = json::serialize(json::object{
    { "expected_revision", aOptions.mExpectedRevision.value_or(0) },
    { "request_id", aOptions.mRequestId },
    { "document", aFile.mText } });
  const auto answer =
    CallOperator(aOptions, "PUT", kTemplatesPath + account, body);
  const auto isConflict = answer.mOutcome == CallOutcome::Answered &&
                          answer.mResponse.mStatus == kConflict;
  if (isConflict) {
    return ReportConflict(aOptions, answer.mResponse, aFile.mTemplate, aOutput);
  }
  if (!IsSuccess(answer)) {
    return ReportFailure(aOptions, answer, aOutput);
  }
  if (aOptions.mIsJson) {
    *aOutput.mOut << answer.mResponse.mBody << "\n";
    return ExitCode::Ok;
  }
  const auto revision = NumberMember(ParseBody(answer.mResponse), "revision");
  *aOutput.mOut << account << ": revision " << revision << " accepted\n";
  return ExitCode::Ok;
}

} // namespace

auto
RunTemplatePublish(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  const auto file = CollectOutcome<TemplateFile>(
    [&] { return LoadTemplate(aOptions.mWords.at(2)); });
  if (!file.mValue) {
    return ReportFindings(aOptions, file.mFindings, aOutput);
  }
  if (aOptions.mIsDryRun) {
    return CompareWithCurrent(aOptions, file.mValue->mTemplate, aOutput);
  }
  auto options = aOptions;
  if (options.mRequestId.empty()) {
    options.mRequestId = MakeRequestId();
  }
  return Publish(options, *file.mValue, aOutput);
}

auto
RunTemplateGet(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  const auto& account = aOptions.mWords.at(2);
  const auto answer =
    CallOperator(aOptions, "GET", kTemplatesPath + account, "");
  if (!IsSuccess(answer)) {
    return ReportFailure(aOptions, answer, aOutput);
  }
  if (aOptions.mIsJson) {
    *aOutput.mOut << answer.mResponse.mBody << "\n";
    return ExitCode::Ok;
  }
  const auto body = ParseBody(answer.mResponse);
  const auto document = TextMember(body, "document");
  *aOutput.mOut << "# revision " << NumberMember(body, "revision") << " of "
                << account << "\n"
                << document;
  if (!document.ends_with('\n')) {
    *aOutput.mOut << "\n";
  }
  return ExitCode::Ok;
}

auto
RunTemplateDiff(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  const auto file = CollectOutcome<TemplateFile>(
    [&] { return LoadTemplate(aOptions.mWords.at(2)); });
  if (!file.mValue) {
    return ReportFindings(aOptions, file.mFindings, aOutput);
  }
  return CompareWithCurrent(aOptions, file.mValue->mTemplate, aOutput);
}

} // namespace cuminslip::client
