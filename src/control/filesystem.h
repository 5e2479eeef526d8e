#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// The file operations that the control log's storage needs, as functions, so
/// that a test can put a fake in their place.
namespace cuminslip {

enum class IoStatus : std::uint8_t
{
  Done,
  /// No space is left; part of the bytes may have been written.
  Full,
  Failed
};

/// Paths are absolute or relative to the working folder. Nothing is durable
/// before SyncFile of a file, and SyncFolder of its folder for its name.
struct FileSystem
{
  /// Names in a folder, sorted; none when it can't be read.
  std::function<std::optional<std::vector<std::string>>(const std::string&)>
    mList;
  /// Whole content; none when it can't be read.
  std::function<std::optional<std::string>(const std::string&)> mRead;
  /// Writes at the end; creates the file if there is none.
  std::function<IoStatus(const std::string&, const std::string&)> mAppend;
  std::function<IoStatus(const std::string&, std::uint64_t)> mTruncate;
  std::function<IoStatus(const std::string&)> mSyncFile;
  std::function<IoStatus(const std::string&)> mSyncFolder;
  std::function<IoStatus(const std::string&, const std::string&)> mRename;
  std::function<IoStatus(const std::string&)> mRemove;
  /// Space left in the folder, in bytes.
  std::function<std::uint64_t(const std::string&)> mFreeBytes;
};

/// The machine's file system. Not for concurrent use of one path.
auto
LocalFileSystem() -> FileSystem;

} // namespace cuminslip
