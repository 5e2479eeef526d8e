#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace cuminslip::client {

/// Lays a JSON answer out for people: single values first, one a line, then
/// each list of objects as a table. Keys keep their order.
auto
FormatForPeople(const boost::json::value& aValue) -> std::string;

} // namespace cuminslip::client
