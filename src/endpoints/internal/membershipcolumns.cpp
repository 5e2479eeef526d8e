#include "endpoints/internal/membershipcolumns.h"

#include <cmath>

namespace cuminslip::endpoints {

namespace {

constexpr auto kAgeUnit = Millis(10);
constexpr auto kLoadAgeUnit = Millis(50);
constexpr double kStepsPerOctave = 8.0;

auto
StepsOf(double aValue) -> double
{
  return std::log2(std::max(aValue, 0.0) + 1.0) * kStepsPerOctave;
}

auto
ValueOf(std::uint8_t aSteps) -> double
{
  return std::exp2(aSteps / kStepsPerOctave) - 1.0;
}

} // namespace

auto
EncodeAge(Millis aAge) -> std::uint16_t
{
  return Narrow<std::uint16_t>((aAge + kAgeUnit / 2) / kAgeUnit);
}

auto
DecodeAge(std::uint16_t aAge) -> Millis
{
  return aAge * kAgeUnit;
}

auto
EncodeLoadAge(Millis aAge) -> std::uint8_t
{
  return Narrow<std::uint8_t>((aAge + kLoadAgeUnit / 2) / kLoadAgeUnit);
}

auto
DecodeLoadAge(std::uint8_t aAge) -> Millis
{
  return aAge * kLoadAgeUnit;
}

auto
EncodeRate(double aRate) -> std::uint8_t
{
  return Narrow<std::uint8_t>(std::lround(StepsOf(aRate)));
}

auto
EncodeFree(std::int64_t aTokens) -> std::uint8_t
{
  const auto steps = StepsOf(static_cast<double>(aTokens));
  return Narrow<std::uint8_t>(static_cast<std::int64_t>(steps));
}

auto
EncodeQueued(std::int64_t aTokens) -> std::uint8_t
{
  const auto steps = std::ceil(StepsOf(static_cast<double>(aTokens)));
  return Narrow<std::uint8_t>(static_cast<std::int64_t>(steps));
}

auto
DecodeTokens(std::uint8_t aSteps) -> std::int64_t
{
  return std::lround(ValueOf(aSteps));
}

auto
DecodeRate(std::uint8_t aRate) -> double
{
  return ValueOf(aRate);
}

} // namespace cuminslip::endpoints
