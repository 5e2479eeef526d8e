#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// File operations of the control store, as function objects that tests can
/// replace with fakes.
namespace cuminslip {

enum class IoStatus : std::uint8_t
{
  Done,
  /// No space or no descriptor is left; some of the bytes may have been
  /// written.
  Full,
  Failed
};

/// Paths are absolute or relative to the working folder. File contents are
/// durable after mSyncFile, and file names after mSyncFolder of their folder.
struct FileSystem
{
  /// Sorted names in a folder; none when it can't be read.
  std::function<std::optional<std::vector<std::string>>(const std::string&)>
    mList;
  /// Whole contents of a file; none when it can't be read.
  std::function<std::optional<std::string>(const std::string&)> mRead;
  /// Appends to a file and creates it if it does not exist.
  std::function<IoStatus(const std::string&, const std::string&)> mAppend;
  /// Sets the size of a file, in bytes.
  std::function<IoStatus(const std::string&, std::uint64_t)> mTruncate;
  std::function<IoStatus(const std::string&)> mSyncFile;
  std::function<IoStatus(const std::string&)> mSyncFolder;
  /// Renames the first path to the second, replacing an existing file.
  std::function<IoStatus(const std::string&, const std::string&)> mRename;
  /// Done also if there is no such file.
  std::function<IoStatus(const std::string&)> mRemove;
  /// Free space in bytes on the folder's file system; 0 when unknown.
  std::function<std::uint64_t(const std::string&)> mFreeBytes;
};

/// The local file system. Concurrent use of one path is not safe.
auto
LocalFileSystem() -> FileSystem;

} // namespace cuminslip
