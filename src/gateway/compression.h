#pragma once

#include "base/findings.h"

#include <cstddef>
#include <string>
#include <string_view>

/// Compression of routing documents, for storage on disk and transfer between
/// instances. They compress well since most of their content is repeated names.
/// Thread safe.
namespace cuminslip::gateway {

/// Returns the size of aBytes in decimal, followed by a zlib stream. Throws
/// std::bad_alloc when memory is lacking.
auto
Compress(std::string_view aBytes) -> std::string;

/// Fails with Findings when aBytes is not the output of Compress, or when its
/// decompressed size exceeds aMaxSize bytes.
auto
Decompress(std::string_view aBytes, std::size_t aMaxSize)
  -> leaf::result<std::string>;

} // namespace cuminslip::gateway
