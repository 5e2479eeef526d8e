#pragma once

#include "routing/types/routingdocument.h"

/// Predicts prefill and decode times from the timing that an engine publishes.
/// Pure functions.
namespace cuminslip {

/// Returns the milliseconds to prefill a prompt of aTokens on one engine
/// without other work. Thread safe.
auto
PrefillMillis(const routing::EngineTiming& aTiming, std::int64_t aTokens)
  -> double;

/// Returns the milliseconds of a pass that decodes aWriters streams with
/// aContextTokens of context in total and prefills nothing. Thread safe.
auto
PassMillis(const routing::EngineTiming& aTiming,
           std::int64_t aWriters,
           std::int64_t aContextTokens) -> double;

/// Returns the milliseconds to decode aTokens beside aWriters other streams,
/// without prefill. Thread safe.
auto
DecodeMillis(const routing::EngineTiming& aTiming,
             std::int64_t aTokens,
             std::int64_t aWriters,
             std::int64_t aContextTokens) -> double;

} // namespace cuminslip
