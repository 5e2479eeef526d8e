#pragma once

#include "peers/internal/peercontext.h"

namespace cuminslip {

/// Keeps the templates here up to date from other instances, and finds out
/// when this instance is ready. Sources in order: control instances of the own
/// failure domain, other control instances, and while no source is in touch
/// with the quorum the other instances of the domain. An instance that takes
/// part in the control log follows others only while it is isolated. Peer
/// thread only.
class TemplateFollower
{
public:
  explicit TemplateFollower(PeerContext& aContext);

  /// Begins to follow and to check readiness; goes on until destroyed.
  auto Start() -> void;

private:
  auto Follow() -> kj::Promise<void>;
  auto PullFrom(const std::string& aAddress) -> kj::Promise<void>;
  auto TakePull(const std::string& aAddress,
                capnp::Response<schema::Session::PullResults>& aResponse,
                TimePoint aSentAt) -> void;
  auto UseNextSource(const char* aReason) -> void;
  auto Sources() const -> std::vector<std::string>;

  auto CheckReadiness() -> kj::Promise<void>;
  auto AskDomain() -> kj::Promise<void>;
  auto HasSource() const -> bool;
  auto Pause(Millis aTime) -> kj::Promise<void>;

  PeerContext& mContext;
  std::size_t mSource = 0;
  TimePoint mPreferAgainAt{};
  /// The present source is in touch with the quorum.
  bool mIsFresh = false;
  /// Pages of an update that is not complete yet.
  std::vector<StoredTemplate> mPages;
  /// A ready instance of the own domain answered.
  bool mHasReadyMate = false;
};

} // namespace cuminslip
