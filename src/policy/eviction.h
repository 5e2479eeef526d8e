#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Decides which connection of a listener is closed first when connections or
/// memory run out: the load is a crowd that holds room and sends or reads
/// nothing, so that others are shut out. Pure functions; thread safe.
namespace cuminslip {

/// What a client does on its connection.
enum class ClientActivity : std::uint8_t
{
  /// No request has begun.
  Idle,
  Sending,
  /// Its request is served, or its answer is being sent.
  Waiting,
  /// It has its last answer.
  Leaving
};

/// One connection of a client.
struct ClientUse
{
  ClientActivity mActivity = ClientActivity::Idle;
  /// An earlier request of the connection was answered.
  bool mHasServed = false;
  /// Bytes held for it: set aside for its request, or of its answer.
  std::size_t mHeldBytes = 0;
  /// Bytes moved in about the last second.
  std::size_t mRecentBytes = 0;
  /// Time for which it has done the same.
  Millis mAge{ 0 };

  auto operator==(const ClientUse&) const -> bool = default;
};

struct EvictionRules
{
  /// A client that moves less than this in a second is slow: a body of the
  /// largest size would take minutes.
  std::size_t mSlowBytes = std::size_t{ 8 } * 1024;
  /// No client is slow before.
  Millis mSlowAfter{ 1000 };
  /// A client that reads nothing of its answer for this long has left.
  Millis mUnreadAfter{ 5000 };
  /// A new connection may take this long until its first byte comes.
  Millis mSilentAfter{ 250 };

  auto operator==(const EvictionRules&) const -> bool = default;
};

/// Returns the place of the connection that a new one takes: of those that
/// leave, then those that never sent a request, then other idle ones, the
/// oldest; then the slowest sender. Requests that are served keep theirs.
auto
ChooseToClose(const std::vector<ClientUse>& aClients,
              const EvictionRules& aRules) -> std::optional<std::size_t>;

/// Returns the place of the connection that gives its memory back: of the slow
/// senders and of those that read nothing, the one that holds most, for as
/// long.
auto
ChooseToRelease(const std::vector<ClientUse>& aClients,
                const EvictionRules& aRules) -> std::optional<std::size_t>;

} // namespace cuminslip
