#pragma once

#include "documents/section.h"
#include "settings/types/settings.h"

/// Reads the sections of a settings document; each adds its own findings.
namespace cuminslip::settings {

auto
ReadListenAddresses(documents::Section& aRoot) -> ListenAddresses;

/// Reads a list of instances. Where an item names no failure domain, aDomain is
/// taken.
auto
ReadInstances(documents::Section& aRoot,
              const std::string& aKey,
              const FailureDomainId& aDomain) -> std::vector<InstanceAddress>;

auto
ReadLimits(documents::Section& aRoot) -> InstanceLimits;

auto
ReadKeys(documents::Section& aRoot) -> KeySettings;

auto
ReadTls(documents::Section& aRoot) -> TlsSettings;

auto
ReadFencing(documents::Section& aRoot) -> FencingSettings;

auto
ReadWeightStore(documents::Section& aRoot) -> WeightStoreSettings;

auto
ReadPolicy(documents::Section& aRoot) -> PolicySettings;

auto
ReadAdapter(documents::Section& aRoot) -> AdapterKind;

auto
ReadDiscovery(documents::Section& aRoot) -> DiscoverySettings;

auto
ReadRetries(documents::Section& aRoot) -> RetryBudgetSettings;

auto
ReadOverload(documents::Section& aRoot) -> OverloadOptions;

/// No value when the section is absent.
auto
ReadWarmUp(documents::Section& aRoot) -> std::optional<WarmUpSettings>;

auto
ReadLog(documents::Section& aRoot) -> LogSettings;

} // namespace cuminslip::settings
