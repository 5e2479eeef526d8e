#pragma once

#include "settings/types/settings.h"

#include <optional>
#include <string>
#include <string_view>

/// Tells by its key who calls an interface. Each function looks only at the
/// keys of its own interface, so that a key of another one is not known. The
/// time taken depends on the number of keys and the length of the presented
/// one, never on how much of it is right. All functions are thread safe.
namespace cuminslip {

/// The client account of a caller key; none when the key is not known.
auto
IdentifyCaller(const KeySettings& aKeys, std::string_view aKey)
  -> std::optional<AccountId>;

/// The operator's name; none when the key is not known.
auto
IdentifyOperator(const KeySettings& aKeys, std::string_view aKey)
  -> std::optional<std::string>;

/// The name of the endpoint key; none when the key is not known.
auto
IdentifyEndpoint(const KeySettings& aKeys, std::string_view aKey)
  -> std::optional<std::string>;

/// True when aKey is the secret that instances share. An empty secret is no
/// one's key.
auto
IsPeerKey(std::string_view aSecret, std::string_view aKey) -> bool;

} // namespace cuminslip
