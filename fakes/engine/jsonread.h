#pragma once

#include "base/clock.h"

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reading of members that may be absent. All functions are thread safe.
namespace cuminslip::fakes {

/// The object that a text holds, if it does.
auto
ParseObject(std::string_view aText) -> std::optional<boost::json::object>;

/// A text member, or an empty text.
auto
TextOf(const boost::json::object& aObject, std::string_view aKey)
  -> std::string;

/// A number member as a whole number, or aDefault.
auto
WholeOf(const boost::json::object& aObject,
        std::string_view aKey,
        std::int64_t aDefault = 0) -> std::int64_t;

/// A number member, or aDefault.
auto
NumberOf(const boost::json::object& aObject,
         std::string_view aKey,
         double aDefault) -> double;

/// A truth member, or aDefault.
auto
TruthOf(const boost::json::object& aObject,
        std::string_view aKey,
        bool aDefault = false) -> bool;

/// A member in milliseconds, or aDefault.
auto
MillisOf(const boost::json::object& aObject,
         std::string_view aKey,
         Millis aDefault) -> Millis;

/// The texts of an array member; others are left out.
auto
TextsOf(const boost::json::object& aObject, std::string_view aKey)
  -> std::vector<std::string>;

/// The objects of an array member; others are left out.
auto
ObjectsOf(const boost::json::object& aObject, std::string_view aKey)
  -> std::vector<boost::json::object>;

} // namespace cuminslip::fakes
