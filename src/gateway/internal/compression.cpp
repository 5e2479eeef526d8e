#include "gateway/compression.h"

#include <zlib.h>

#include <charconv>
#include <new>

namespace cuminslip::gateway {

namespace {

/// Ends the decimal size of the content, which precedes the compressed bytes.
constexpr auto kSizeEnd = ':';

auto
DamagedDocument() -> Findings
{
  return { { { {},
               "",
               "the compressed document is damaged or too large",
               "the output of Compress" } } };
}

} // namespace

auto
Compress(std::string_view aBytes) -> std::string
{
  auto size = compressBound(aBytes.size());
  auto packed = std::string(size, '\0');
  const auto status = compress2(reinterpret_cast<Bytef*>(packed.data()),
                                &size,
                                reinterpret_cast<const Bytef*>(aBytes.data()),
                                aBytes.size(),
                                Z_BEST_SPEED);
  // NOTE: a buffer of compressBound bytes fits any input, so the call can only
  // fail for lack of memory.
  if (status != Z_OK) {
    throw std::bad_alloc();
  }
  packed.resize(size);
  return std::to_string(aBytes.size()) + kSizeEnd + packed;
}

auto
Decompress(std::string_view aBytes, std::size_t aMaxSize)
  -> leaf::result<std::string>
{
  auto size = std::size_t{ 0 };
  const auto* end = aBytes.data() + aBytes.size();
  const auto [rest, ec] = std::from_chars(aBytes.data(), end, size);
  if (ec != std::errc{} || rest == end || *rest != kSizeEnd ||
      size > aMaxSize) {
    return leaf::new_error(DamagedDocument());
  }
  auto bytes = std::string(size, '\0');
  auto written = uLongf{ size };
  const auto status = uncompress(reinterpret_cast<Bytef*>(bytes.data()),
                                 &written,
                                 reinterpret_cast<const Bytef*>(rest + 1),
                                 static_cast<uLong>(end - rest - 1));
  if (status != Z_OK || written != size) {
    return leaf::new_error(DamagedDocument());
  }
  return bytes;
}

} // namespace cuminslip::gateway
