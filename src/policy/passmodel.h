#pragma once

#include "routing/types/routingdocument.h"

/// What an engine's published timing says of reading and writing. Pure.
namespace cuminslip {

/// Milliseconds to read a prompt of aTokens on one engine without other work.
/// Thread safe.
auto
PrefillMillis(const routing::EngineTiming& aTiming, std::int64_t aTokens)
  -> double;

/// Milliseconds of a pass in which aWriters write with aContextTokens of
/// context together and nothing is read. Thread safe.
auto
PassMillis(const routing::EngineTiming& aTiming,
           std::int64_t aWriters,
           std::int64_t aContextTokens) -> double;

/// Milliseconds to write aTokens beside aWriters others, without reading.
/// Thread safe.
auto
DecodeMillis(const routing::EngineTiming& aTiming,
             std::int64_t aTokens,
             std::int64_t aWriters,
             std::int64_t aContextTokens) -> double;

} // namespace cuminslip
