#pragma once

#include "base/capnpmessage.h"
#include "control/generated/control.capnp.h"
#include "control/types/membership.h"

/// Internal functions that the codec's source files share.
namespace cuminslip {

auto
WriteMembership(schema::Membership::Builder aTo, const Membership& aFrom)
  -> void;

auto
ReadMembership(schema::Membership::Reader aFrom) -> Membership;

auto
WriteEntry(schema::LogEntry::Builder aTo, const LogEntry& aFrom) -> void;

auto
ReadEntry(schema::LogEntry::Reader aFrom) -> LogEntry;

} // namespace cuminslip
