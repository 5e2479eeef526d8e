#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace cuminslip::client {

/// Lays a JSON answer out for people: single values first, one a line, then
/// each list of objects as a table. Keys keep their order. Tables have the
/// columns aColumns, as "load.running_streams", or all when there are none.
auto
FormatForPeople(const boost::json::value& aValue,
                const std::vector<std::string>& aColumns = {}) -> std::string;

} // namespace cuminslip::client
