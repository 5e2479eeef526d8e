#pragma once

#include <boost/leaf.hpp>

#include <compare>
#include <optional>
#include <string>
#include <vector>

/// Problems found in some input, collected with their places and reported
/// together.
namespace cuminslip {

namespace leaf = boost::leaf;

/// Where in an input a finding was made. Lines and columns count from 1; 0
/// means that the place is not known.
struct Place
{
  std::string mSource;
  int mLine = 0;
  int mColumn = 0;

  auto operator<=>(const Place&) const = default;
};

/// One problem with its place, the key or item concerned and what would have
/// been right.
struct Finding
{
  Place mPlace;
  std::string mKey;
  std::string mProblem;
  std::string mExpected;

  auto operator<=>(const Finding&) const = default;
};

/// Maximum number of problems that are kept of one input, and length of each of
/// their texts in bytes. An input that is all wrong must not take more memory,
/// log and answer than a sound one.
inline constexpr auto kMaxFindings = std::size_t{ 64 };
inline constexpr auto kMaxFindingText = std::size_t{ 400 };

/// The problems of one input, in the order of discovery. Used as a LEAF error
/// object: return leaf::new_error(findings).
struct Findings
{
  std::vector<Finding> mItems;
  /// Number of problems beyond kMaxFindings.
  std::size_t mOmitted = 0;

  auto operator<=>(const Findings&) const = default;
};

/// Appends aFinding to aFindings, with its texts cut to kMaxFindingText. Only
/// counts it if there are kMaxFindings.
auto
AddFinding(Findings& aFindings, Finding aFinding) -> void;

/// True when a further finding would not be kept, so that the rest of the input
/// need not be read. Thread safe for a constant argument.
auto
IsFull(const Findings& aFindings) -> bool;

/// True when nothing was found. Thread safe for a constant argument.
auto
IsEmpty(const Findings& aFindings) -> bool;

/// Formats as "source:line:column: key: problem; expected ...".
auto
FormatFinding(const Finding& aFinding) -> std::string;

/// One line a finding, each ended by a newline, and one for those omitted.
auto
FormatFindings(const Findings& aFindings) -> std::string;

/// Splits a result into its value, or the findings it failed with. An error of
/// another kind becomes one finding without a place.
template<class T>
struct Outcome
{
  std::optional<T> mValue;
  Findings mFindings;
};

/// Runs aFunction, which returns leaf::result<T>, and collects its outcome.
template<class T, class Function>
auto
CollectOutcome(Function&& aFunction) -> Outcome<T>
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<Outcome<T>> {
      BOOST_LEAF_AUTO(value, aFunction());
      return Outcome<T>{ std::move(value), {} };
    },
    [](const Findings& aFindings) {
      return Outcome<T>{ std::nullopt, aFindings };
    },
    [] {
      return Outcome<T>{ std::nullopt,
                         { { { {}, "", "unknown error", "no error" } } } };
    });
}

} // namespace cuminslip
