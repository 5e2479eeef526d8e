#include "settings/keys.h"

#include "base/digest.h"

namespace cuminslip {

namespace {

constexpr auto kLongestKey = std::size_t{ 1024 };

auto
FindOwner(const std::vector<KeyEntry>& aEntries, std::string_view aKey)
  -> std::optional<std::string>
{
  if (aKey.empty() || aKey.size() > kLongestKey) {
    return std::nullopt;
  }
  const auto hash = Sha256Hex(aKey);
  const KeyEntry* owner = nullptr;
  // NOTE: goes through all entries, so that the time does not tell which one
  // was right.
  for (const auto& entry : aEntries) {
    if (EqualsConstantTime(entry.mSha256, hash)) {
      owner = &entry;
    }
  }
  if (owner == nullptr) {
    return std::nullopt;
  }
  return owner->mName;
}

} // namespace

auto
IdentifyCaller(const KeySettings& aKeys, std::string_view aKey)
  -> std::optional<AccountId>
{
  const auto account = FindOwner(aKeys.mCallers, aKey);
  if (!account) {
    return std::nullopt;
  }
  return AccountId{ *account };
}

auto
IdentifyOperator(const KeySettings& aKeys, std::string_view aKey)
  -> std::optional<std::string>
{
  return FindOwner(aKeys.mOperators, aKey);
}

auto
IdentifyEndpoint(const KeySettings& aKeys, std::string_view aKey)
  -> std::optional<std::string>
{
  return FindOwner(aKeys.mEndpoints, aKey);
}

auto
IsPeerKey(std::string_view aSecret, std::string_view aKey) -> bool
{
  if (aSecret.empty() || aKey.size() > kLongestKey) {
    return false;
  }
  return EqualsConstantTime(Sha256Hex(aSecret), Sha256Hex(aKey));
}

} // namespace cuminslip
