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

/// All problems of one input, in the order of discovery. Used as a LEAF error
/// object: return leaf::new_error(findings).
struct Findings
{
  std::vector<Finding> mItems;

  auto operator<=>(const Findings&) const = default;
};

/// Appends aFinding to aFindings.
auto
AddFinding(Findings& aFindings, Finding aFinding) -> void;

/// True when nothing was found. Thread safe for a constant argument.
auto
IsEmpty(const Findings& aFindings) -> bool;

/// Formats as "source:line:column: key: problem; expected ...".
auto
FormatFinding(const Finding& aFinding) -> std::string;

/// One line a finding, each ended by a newline.
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
