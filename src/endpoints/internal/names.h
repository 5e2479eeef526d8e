#pragma once

#include "endpoints/internal/jsonreader.h"
#include "endpoints/protocol.h"

/// Names of enum values in the endpoint protocol.
namespace cuminslip::endpoints {

inline constexpr NamedValue<EndpointKind> kEndpointKindNames[] = {
  { "model_engine", EndpointKind::ModelEngine },
  { "plain_service", EndpointKind::PlainService },
};

inline constexpr NamedValue<bool> kLeavingNames[] = {
  { "active", false },
  { "leaving", true },
};

inline constexpr NamedValue<EngineRole> kRoleNames[] = {
  { "mixed", EngineRole::Mixed },
  { "prefill", EngineRole::Prefill },
  { "decode", EngineRole::Decode },
};

inline constexpr NamedValue<CacheEventKind> kCacheEventKindNames[] = {
  { "stored", CacheEventKind::Stored },
  { "evicted", CacheEventKind::Evicted },
};

inline constexpr NamedValue<HoldingKind> kHoldingKindNames[] = {
  { "stream", HoldingKind::Stream },
  { "pin", HoldingKind::Pin },
  { "export", HoldingKind::Export },
  { "import", HoldingKind::Import },
  { "part", HoldingKind::Part },
  { "reservation", HoldingKind::Reservation },
};

inline constexpr NamedValue<OrderAction> kOrderActionNames[] = {
  { "load_model", OrderAction::LoadModel },
  { "unload_model", OrderAction::UnloadModel },
  { "load_adapter", OrderAction::LoadAdapter },
  { "unload_adapter", OrderAction::UnloadAdapter },
  { "set_role", OrderAction::SetRole },
};

inline constexpr NamedValue<OrderProgress> kOrderProgressNames[] = {
  { "running", OrderProgress::Running },
  { "done", OrderProgress::Done },
  { "failed", OrderProgress::Failed },
};

template<class T, std::size_t n>
constexpr auto
FindName(const NamedValue<T> (&aNames)[n], T aValue) -> std::string_view
{
  for (const auto& [name, meaning] : aNames) {
    if (meaning == aValue) {
      return name;
    }
  }
  return "unknown";
}

} // namespace cuminslip::endpoints
