#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstdint>
#include <limits>

/// Encoding of numbers in the columns of membership messages. Tokens and rates
/// are encoded as log2(value + 1) in steps of 1/8.
namespace cuminslip::endpoints {

/// Clamps aValue to the range from 0 to T's maximum.
template<class T>
auto
Narrow(std::int64_t aValue) -> T
{
  constexpr auto kLimit = std::int64_t{ std::numeric_limits<T>::max() };
  return static_cast<T>(std::clamp<std::int64_t>(aValue, 0, kLimit));
}

/// Encodes ages in units of 10 ms.
auto
EncodeAge(Millis aAge) -> std::uint16_t;

auto
DecodeAge(std::uint16_t aAge) -> Millis;

/// Encodes ages of loads in units of 50 ms.
auto
EncodeLoadAge(Millis aAge) -> std::uint8_t;

auto
DecodeLoadAge(std::uint8_t aAge) -> Millis;

/// Rounds rates to the nearest eighth of an octave.
auto
EncodeRate(double aRate) -> std::uint8_t;

auto
DecodeRate(std::uint8_t aRate) -> double;

/// Rounds free memory down, so that it is never overstated.
auto
EncodeFree(std::int64_t aTokens) -> std::uint8_t;

/// Rounds queued work up, so that it is never understated.
auto
EncodeQueued(std::int64_t aTokens) -> std::uint8_t;

auto
DecodeTokens(std::uint8_t aSteps) -> std::int64_t;

} // namespace cuminslip::endpoints
