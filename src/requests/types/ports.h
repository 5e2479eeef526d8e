#pragma once

#include "base/clock.h"
#include "control/types/command.h"
#include "wire/httpclient.h"
#include "wire/types/callerport.h"
#include "wire/types/httpmessage.h"

#include <functional>
#include <string_view>

/// External dependencies of the request module. Each is a struct of functions
/// that tests can replace. All functions run on the front task.
namespace cuminslip::requests {

using wire::CallerPort;

/// Calls to endpoints; the contract is that of wire/httpclient.h.
struct EndpointPort
{
  std::function<wire::CallId(wire::HttpCall, wire::CallHandlers)> mStart;
  std::function<void(wire::CallId)> mCancel;
};

/// This instance's connection to the control log.
struct ControlLogStatus
{
  bool mIsReady = false;
  bool mIsIsolated = true;
  Millis mIsolatedFor{ 0 };

  auto operator==(const ControlLogStatus&) const -> bool = default;
};

/// Access to the control log. Each reply is called exactly once, on the front
/// task, possibly before mPropose returns.
struct ControlPort
{
  std::function<void(Command, std::function<void(const CommandResult&)>)>
    mPropose;
  std::function<ControlLogStatus()> mStanding;
};

/// Sends one-way messages to other instances. Messages may be lost.
struct PeerPort
{
  std::function<void(const std::string& aAddress, const std::string& aBytes)>
    mSend;
};

/// Timers of the front task; the contract is that of wire/eventloop.h.
struct TimerPort
{
  std::function<wire::TimerId(Micros, std::function<void()>)> mStart;
  std::function<void(wire::TimerId)> mStop;
};

} // namespace cuminslip::requests
