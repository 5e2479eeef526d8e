#pragma once

#include "base/types/ids.h"

/// A template document as the control log holds it.
namespace cuminslip {

/// The routing document is kept and distributed like a template, under a name
/// that no client account can have.
inline const auto kRoutingAccount = AccountId{ "$routing" };

/// Opaque document text, with the position in the log that accepted it.
struct StoredTemplate
{
  AccountId mAccount;
  Revision mRevision = 0;
  std::string mDocument;
  /// The publisher's own number of a routing document; 0 for templates.
  std::uint64_t mVersion = 0;

  auto operator==(const StoredTemplate&) const -> bool = default;
};

} // namespace cuminslip
