#include "wire/types/httpmessage.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace cuminslip::wire {

auto
FindHeader(const Headers& aHeaders, std::string_view aName)
  -> std::optional<std::string>
{
  const auto it =
    std::find_if(aHeaders.begin(), aHeaders.end(), [&](const auto& aHeader) {
      return aHeader.mName == aName;
    });
  if (it == aHeaders.end()) {
    return std::nullopt;
  }
  return it->mValue;
}

auto
BearerKey(const Headers& aHeaders) -> std::string
{
  constexpr auto kScheme = std::string_view("Bearer ");
  const auto value = FindHeader(aHeaders, "authorization").value_or("");
  if (!value.starts_with(kScheme)) {
    return {};
  }
  return value.substr(kScheme.size());
}

auto
ParseAddress(std::string_view aText) -> std::optional<SocketAddress>
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto host = std::string(aText.substr(0, colon));
  const auto digits = aText.substr(colon + 1);
  auto port = 0;
  const auto [end, ec] =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  auto binary = in_addr{};
  const auto isPort = ec == std::errc{} &&
                      end == digits.data() + digits.size() && port >= 1 &&
                      port <= 65535;
  if (!isPort || inet_pton(AF_INET, host.c_str(), &binary) != 1) {
    return std::nullopt;
  }
  return SocketAddress{ host, port };
}

auto
FormatAddress(const SocketAddress& aAddress) -> std::string
{
  return aAddress.mHost + ":" + std::to_string(aAddress.mPort);
}

auto
JsonResponse(int aStatus, std::string aBody) -> HttpResponse
{
  return { aStatus,
           { { "content-type", "application/json" } },
           std::move(aBody) };
}

} // namespace cuminslip::wire
