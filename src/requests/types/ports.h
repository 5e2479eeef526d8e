#pragma once

#include "base/clock.h"
#include "control/types/command.h"
#include "wire/httpclient.h"
#include "wire/types/callerport.h"
#include "wire/types/httpmessage.h"

#include <functional>
#include <string_view>

/// The request module's ways to the outside, each a struct of functions so
/// that tests stand in for it. All run on the front task.
namespace cuminslip::requests {

using wire::CallerPort;

/// Calls to endpoints; the contract is that of wire/httpclient.h.
struct EndpointPort
{
  std::function<wire::CallId(wire::HttpCall, wire::CallHandlers)> mStart;
  std::function<void(wire::CallId)> mCancel;
};

/// How this instance stands towards the control log.
struct ControlLogStatus
{
  bool mIsReady = false;
  bool mIsIsolated = true;
  Millis mIsolatedFor{ 0 };

  auto operator==(const ControlLogStatus&) const -> bool = default;
};

/// The control log. Replies come exactly once, on the front task, and may come
/// before mPropose returns.
struct ControlPort
{
  std::function<void(Command, std::function<void(const CommandResult&)>)>
    mPropose;
  std::function<ControlLogStatus()> mStanding;
};

/// Messages to other instances: one way, may be lost.
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
