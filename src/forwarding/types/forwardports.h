#pragma once

#include "forwarding/types/forwardrequest.h"
#include "wire/connectionpool.h"
#include "wire/types/callerport.h"

#include <functional>

/// The module's dependencies, as structs of functions that tests can replace.
/// All run on the front task.
namespace cuminslip::forwarding {

/// Encodes requests and decodes answers for the external protocol.
struct EndpointCodec
{
  /// Returns the headers of a request to an endpoint.
  std::function<wire::Headers(const ForwardRequest&, const AttemptParameters&)>
    mWriteHeaders;
  /// Returns the header that the endpoint's answer must repeat.
  std::function<wire::Header(const ForwardRequest&)> mEchoOf;
  std::function<AnswerFacts(int aStatus, const wire::Headers&)> mReadAnswer;
  std::function<wire::HttpResponse(const ForwardRequest&, const Failure&)>
    mWriteFailure;
  /// Returns the request that reserves, renews or releases memory at the engine
  /// with this address.
  std::function<wire::HttpRequest(const ReservationOrder&,
                                  const std::string& aAddress)>
    mWriteReservation;
  /// Returns true when the status confirms a reservation.
  std::function<bool(int aStatus)> mIsReserved;
};

/// Has the contract of wire/connectionpool.h.
struct ExchangePort
{
  std::function<wire::ExchangeId(wire::Exchange, wire::ExchangeHandlers)>
    mStart;
  std::function<void(wire::ExchangeId)> mCancel;
};

/// Has the contract of wire/eventloop.h.
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
  /// Sends a datagram to another instance; it may be lost.
  std::function<void(const std::string& aAddress, const std::string& aBytes)>
    mSendNotice;
};

} // namespace cuminslip::forwarding
