#pragma once

#include "forwarding/types/forwardrequest.h"
#include "wire/connectionpool.h"
#include "wire/types/callerport.h"

#include <functional>

/// The module's ways to the outside, structs of functions so that tests stand
/// in for them. All run on the front task.
namespace cuminslip::forwarding {

/// How requests and answers are written on the wire.
struct EndpointCodec
{
  /// Headers of a request as the endpoint takes it.
  std::function<wire::Headers(const ForwardRequest&, const SendFacts&)>
    mWriteHeaders;
  /// The header that the endpoint's answer to this request repeats.
  std::function<wire::Header(const ForwardRequest&)> mEchoOf;
  std::function<AnswerFacts(int aStatus, const wire::Headers&)> mReadAnswer;
  std::function<wire::HttpResponse(const ForwardRequest&, const Failure&)>
    mWriteFailure;
  /// The order as the engine at an address takes it.
  std::function<wire::HttpRequest(const ReservationOrder&,
                                  const std::string& aAddress)>
    mWriteReservation;
  /// True when the answer says that the memory is set aside.
  std::function<bool(int aStatus)> mIsReserved;
};

/// The contract is that of wire/connectionpool.h.
struct ExchangePort
{
  std::function<wire::ExchangeId(wire::Exchange, wire::ExchangeHandlers)>
    mStart;
  std::function<void(wire::ExchangeId)> mCancel;
};

/// The contract is that of wire/eventloop.h.
struct TimerPort
{
  std::function<wire::TimerId(Micros, std::function<void()>)> mStart;
  std::function<void(wire::TimerId)> mStop;
};

struct ForwardPorts
{
  NowFunction mNow;
  EndpointCodec mCodec;
  ExchangePort mExchanges;
  TimerPort mTimers;
  /// Sends bytes to another instance; they may be lost.
  std::function<void(const std::string& aAddress, const std::string& aBytes)>
    mSendNotice;
};

} // namespace cuminslip::forwarding
