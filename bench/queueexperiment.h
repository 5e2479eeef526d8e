#pragma once

/// Fair shares, and overload by a burst with callers that come back, at one
/// instance in front of a few engines.
namespace cuminslip::bench {

auto
RunFairness() -> void;

auto
RunBurst() -> void;

} // namespace cuminslip::bench
