#pragma once

#include "base/findings.h"
#include "fakes/load/types/requestrecord.h"

#include <string>
#include <vector>

/// Raw files: one JSON line for each request. All functions are thread safe.
namespace cuminslip::fakes {

/// One line without its newline.
auto
FormatRecord(const RequestRecord& aRecord) -> std::string;

/// Reads a raw file. Fails with a finding for a line that is no record.
auto
ReadRecords(const std::string& aPath)
  -> leaf::result<std::vector<RequestRecord>>;

/// Writes a raw file. Fails with a finding when it can't be written.
auto
WriteRecords(const std::string& aPath,
             const std::vector<RequestRecord>& aRecords) -> leaf::result<void>;

} // namespace cuminslip::fakes
