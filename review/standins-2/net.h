#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstring>
#include <map>
#include <optional>
#include <string>

/// Blocking HTTP/1.1 on loopback sockets, for the stand-ins of the review.
namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Address
{
  std::string mHost;
  int mPort = 0;
};

inline auto
Format(const Address& aAddress) -> std::string
{
  return aAddress.mHost + ":" + std::to_string(aAddress.mPort);
}

inline auto
ParseAddress(const std::string& aText) -> Address
{
  const auto colon = aText.rfind(':');
  return { aText.substr(0, colon), std::atoi(aText.c_str() + colon + 1) };
}

inline auto
ToSystem(const Address& aAddress) -> sockaddr_in
{
  auto system = sockaddr_in{};
  system.sin_family = AF_INET;
  system.sin_port = htons(static_cast<std::uint16_t>(aAddress.mPort));
  inet_pton(AF_INET, aAddress.mHost.c_str(), &system.sin_addr);
  return system;
}

/// Returns a listening socket, or -1 if the address is taken.
inline auto
Listen(const Address& aAddress) -> int
{
  const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto system = ToSystem(aAddress);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&system), sizeof(system)) !=
        0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// Returns a connected socket whose reads and writes end after aLimit, or -1.
inline auto
Connect(const Address& aAddress, Millis aLimit) -> int
{
  const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto limit =
    timeval{ aLimit.count() / 1000, (aLimit.count() % 1000) * 1000 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const auto on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const auto system = ToSystem(aAddress);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&system), sizeof(system)) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline auto
SendAll(int aSocket, const std::string& aBytes) -> bool
{
  auto sent = std::size_t{ 0 };
  while (sent < aBytes.size()) {
    const auto n =
      send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// A request or an answer. The names of headers are in lower case.
struct Message
{
  std::string mFirstLine;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
  /// The body has arrived to its end.
  bool mIsWhole = false;
};

inline auto
HeaderOf(const Message& aMessage, const std::string& aName) -> std::string
{
  const auto it = aMessage.mHeaders.find(aName);
  return it == aMessage.mHeaders.end() ? std::string{} : it->second;
}

/// Reads messages from one connection.
class Reader
{
public:
  explicit Reader(int aSocket)
    : mSocket(aSocket)
  {
  }

  /// Returns the next message, or nothing if the connection ends before its
  /// head is whole. A body without length or chunks belongs to answers only.
  auto Read(bool aIsAnswer) -> std::optional<Message>
  {
    auto message = Message{};
    auto line = ReadLine();
    if (!line || line->empty()) {
      return std::nullopt;
    }
    message.mFirstLine = *line;
    while (true) {
      line = ReadLine();
      if (!line) {
        return std::nullopt;
      }
      if (line->empty()) {
        break;
      }
      const auto colon = line->find(':');
      auto name = line->substr(0, colon);
      for (auto& it : name) {
        it = static_cast<char>(std::tolower(it));
      }
      const auto value = line->find_first_not_of(' ', colon + 1);
      message.mHeaders[name] =
        value == std::string::npos ? "" : line->substr(value);
    }
    if (HeaderOf(message, "transfer-encoding") == "chunked") {
      message.mIsWhole = ReadChunks(message.mBody);
    } else if (message.mHeaders.contains("content-length")) {
      const auto size = static_cast<std::size_t>(
        std::atoll(HeaderOf(message, "content-length").c_str()));
      message.mIsWhole = ReadBytes(size, message.mBody);
    } else {
      message.mIsWhole = !aIsAnswer;
    }
    return message;
  }

private:
  auto Fill() -> bool
  {
    char buf[16384];
    const auto n = recv(mSocket, buf, sizeof(buf), 0);
    if (n <= 0) {
      return false;
    }
    mRest.append(buf, static_cast<std::size_t>(n));
    return true;
  }

  auto ReadLine() -> std::optional<std::string>
  {
    while (true) {
      const auto end = mRest.find("\r\n");
      if (end != std::string::npos) {
        auto line = mRest.substr(0, end);
        mRest.erase(0, end + 2);
        return line;
      }
      if (!Fill()) {
        return std::nullopt;
      }
    }
  }

  auto ReadBytes(std::size_t aSize, std::string& aTo) -> bool
  {
    while (mRest.size() < aSize) {
      if (!Fill()) {
        aTo += mRest;
        mRest.clear();
        return false;
      }
    }
    aTo += mRest.substr(0, aSize);
    mRest.erase(0, aSize);
    return true;
  }

  auto ReadChunks(std::string& aTo) -> bool
  {
    while (true) {
      const auto line = ReadLine();
      if (!line) {
        return false;
      }
      const auto size = std::strtoul(line->c_str(), nullptr, 16);
      if (!ReadBytes(size, aTo)) {
        return false;
      }
      if (!ReadLine()) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }

  int mSocket;
  std::string mRest;
};

/// One call on a connection of its own. Returns nothing without an answer.
inline auto
Call(const Address& aTo, const std::string& aRequest, Millis aLimit)
  -> std::optional<Message>
{
  const auto fd = Connect(aTo, aLimit);
  if (fd < 0) {
    return std::nullopt;
  }
  auto answer = std::optional<Message>{};
  if (SendAll(fd, aRequest)) {
    answer = Reader(fd).Read(true);
  }
  close(fd);
  return answer;
}

inline auto
StatusOf(const std::optional<Message>& aAnswer) -> int
{
  constexpr auto kStatusAt = 9;
  return aAnswer && aAnswer->mFirstLine.size() > kStatusAt
           ? std::atoi(aAnswer->mFirstLine.c_str() + kStatusAt)
           : 0;
}

/// Milliseconds of the clock that all processes of the machine share.
inline auto
NowMillis() -> long
{
  return std::chrono::duration_cast<Millis>(Clock::now().time_since_epoch())
    .count();
}

} // namespace review
