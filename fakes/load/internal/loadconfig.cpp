#include "fakes/load/loadconfig.h"

#include "fakes/engine/yamlread.h"

namespace cuminslip::fakes {

namespace {

auto
ReadAccount(YamlReading& aReading,
            const YAML::Node& aNode,
            LoadAccount& aAccount) -> void
{
  ReadMap(aReading,
          aNode,
          { { "name", Into(aAccount.mName) },
            { "key", Into(aAccount.mKey) },
            { "model", Into(aAccount.mModel) },
            { "version", Into(aAccount.mVersion) },
            { "weight", Into(aAccount.mWeight) },
            { "prefix_share", Into(aAccount.mPrefixShare) },
            { "prefixes", Into(aAccount.mPrefixes) },
            { "prefix_tokens", Into(aAccount.mPrefixTokens) } });
}

auto
ReadKind(YamlReading& aReading, const YAML::Node& aNode, LoadKind& aKind)
  -> void
{
  ReadMap(aReading,
          aNode,
          { { "name", Into(aKind.mName) },
            { "max_prompt_tokens", Into(aKind.mMaxPromptTokens) },
            { "min_answer_tokens", Into(aKind.mMinAnswerTokens) },
            { "max_answer_tokens", Into(aKind.mMaxAnswerTokens) },
            { "allowance_ms", IntoMillis(aKind.mAllowance) } });
}

auto
ReadService(YamlReading& aReading,
            const YAML::Node& aNode,
            LoadService& aService) -> void
{
  ReadMap(aReading,
          aNode,
          { { "name", Into(aService.mName) },
            { "kind", Into(aService.mKind) },
            { "share", Into(aService.mShare) },
            { "allowance_ms", IntoMillis(aService.mAllowance) } });
}

auto
ReadPhase(YamlReading& aReading, const YAML::Node& aNode, LoadPhase& aPhase)
  -> void
{
  ReadMap(aReading,
          aNode,
          { { "name", Into(aPhase.mName) },
            { "seconds", Into(aPhase.mSeconds) },
            { "factor", Into(aPhase.mFactor) } });
}

auto
ReadLengths(YamlReading& aReading,
            const YAML::Node& aNode,
            LoadLengths& aLengths) -> void
{
  ReadMap(aReading,
          aNode,
          { { "least", Into(aLengths.mLeast) },
            { "long_from", Into(aLengths.mLongFrom) },
            { "most", Into(aLengths.mMost) },
            { "long_share", Into(aLengths.mLongShare) } });
}

auto
CheckLists(YamlReading& aReading,
           const YAML::Node& aRoot,
           const LoadSettings& aSettings) -> void
{
  const auto check = [&](const std::string& aKey, bool aIsEmpty) {
    if (aIsEmpty) {
      AddAt(aReading, aRoot, aKey, "empty", "at least one item");
    }
  };
  check("targets", aSettings.mTargets.empty());
  check("accounts", aSettings.mAccounts.empty());
  check("kinds", aSettings.mKinds.empty());
  check("phases", aSettings.mPhases.empty());
}

} // namespace

auto
ReadLoadSettings(const std::string& aText, const std::string& aSource)
  -> leaf::result<LoadSettings>
{
  auto reading = YamlReading{ aSource, {} };
  auto settings = LoadSettings{};
  const auto account = LoadAccount{};
  const auto kind = LoadKind{};
  const auto service = LoadService{};
  const auto phase = LoadPhase{};
  ReadYaml(reading, aText, [&](const YAML::Node& aRoot) {
    ReadMap(
      reading,
      aRoot,
      { { "targets", Into(settings.mTargets) },
        { "direct", Into(settings.mIsDirect) },
        { "seed", Into(settings.mSeed) },
        { "requests_per_second", Into(settings.mRequestsPerSecond) },
        { "only_up_to", Into(settings.mOnlyUpTo) },
        { "max_attempts", Into(settings.mMaxAttempts) },
        { "lengths",
          [&](const YAML::Node& aNode) {
            ReadLengths(reading, aNode, settings.mLengths);
          } },
        { "accounts",
          IntoList(reading, settings.mAccounts, account, ReadAccount) },
        { "kinds", IntoList(reading, settings.mKinds, kind, ReadKind) },
        { "services",
          IntoList(reading, settings.mServices, service, ReadService) },
        { "phases", IntoList(reading, settings.mPhases, phase, ReadPhase) } });
    CheckLists(reading, aRoot, settings);
  });
  if (!IsEmpty(reading.mFindings)) {
    return leaf::new_error(reading.mFindings);
  }
  return settings;
}

} // namespace cuminslip::fakes
