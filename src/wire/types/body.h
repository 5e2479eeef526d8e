#pragma once

#include <memory>
#include <ostream>
#include <string>
#include <string_view>

namespace cuminslip::wire {

/// Bytes of a body. Copies share them, and they never change, so that a body is
/// in memory once however many hold it. Copies may be used by several threads.
class Body
{
public:
  Body() = default;

  Body(std::string aBytes)
    : mBytes(aBytes.empty()
               ? nullptr
               : std::make_shared<const std::string>(std::move(aBytes)))
  {
  }

  Body(const char* aText)
    : Body(std::string(aText))
  {
  }

  /// Takes over bytes that are shared already.
  explicit Body(std::shared_ptr<const std::string> aBytes)
    : mBytes(std::move(aBytes))
  {
  }

  /// The bytes; valid as long as any copy of the body is.
  auto Bytes() const -> const std::string&
  {
    static const auto kEmpty = std::string{};
    return mBytes == nullptr ? kEmpty : *mBytes;
  }

  operator const std::string&() const { return Bytes(); }
  operator std::string_view() const { return Bytes(); }

  auto size() const -> std::size_t { return Bytes().size(); }

  auto empty() const -> bool { return Bytes().empty(); }

  friend auto operator==(const Body& aLeft, const Body& aRight) -> bool
  {
    return aLeft.mBytes == aRight.mBytes || aLeft.Bytes() == aRight.Bytes();
  }

  friend auto operator<<(std::ostream& aOut, const Body& aBody) -> std::ostream&
  {
    return aOut << aBody.Bytes();
  }

private:
  std::shared_ptr<const std::string> mBytes;
};

} // namespace cuminslip::wire
