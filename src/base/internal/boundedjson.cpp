#include "base/boundedjson.h"

#include <new>

namespace cuminslip {

namespace {

namespace json = boost::json;

/// Allocates from the heap up to a limit.
class BoundedResource final : public json::memory_resource
{
public:
  explicit BoundedResource(std::size_t aLimit)
    : mLeft(aLimit)
  {
  }

private:
  auto do_allocate(std::size_t aBytes, std::size_t aAlignment) -> void* override
  {
    if (aBytes > mLeft) {
      throw std::bad_alloc();
    }
    auto* memory = ::operator new(aBytes, std::align_val_t(aAlignment));
    mLeft -= aBytes;
    return memory;
  }

  auto do_deallocate(void* aMemory, std::size_t aBytes, std::size_t aAlignment)
    -> void override
  {
    ::operator delete(aMemory, std::align_val_t(aAlignment));
    mLeft += aBytes;
  }

  auto do_is_equal(const json::memory_resource& aOther) const noexcept
    -> bool override
  {
    return this == &aOther;
  }

  std::size_t mLeft;
};

} // namespace

auto
ParseJson(std::string_view aText, json::error_code& aError, std::size_t* aEnd)
  -> json::value
{
  constexpr auto kLeastBytes = std::size_t{ 64 } * 1024;
  const auto limit = kLeastBytes + aText.size() * kJsonBytesPerTextByte;
  // NOTE: values share the resource, so that it lives as long as they do.
  const auto storage = json::make_shared_resource<BoundedResource>(limit);
  try {
    auto parser = json::parser(storage);
    const auto n = parser.write_some(aText, aError);
    if (!aError && n < aText.size()) {
      aError = json::error::extra_data;
    }
    if (aEnd != nullptr) {
      *aEnd = n;
    }
    return aError ? json::value{} : parser.release();
  } catch (const std::bad_alloc&) {
    aError = make_error_code(boost::system::errc::not_enough_memory);
    return {};
  }
}

} // namespace cuminslip
