#include "templates/templates.h"

#include "documents/section.h"
#include "templates/internal/priorities.h"

#include <algorithm>

namespace cuminslip {

namespace {

using documents::AddProblem;
using documents::Bounds;
using documents::CloseSection;
using documents::Document;
using documents::Item;
using documents::OpenSection;
using documents::Section;

constexpr auto kCountBounds = Bounds{ 1, 1e12 };
constexpr auto kRateBounds = Bounds{ 1e-3, 1e12 };
constexpr auto kWeightBounds = Bounds{ 1e-3, 1e6 };
constexpr auto kMaxWorkKinds = std::size_t{ 64 };
constexpr auto kMaxLengthClasses = std::size_t{ 16 };

auto
DefaultLengthClasses() -> std::vector<LengthClass>
{
  return { { "short", 4000 },
           { "medium", 32000 },
           { "long", 200000 },
           { "longest", 1000000 } };
}

template<class IdType>
auto
ReadIds(Section& aRoot, const std::string& aKey, const std::string& aExpected)
  -> std::vector<IdType>
{
  const auto isGiven = documents::HasKey(aRoot, aKey);
  auto ids = std::vector<IdType>{};
  for (auto& text : documents::ReadTexts(aRoot, aKey)) {
    ids.push_back({ std::move(text) });
  }
  if (!isGiven) {
    AddProblem(aRoot, aKey, "missing", aExpected);
  } else if (ids.empty()) {
    AddProblem(aRoot, aKey, "none", aExpected);
  }
  return ids;
}

auto
CheckTimeLimits(Section& aSection, const WorkKind& aKind) -> void
{
  if (aKind.mQueueTime > aKind.mDeadline) {
    AddProblem(aSection,
               "queue_time",
               "longer than the deadline",
               "at most the deadline");
  }
  if (aKind.mFirstTokenTarget > aKind.mDeadline) {
    AddProblem(aSection,
               "first_token",
               "longer than the deadline",
               "at most the deadline");
  }
}

auto
ReadWorkKind(Document& aDocument, const Item& aItem) -> WorkKind
{
  auto section = OpenSection(aDocument, aItem);
  const auto base = WorkKind{};
  auto kind = WorkKind{};
  kind.mName.mValue = documents::RequireText(section, "name");
  kind.mPriority = documents::ReadChoice(
    section, "priority", base.mPriority, templates::kPriorityChoices);
  kind.mDeadline = documents::ReadDuration(section, "deadline", base.mDeadline);
  kind.mQueueTime = documents::ReadDuration(
    section, "queue_time", std::min(base.mQueueTime, kind.mDeadline));
  kind.mFirstTokenTarget = documents::ReadDuration(
    section, "first_token", std::min(base.mFirstTokenTarget, kind.mDeadline));
  kind.mIsIdempotent =
    documents::ReadBool(section, "idempotent", base.mIsIdempotent);
  kind.mValue =
    documents::ReadNumber(section, "value", base.mValue, kWeightBounds);
  kind.mService = documents::ReadText(section, "service");
  CheckTimeLimits(section, kind);
  CloseSection(section);
  return kind;
}

auto
ReadWorkKinds(Section& aRoot) -> std::vector<WorkKind>
{
  auto& document = *aRoot.mDocument;
  auto kinds = std::vector<WorkKind>{};
  for (const auto& item : documents::ReadItems(aRoot, "work_kinds")) {
    auto kind = ReadWorkKind(document, item);
    const auto isDuplicate =
      std::any_of(kinds.begin(), kinds.end(), [&](const auto& aOther) {
        return aOther.mName == kind.mName;
      });
    if (isDuplicate && !kind.mName.mValue.empty()) {
      AddProblem(document,
                 item,
                 "\"" + kind.mName.mValue + "\" stands twice",
                 "each kind of work once");
    }
    kinds.push_back(std::move(kind));
  }
  if (kinds.empty()) {
    AddProblem(aRoot, "work_kinds", "none", "at least one kind of work");
  }
  if (kinds.size() > kMaxWorkKinds) {
    AddProblem(aRoot,
               "work_kinds",
               "too many",
               "at most " + std::to_string(kMaxWorkKinds));
  }
  return kinds;
}

auto
CheckLengthClass(Document& aDocument,
                 const Item& aItem,
                 const std::vector<LengthClass>& aEarlier,
                 const LengthClass& aClass) -> void
{
  if (!aEarlier.empty() && aClass.mMaxTokens <= aEarlier.back().mMaxTokens) {
    AddProblem(aDocument,
               aItem,
               "max_tokens is not above the class before it",
               "ascending classes");
  }
  for (const auto& other : aEarlier) {
    if (other.mName == aClass.mName) {
      AddProblem(aDocument,
                 aItem,
                 "\"" + aClass.mName + "\" stands twice",
                 "each class once");
    }
  }
}

auto
ReadLengthClasses(Section& aRoot) -> std::vector<LengthClass>
{
  if (!documents::HasKey(aRoot, "length_classes")) {
    return DefaultLengthClasses();
  }
  auto& document = *aRoot.mDocument;
  auto classes = std::vector<LengthClass>{};
  for (const auto& item : documents::ReadItems(aRoot, "length_classes")) {
    auto section = OpenSection(document, item);
    auto lengthClass = LengthClass{};
    lengthClass.mName = documents::RequireText(section, "name");
    lengthClass.mMaxTokens =
      documents::ReadInteger(section, "max_tokens", 0, kCountBounds);
    if (!documents::HasKey(section, "max_tokens")) {
      AddProblem(section, "max_tokens", "missing", "a number of tokens");
    }
    CloseSection(section);
    CheckLengthClass(document, item, classes, lengthClass);
    classes.push_back(std::move(lengthClass));
  }
  if (classes.empty() || classes.size() > kMaxLengthClasses) {
    AddProblem(aRoot,
               "length_classes",
               "has " + std::to_string(classes.size()),
               "1 to " + std::to_string(kMaxLengthClasses));
  }
  return classes;
}

auto
ReadLimits(Section& aRoot) -> AccountLimits
{
  auto section = OpenSection(aRoot, "limits");
  const auto base = AccountLimits{};
  auto limits = AccountLimits{};
  limits.mTokensPerSecond = documents::ReadNumber(
    section, "tokens_per_second", base.mTokensPerSecond, kRateBounds);
  limits.mBurstTokens = documents::ReadNumber(
    section, "burst_tokens", base.mBurstTokens, kCountBounds);
  limits.mMaxWaitingRequests = documents::ReadInteger(
    section, "waiting_requests", base.mMaxWaitingRequests, { 1, 1e6 });
  limits.mMaxWaitingBytes =
    documents::ReadBytes(section, "waiting_bytes", base.mMaxWaitingBytes);
  limits.mWeight =
    documents::ReadNumber(section, "weight", base.mWeight, kWeightBounds);
  CloseSection(section);
  return limits;
}

auto
ReadIsolation(Section& aRoot) -> IsolationRule
{
  auto section = OpenSection(aRoot, "isolation");
  const auto base = IsolationRule{};
  auto rule = IsolationRule{};
  rule.mMayServe = documents::ReadBool(section, "may_serve", base.mMayServe);
  rule.mLongest = documents::ReadDuration(section, "longest", base.mLongest);
  CloseSection(section);
  return rule;
}

/// A template whose kinds of work all go to plain services needs no model.
auto
ReadModel(Section& aRoot, Template& aTemplate) -> void
{
  const auto& kinds = aTemplate.mWorkKinds;
  const auto needsModel =
    std::any_of(kinds.begin(), kinds.end(), [](const auto& aKind) {
      return !aKind.mService.has_value();
    });
  if (needsModel) {
    aTemplate.mModel.mValue = documents::RequireText(aRoot, "model");
    aTemplate.mVersion.mValue = documents::RequireText(aRoot, "version");
    return;
  }
  aTemplate.mModel.mValue = documents::ReadText(aRoot, "model").value_or("");
  aTemplate.mVersion.mValue =
    documents::ReadText(aRoot, "version").value_or("");
}

} // namespace

auto
ParseTemplate(const std::string& aText, const std::string& aSource)
  -> leaf::result<Template>
{
  auto document = documents::ReadDocument(aText, aSource);
  if (!IsEmpty(document.mFindings)) {
    return leaf::new_error(document.mFindings);
  }
  auto root = documents::OpenRoot(document);
  auto parsed = Template{};
  parsed.mAccount.mValue = documents::RequireText(root, "account");
  parsed.mFailureDomains = ReadIds<FailureDomainId>(
    root, "failure_domains", "at least one failure domain");
  parsed.mRegions = ReadIds<RegionId>(root, "regions", "at least one region");
  parsed.mWorkKinds = ReadWorkKinds(root);
  ReadModel(root, parsed);
  parsed.mLengthClasses = ReadLengthClasses(root);
  parsed.mLimits = ReadLimits(root);
  parsed.mIsolation = ReadIsolation(root);
  CloseSection(root);
  if (!IsEmpty(document.mFindings)) {
    return leaf::new_error(documents::TakeFindings(document));
  }
  return parsed;
}

} // namespace cuminslip
