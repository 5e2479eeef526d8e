#pragma once

#include "control/filesystem.h"

#include <map>
#include <memory>
#include <random>

namespace cuminslip {

/// An in-memory file system. A power loss drops unsynced data, all of it or a
/// part.
struct FakeDisk
{
  struct File
  {
    std::string mBytes;
    std::string mSynced;
  };

  /// Current names, and those that are durable.
  std::map<std::string, std::shared_ptr<File>> mNames;
  std::map<std::string, std::shared_ptr<File>> mSyncedNames;
  /// Operations until the power fails; negative for never.
  int mOperationsLeft = -1;
  bool mIsFull = false;
  /// Operations until every one is refused as on a full disk, and how many are;
  /// negative for never.
  int mOperationsUntilFull = -1;
  int mFullOperations = 0;
  bool mIsSyncFailing = false;
  std::uint64_t mFreeBytes = std::uint64_t{ 1 } << 40U;

  /// Counts one operation. False if the power has failed.
  auto ConsumeOperation() -> bool
  {
    if (mOperationsLeft == 0) {
      return false;
    }
    mOperationsLeft -= mOperationsLeft > 0 ? 1 : 0;
    return true;
  }

  /// Counts one operation. True if the disk is full for it.
  auto IsRefused() -> bool
  {
    if (mOperationsUntilFull > 0) {
      --mOperationsUntilFull;
      return false;
    }
    if (mOperationsUntilFull < 0 || mFullOperations == 0) {
      return false;
    }
    --mFullOperations;
    return true;
  }

  /// Simulates a power loss and restart. Unsynced data is lost, kept,
  /// truncated, or kept with a range of zeros.
  auto LosePower(std::mt19937_64& aRandom) -> void
  {
    mOperationsLeft = -1;
    mNames = aRandom() % 2 == 0 ? mSyncedNames : mNames;
    mSyncedNames = mNames;
    for (auto& [name, file] : mNames) {
      file->mBytes = AfterLoss(*file, aRandom);
      file->mSynced = file->mBytes;
    }
  }

  static auto AfterLoss(const File& aFile, std::mt19937_64& aRandom)
    -> std::string
  {
    const auto isAppended = aFile.mBytes.size() > aFile.mSynced.size() &&
                            aFile.mBytes.starts_with(aFile.mSynced);
    if (!isAppended) {
      return aRandom() % 2 == 0 ? aFile.mBytes : aFile.mSynced;
    }
    auto bytes = aFile.mBytes;
    const auto synced = aFile.mSynced.size();
    const auto fresh = bytes.size() - synced;
    switch (aRandom() % 4) {
      case 0:
        return aFile.mSynced;
      case 1:
        return bytes;
      case 2:
        return bytes.substr(0, synced + aRandom() % fresh);
      default: {
        const auto begin = synced + aRandom() % fresh;
        const auto size = 1 + aRandom() % (bytes.size() - begin);
        bytes.replace(begin, size, size, '\0');
        return bytes;
      }
    }
  }

  auto Append(const std::string& aPath, const std::string& aBytes) -> IoStatus
  {
    if (!ConsumeOperation()) {
      return IoStatus::Failed;
    }
    auto& file = mNames[aPath];
    if (!file) {
      file = std::make_shared<File>();
    }
    const auto isFull = mIsFull || IsRefused();
    file->mBytes += isFull ? aBytes.substr(0, aBytes.size() / 2) : aBytes;
    return isFull ? IoStatus::Full : IoStatus::Done;
  }

  auto Sync(const std::string& aPath) -> IoStatus
  {
    if (!ConsumeOperation() || mIsSyncFailing || !mNames.contains(aPath)) {
      return IoStatus::Failed;
    }
    if (IsRefused()) {
      return IoStatus::Full;
    }
    mNames[aPath]->mSynced = mNames[aPath]->mBytes;
    return IoStatus::Done;
  }

  auto Rename(const std::string& aFrom, const std::string& aTo) -> IoStatus
  {
    if (!ConsumeOperation() || !mNames.contains(aFrom)) {
      return IoStatus::Failed;
    }
    if (IsRefused()) {
      return IoStatus::Full;
    }
    mNames[aTo] = mNames[aFrom];
    mNames.erase(aFrom);
    return IoStatus::Done;
  }

  auto List(const std::string& aFolder) const
    -> std::optional<std::vector<std::string>>
  {
    auto names = std::vector<std::string>{};
    for (const auto& [path, file] : mNames) {
      names.push_back(path.substr(aFolder.size() + 1));
    }
    return names;
  }

  auto Files() -> FileSystem
  {
    auto files = FileSystem{};
    files.mList = [this](const auto& aFolder) { return List(aFolder); };
    files.mRead = [this](const auto& aPath) -> std::optional<std::string> {
      const auto it = mNames.find(aPath);
      return it == mNames.end() ? std::nullopt
                                : std::optional(it->second->mBytes);
    };
    files.mAppend = [this](const auto& aPath, const auto& aBytes) {
      return Append(aPath, aBytes);
    };
    files.mTruncate = [this](const auto& aPath, auto aSize) {
      if (!ConsumeOperation()) {
        return IoStatus::Failed;
      }
      if (IsRefused()) {
        return IoStatus::Full;
      }
      mNames[aPath]->mBytes.resize(aSize);
      return IoStatus::Done;
    };
    files.mSyncFile = [this](const auto& aPath) { return Sync(aPath); };
    files.mSyncFolder = [this](const auto&) {
      if (!ConsumeOperation()) {
        return IoStatus::Failed;
      }
      if (IsRefused()) {
        return IoStatus::Full;
      }
      mSyncedNames = mNames;
      return IoStatus::Done;
    };
    files.mRename = [this](const auto& aFrom, const auto& aTo) {
      return Rename(aFrom, aTo);
    };
    files.mRemove = [this](const auto& aPath) {
      if (!ConsumeOperation()) {
        return IoStatus::Failed;
      }
      if (!mNames.contains(aPath)) {
        return IoStatus::Done;
      }
      if (IsRefused()) {
        return IoStatus::Full;
      }
      mNames.erase(aPath);
      return IoStatus::Done;
    };
    files.mFreeBytes = [this](const auto&) { return mFreeBytes; };
    return files;
  }
};

} // namespace cuminslip
