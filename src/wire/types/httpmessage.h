#pragma once

#include "wire/types/body.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP requests and responses as plain values.
namespace cuminslip::wire {

/// A header; names are lower case.
struct Header
{
  std::string mName;
  std::string mValue;

  auto operator==(const Header&) const -> bool = default;
};

using Headers = std::vector<Header>;

/// A whole request. mPath has no query; mQuery has no question mark.
struct HttpRequest
{
  std::string mMethod;
  std::string mPath;
  std::string mQuery;
  Headers mHeaders;
  Body mBody;
  /// Host that the caller named, as it came; not sent by the client.
  std::string mHost;

  auto operator==(const HttpRequest&) const -> bool = default;
};

/// A whole response.
struct HttpResponse
{
  int mStatus = 200;
  Headers mHeaders;
  std::string mBody;

  auto operator==(const HttpResponse&) const -> bool = default;
};

/// An IPv4 address and port.
struct SocketAddress
{
  std::string mHost;
  int mPort = 0;

  auto operator<=>(const SocketAddress&) const = default;
};

/// Value of the first header called aName (lower case), if there is one.
auto
FindHeader(const Headers& aHeaders, std::string_view aName)
  -> std::optional<std::string>;

/// The key of an "Authorization: Bearer KEY" header, or an empty text.
auto
BearerKey(const Headers& aHeaders) -> std::string;

/// Parses "IP:PORT"; no value when it is not an IPv4 address with a port from
/// 1 to 65535.
auto
ParseAddress(std::string_view aText) -> std::optional<SocketAddress>;

/// Formats as "IP:PORT".
auto
FormatAddress(const SocketAddress& aAddress) -> std::string;

/// A response with a JSON body.
auto
JsonResponse(int aStatus, std::string aBody) -> HttpResponse;

} // namespace cuminslip::wire
