#pragma once

#include "base/findings.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <string>
#include <string_view>

/// Conversions between Cap'n Proto messages and plain values, for the codecs of
/// the modules. Header only, so that this module needs no such library.
namespace cuminslip {

inline auto
TextOf(capnp::Text::Reader aText) -> std::string
{
  return { aText.cStr(), aText.size() };
}

inline auto
BytesOf(capnp::Data::Reader aData) -> std::string
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

inline auto
DataOf(std::string_view aBytes) -> capnp::Data::Reader
{
  return { reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size() };
}

inline auto
TextFrom(const std::string& aText) -> capnp::Text::Reader
{
  return { aText.c_str(), aText.size() };
}

/// Serialised form of a message.
inline auto
BytesOfMessage(capnp::MessageBuilder& aMessage) -> std::string
{
  const auto words = capnp::messageToFlatArray(aMessage);
  const auto bytes = words.asChars();
  return { bytes.begin(), bytes.size() };
}

/// Serialised form with runs of zero bytes left out, for small messages.
inline auto
PackedBytesOfMessage(capnp::MessageBuilder& aMessage) -> std::string
{
  auto output = kj::VectorOutputStream();
  capnp::writePackedMessage(output, aMessage);
  const auto bytes = output.getArray().asChars();
  return { bytes.begin(), bytes.size() };
}

/// Calls aRead with a place for the value; an exception of Cap'n Proto's
/// becomes a finding that says aExpected.
template<class Value, class Function>
auto
CatchBadMessage(const char* aExpected, Function aRead) -> leaf::result<Value>
{
  auto value = Value{};
  auto problem = kj::runCatchingExceptions([&] { aRead(value); });
  KJ_IF_MAYBE (exception, problem) {
    return leaf::new_error(
      Findings{ { { {},
                    "",
                    std::string(exception->getDescription().cStr()),
                    aExpected } } });
  }
  return value;
}

/// Reads the value with root type Root out of what PackedBytesOfMessage wrote.
template<class Root, class Value, class Function>
auto
ReadPackedMessage(std::string_view aBytes, Function aRead)
  -> leaf::result<Value>
{
  return CatchBadMessage<Value>(
    "a whole packed Cap'n Proto message", [&](Value& aValue) {
      auto input = kj::ArrayInputStream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size()));
      auto reader = capnp::PackedMessageReader(input);
      aValue = aRead(reader.getRoot<Root>());
    });
}

/// Reads the value with root type Root out of aBytes by aRead.
template<class Root, class Value, class Function>
auto
ReadMessage(std::string_view aBytes, Function aRead) -> leaf::result<Value>
{
  return CatchBadMessage<Value>(
    "a whole Cap'n Proto message", [&](Value& aValue) {
      // NOTE: the bytes need not be aligned, and may end within a word.
      const auto size = aBytes.size() / sizeof(capnp::word);
      auto words = kj::heapArray<capnp::word>(size);
      if (size > 0) {
        std::memcpy(words.begin(), aBytes.data(), size * sizeof(capnp::word));
      }
      auto options = capnp::ReaderOptions{};
      options.traversalLimitInWords = 4 * size + 1024;
      auto reader = capnp::FlatArrayMessageReader(words, options);
      aValue = aRead(reader.getRoot<Root>());
    });
}

/// Fails the reading when aIsValid is false.
inline auto
RequireValid(bool aIsValid, const char* aProblem) -> void
{
  KJ_REQUIRE(aIsValid, aProblem);
}

} // namespace cuminslip
