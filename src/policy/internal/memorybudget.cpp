#include "policy/memorybudget.h"

namespace cuminslip {

namespace {

auto
IsWithin(const MemoryUse& aUse, double aShare, const MemoryRules& aRules)
  -> bool
{
  return static_cast<double>(TotalOf(aUse)) <=
         aShare * static_cast<double>(aRules.mMaxBytes);
}

} // namespace

auto
TotalOf(const MemoryUse& aUse) -> std::size_t
{
  return aUse.mReceived + aUse.mBodies + aUse.mAnswers + aUse.mUnsent;
}

auto
MayTakeBody(const MemoryUse& aUse,
            std::size_t aBodyBytes,
            const MemoryRules& aRules) -> bool
{
  if (aRules.mMaxBytes == 0 || aBodyBytes == 0) {
    return true;
  }
  const auto isSmall = aBodyBytes <= aRules.mSmallBody;
  return IsWithin(aUse, isSmall ? 1.0 : 1.0 - aRules.mSmallShare, aRules);
}

auto
MayKeepAnswer(const MemoryUse& aUse,
              std::size_t aBytes,
              const MemoryRules& aRules) -> bool
{
  const auto answers = aUse.mAnswers + aUse.mUnsent;
  if (aRules.mMaxBytes == 0 || answers == 0) {
    return true;
  }
  const auto all = MemoryUse{ TotalOf(aUse) + aBytes, 0, 0, 0 };
  return IsWithin(all, 1.0 - aRules.mSmallShare, aRules) ||
         IsWithin({ answers + aBytes, 0, 0, 0 }, aRules.mAnswerShare, aRules);
}

auto
IsBoundLeft(const MemoryUse& aUse, const MemoryRules& aRules) -> bool
{
  return IsWithin(aUse, aRules.mLeftBelow, aRules);
}

} // namespace cuminslip
