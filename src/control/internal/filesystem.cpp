#include "control/filesystem.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <fcntl.h>
#include <unistd.h>

namespace cuminslip {

namespace {

constexpr auto kFileMode = 0600;

auto
StatusOfErrno() -> IoStatus
{
  const auto isFull = errno == ENOSPC || errno == EDQUOT;
  // NOTE: without a descriptor the file was not opened, so that the operation
  // may be tried again like one without space.
  const auto isUnopened = errno == EMFILE || errno == ENFILE;
  return isFull || isUnopened ? IoStatus::Full : IoStatus::Failed;
}

auto
List(const std::string& aFolder) -> std::optional<std::vector<std::string>>
{
  auto ec = std::error_code{};
  auto names = std::vector<std::string>{};
  auto it = std::filesystem::directory_iterator(aFolder, ec);
  for (; !ec && it != std::filesystem::directory_iterator(); it.increment(ec)) {
    names.push_back(it->path().filename().string());
  }
  if (ec) {
    return std::nullopt;
  }
  std::sort(names.begin(), names.end());
  return names;
}

auto
Read(const std::string& aPath) -> std::optional<std::string>
{
  auto stream = std::ifstream(aPath, std::ios::binary);
  if (!stream) {
    return std::nullopt;
  }
  auto bytes = std::string(std::istreambuf_iterator<char>(stream), {});
  return stream.bad() ? std::nullopt : std::optional(std::move(bytes));
}

auto
WriteAll(int aFile, const std::string& aBytes) -> IoStatus
{
  auto done = std::size_t{ 0 };
  while (done < aBytes.size()) {
    const auto n = ::write(aFile, aBytes.data() + done, aBytes.size() - done);
    if (n < 0 && errno != EINTR) {
      return StatusOfErrno();
    }
    done += n > 0 ? static_cast<std::size_t>(n) : 0;
  }
  return IoStatus::Done;
}

auto
Append(const std::string& aPath, const std::string& aBytes) -> IoStatus
{
  const auto file =
    ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (file < 0) {
    return StatusOfErrno();
  }
  const auto status = WriteAll(file, aBytes);
  const auto isClosed = ::close(file) == 0;
  return status == IoStatus::Done && !isClosed ? StatusOfErrno() : status;
}

auto
Sync(const std::string& aPath, int aFlags) -> IoStatus
{
  const auto file = ::open(aPath.c_str(), aFlags | O_CLOEXEC);
  if (file < 0) {
    return StatusOfErrno();
  }
  const auto status = ::fsync(file) == 0 ? IoStatus::Done : StatusOfErrno();
  ::close(file);
  return status;
}

auto
StatusOf(int aResult) -> IoStatus
{
  return aResult == 0 ? IoStatus::Done : StatusOfErrno();
}

auto
FreeBytes(const std::string& aFolder) -> std::uint64_t
{
  auto ec = std::error_code{};
  const auto space = std::filesystem::space(aFolder, ec);
  return ec ? 0 : space.available;
}

} // namespace

auto
LocalFileSystem() -> FileSystem
{
  auto files = FileSystem{};
  files.mList = List;
  files.mRead = Read;
  files.mAppend = Append;
  files.mTruncate = [](const std::string& aPath, std::uint64_t aSize) {
    return StatusOf(::truncate(aPath.c_str(), static_cast<off_t>(aSize)));
  };
  files.mSyncFile = [](const std::string& aPath) {
    return Sync(aPath, O_WRONLY);
  };
  files.mSyncFolder = [](const std::string& aPath) {
    return Sync(aPath, O_RDONLY | O_DIRECTORY);
  };
  files.mRename = [](const std::string& aFrom, const std::string& aTo) {
    return StatusOf(::rename(aFrom.c_str(), aTo.c_str()));
  };
  files.mRemove = [](const std::string& aPath) {
    const auto isGone = ::unlink(aPath.c_str()) == 0 || errno == ENOENT;
    return isGone ? IoStatus::Done : StatusOfErrno();
  };
  files.mFreeBytes = FreeBytes;
  return files;
}

} // namespace cuminslip
