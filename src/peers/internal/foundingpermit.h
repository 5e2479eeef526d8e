#pragma once

#include "base/types/ids.h"
#include "control/filesystem.h"

#include <string>
#include <vector>

/// The permission to found a control log, kept on the disk of a control
/// instance. The platform permits founding only at the first start of an
/// instance: without this file, a fleet whose first seed restarts before it
/// founded would never get a log.
namespace cuminslip {

/// True if this instance may found a log: its settings permit it now, or did so
/// at an earlier start with this disk and the same named control instances. The
/// file is lost with the disk, so an emptied founder can't found a second log;
/// nor can one whose settings name other instances than when it was permitted.
/// A file that can't be written is ignored. Precondition: the disk belongs to
/// no control log.
auto
KeepFoundingPermit(const FileSystem& aFiles,
                   const std::string& aFolder,
                   const std::vector<InstanceId>& aNamed,
                   bool aIsPermitted) -> bool;

} // namespace cuminslip
