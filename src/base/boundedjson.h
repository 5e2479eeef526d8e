#pragma once

#include <boost/json.hpp>

#include <cstddef>
#include <string_view>

/// Parses JSON that others wrote. Small values take many times the memory of
/// their text, so that a body within the limit of a listener may exceed the
/// memory of the process once it is parsed.
namespace cuminslip {

/// Maximum memory of parsed JSON for each byte of its text. Documents with
/// fields that have names take a third of it.
inline constexpr auto kJsonBytesPerTextByte = std::size_t{ 10 };

/// Parses aText as boost::json::parse does. Fails with not_enough_memory when
/// the value would take more than kJsonBytesPerTextByte for each byte of aText.
/// Sets aEnd, if not null, to the number of bytes read. Thread safe.
auto
ParseJson(std::string_view aText,
          boost::json::error_code& aError,
          std::size_t* aEnd = nullptr) -> boost::json::value;

} // namespace cuminslip
