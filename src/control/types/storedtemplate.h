#pragma once

#include "base/types/ids.h"

/// Template documents in the replicated state.
namespace cuminslip {

/// Key of the routing document, which is stored and distributed like a
/// template. No client account can have this name.
inline const auto kRoutingAccount = AccountId{ "$routing" };
/// Key of the document of evacuated failure domains, which is stored and
/// distributed like a template.
inline const auto kEvacuationsAccount = AccountId{ "$evacuations" };

/// Opaque document text; its revision is the log index that accepted it.
struct StoredTemplate
{
  AccountId mAccount;
  Revision mRevision = 0;
  std::string mDocument;
  /// Version that the publisher gave a routing document; 0 for templates.
  std::uint64_t mVersion = 0;

  auto operator==(const StoredTemplate&) const -> bool = default;
};

} // namespace cuminslip
