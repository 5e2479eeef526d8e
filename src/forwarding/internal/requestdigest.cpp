#include "forwarding/requestdigest.h"

#include "base/digest.h"

namespace cuminslip::forwarding {

namespace {

constexpr auto kPieces = std::size_t{ 32 };
constexpr auto kPieceBytes = std::size_t{ 2048 };

/// The first and the last bytes are always in a piece.
auto
DigestBody(std::string_view aBody, std::uint64_t aSeed) -> std::uint64_t
{
  if (aBody.size() <= kPieces * kPieceBytes) {
    return Checksum(aBody, aSeed);
  }
  auto digest = Checksum(std::to_string(aBody.size()), aSeed);
  const auto last = aBody.size() - kPieceBytes;
  for (auto i = std::size_t{ 0 }; i < kPieces; ++i) {
    const auto at = last * i / (kPieces - 1);
    digest = Checksum(aBody.substr(at, kPieceBytes), digest);
  }
  return digest;
}

} // namespace

auto
DigestRequest(const wire::HttpRequest& aRequest, const AccountId& aAccount)
  -> std::uint64_t
{
  auto digest = std::uint64_t{ 0 };
  for (const auto* it : { &aRequest.mHost,
                          &aRequest.mMethod,
                          &aRequest.mPath,
                          &aRequest.mQuery,
                          &aAccount.mValue }) {
    digest = Checksum(*it, digest);
  }
  return DigestBody(aRequest.mBody, digest);
}

} // namespace cuminslip::forwarding
