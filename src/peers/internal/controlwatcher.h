#pragma once

#include "peers/internal/peercontext.h"

namespace cuminslip {

/// Follows every control instance that is known, each by one open call, and
/// takes templates, endpoints and the names of other instances from all of
/// them. So no single control instance that is cut off or silent keeps news
/// away. Peer thread only.
class ControlWatcher
{
public:
  explicit ControlWatcher(PeerContext& aContext);

  /// Begins to watch; goes on until destroyed.
  auto Start() -> void;

private:
  /// What one control instance has told.
  struct Source
  {
    std::uint64_t mEpoch = 0;
    std::uint64_t mChange = 0;
    std::uint64_t mEntriesDigest = 0;
    std::vector<directory::EntryInstance> mEntries;
    bool mIsReached = false;
    /// It has answered since this instance started.
    bool mWasReached = false;
    int mFailures = 0;
    /// Pages of an update that is not complete yet.
    std::vector<StoredTemplate> mPages;
  };

  using WatchResponse = capnp::Response<schema::Session::WatchResults>;

  /// Watches those that are not watched yet.
  auto WatchNew() -> kj::Promise<void>;
  auto Watch(const std::string& aAddress) -> kj::Promise<void>;
  auto TakeResponse(const std::string& aAddress,
                    const WatchResponse& aResponse,
                    TimePoint aSentAt) -> void;
  auto TakeEndpoints(const std::string& aAddress,
                     const WatchResponse& aResponse,
                     bool aIsBack) -> void;
  auto TakeInstances(const std::string& aAddress,
                     const WatchResponse& aResponse) -> void;
  /// Passes on the entry instances of all sources if they changed.
  auto PassOnEntries() -> void;
  auto LoseSource(const std::string& aAddress, const kj::Exception& aReason)
    -> void;
  auto Pause(Millis aTime) -> kj::Promise<void>;

  PeerContext& mContext;
  std::map<std::string, Source> mSources;
  std::set<directory::EntryInstance> mEntries;
};

} // namespace cuminslip
