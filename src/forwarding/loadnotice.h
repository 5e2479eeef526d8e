#pragma once

#include "base/findings.h"
#include "policy/enginelanes.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// What entry instances tell each other of the work that they gave to engines.
/// A notice is whole in itself, so that one that is lost or doubled does no
/// harm. The functions are pure and thread safe.
namespace cuminslip::forwarding {

struct EngineShare
{
  /// Checksum of the endpoint's id.
  std::uint64_t mEngine = 0;
  EngineWork mWork;

  auto operator==(const EngineShare&) const -> bool = default;
};

struct LoadNotice
{
  /// Peer address of the sender.
  std::string mInstance;
  /// Grows with each notice, also over starts of the sender.
  std::uint64_t mSequence = 0;
  std::vector<EngineShare> mShares;

  auto operator==(const LoadNotice&) const -> bool = default;
};

auto
EncodeLoadNotice(const LoadNotice& aNotice) -> std::string;

/// Fails with Findings.
auto
DecodeLoadNotice(std::string_view aBytes) -> leaf::result<LoadNotice>;

} // namespace cuminslip::forwarding
