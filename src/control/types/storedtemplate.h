#pragma once

#include "base/types/ids.h"

/// A template document as the control log holds it.
namespace cuminslip {

/// Opaque document text, with the position in the log that accepted it.
struct StoredTemplate
{
  AccountId mAccount;
  Revision mRevision = 0;
  std::string mDocument;

  auto operator==(const StoredTemplate&) const -> bool = default;
};

} // namespace cuminslip
