#pragma once

#include "base/findings.h"

#include <cstddef>
#include <string>
#include <string_view>

/// Compression of documents, which are mostly repeated names, on disks and
/// between instances. Thread safe.
namespace cuminslip::gateway {

auto
Compress(std::string_view aBytes) -> std::string;

/// Fails with Findings when aBytes were not written by Compress, or hold more
/// than aMaxSize.
auto
Decompress(std::string_view aBytes, std::size_t aMaxSize)
  -> leaf::result<std::string>;

} // namespace cuminslip::gateway
