#pragma once

/// Compares the guards against endpoints that fail in several ways.
namespace cuminslip::bench {

/// Prints one table for each way of failing.
auto
RunHealth() -> void;

} // namespace cuminslip::bench
