#include "documents/section.h"

#include "documents/internal/sectionaccess.h"
#include "documents/units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace cuminslip::documents {

namespace {

auto
FormatNumber(double aNumber) -> std::string
{
  auto buf = std::array<char, 32>{};
  const auto [end, ec] =
    std::to_chars(buf.data(), buf.data() + buf.size(), aNumber);
  return { buf.data(), end };
}

auto
Describe(const Bounds& aBounds) -> std::string
{
  return "from " + FormatNumber(aBounds.mLowest) + " to " +
         FormatNumber(aBounds.mHighest);
}

template<class T>
auto
ParseWhole(const std::string& aText) -> std::optional<T>
{
  auto value = T{};
  const auto* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, value);
  if (ec != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return value;
}

/// Reads the scalar at aKey by aParse; aIsAllowed tells whether it may stand.
template<class T, class Parse, class IsAllowed>
auto
ReadParsed(Section& aSection,
           const std::string& aKey,
           T aFallback,
           const std::string& aExpected,
           const Parse& aParse,
           const IsAllowed& aIsAllowed) -> T
{
  const auto item = TakeScalar(aSection, aKey, aExpected);
  if (!item) {
    return aFallback;
  }
  const auto& text = item->mNode.Scalar();
  const auto value = aParse(text);
  if (!value || !aIsAllowed(*value)) {
    AddProblem(*aSection.mDocument, *item, "is " + Quote(text), aExpected);
    return aFallback;
  }
  return *value;
}

} // namespace

auto
ReadBool(Section& aSection, const std::string& aKey, bool aFallback) -> bool
{
  return ReadParsed(
    aSection,
    aKey,
    aFallback,
    "true or false",
    [](const std::string& aText) -> std::optional<bool> {
      if (aText == "true") {
        return true;
      }
      return aText == "false" ? std::optional(false) : std::nullopt;
    },
    [](bool) { return true; });
}

auto
ReadInteger(Section& aSection,
            const std::string& aKey,
            std::int64_t aFallback,
            const Bounds& aBounds) -> std::int64_t
{
  return ReadParsed(aSection,
                    aKey,
                    aFallback,
                    "a whole number " + Describe(aBounds),
                    ParseWhole<std::int64_t>,
                    [&](std::int64_t aValue) {
                      const auto value = static_cast<double>(aValue);
                      return value >= aBounds.mLowest &&
                             value <= aBounds.mHighest;
                    });
}

auto
ReadNumber(Section& aSection,
           const std::string& aKey,
           double aFallback,
           const Bounds& aBounds) -> double
{
  return ReadParsed(aSection,
                    aKey,
                    aFallback,
                    "a number " + Describe(aBounds),
                    ParseWhole<double>,
                    [&](double aValue) {
                      return std::isfinite(aValue) &&
                             aValue >= aBounds.mLowest &&
                             aValue <= aBounds.mHighest;
                    });
}

auto
ReadDuration(Section& aSection, const std::string& aKey, Millis aFallback)
  -> Millis
{
  return ReadParsed(aSection,
                    aKey,
                    aFallback,
                    "a duration above zero in ms, s, min or h, as \"2 s\"",
                    ParseDuration,
                    [](Millis aValue) { return aValue > Millis(0); });
}

auto
ReadBytes(Section& aSection, const std::string& aKey, std::int64_t aFallback)
  -> std::int64_t
{
  return ReadParsed(aSection,
                    aKey,
                    aFallback,
                    "a size above zero in B, KiB, MiB or GiB, as \"8 MiB\"",
                    ParseBytes,
                    [](std::int64_t aValue) { return aValue > 0; });
}

auto
ReadChoiceIndex(Section& aSection,
                const std::string& aKey,
                const std::vector<std::string_view>& aNames)
  -> std::optional<std::size_t>
{
  auto expected = std::string("one of ");
  for (const auto& name : aNames) {
    expected += (name == aNames.front() ? "" : ", ") + std::string(name);
  }
  const auto item = TakeScalar(aSection, aKey, expected);
  if (!item) {
    return std::nullopt;
  }
  const auto& text = item->mNode.Scalar();
  const auto it = std::find(aNames.begin(), aNames.end(), text);
  if (it == aNames.end()) {
    AddProblem(*aSection.mDocument, *item, "is " + Quote(text), expected);
    return std::nullopt;
  }
  return static_cast<std::size_t>(it - aNames.begin());
}

} // namespace cuminslip::documents
