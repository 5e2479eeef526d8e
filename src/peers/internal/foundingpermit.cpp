#include "peers/internal/foundingpermit.h"

#include <algorithm>

namespace cuminslip {

namespace {

constexpr auto kPermitName = "/may_found";
constexpr auto kTemporaryName = "/may_found.tmp";

auto
WritePermit(const FileSystem& aFiles,
            const std::string& aFolder,
            const std::string& aText) -> void
{
  const auto temporary = aFolder + kTemporaryName;
  const auto isWritten =
    aFiles.mRemove(temporary) == IoStatus::Done &&
    aFiles.mAppend(temporary, aText) == IoStatus::Done &&
    aFiles.mSyncFile(temporary) == IoStatus::Done &&
    aFiles.mRename(temporary, aFolder + kPermitName) == IoStatus::Done;
  if (isWritten) {
    aFiles.mSyncFolder(aFolder);
  }
}

} // namespace

auto
KeepFoundingPermit(const FileSystem& aFiles,
                   const std::string& aFolder,
                   const std::vector<InstanceId>& aNamed,
                   bool aIsPermitted) -> bool
{
  auto names = aNamed;
  std::sort(names.begin(), names.end());
  auto text = std::string{};
  for (const auto& it : names) {
    text += it.mValue + "\n";
  }
  if (aFiles.mRead(aFolder + kPermitName) == text) {
    return true;
  }
  if (aIsPermitted) {
    WritePermit(aFiles, aFolder, text);
  }
  return aIsPermitted;
}

} // namespace cuminslip
