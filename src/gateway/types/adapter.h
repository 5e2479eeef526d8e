#pragma once

#include "base/findings.h"
#include "directory/types/endpointnotice.h"
#include "evacuation/types/evacuations.h"
#include "forwarding/types/forwardports.h"
#include "routing/types/routingdocument.h"

#include <functional>
#include <string>
#include <string_view>
#include <variant>

/// Translates between a gateway and the external protocol: decodes calls and
/// encodes answers. An adapter makes no decisions.
namespace cuminslip::gateway {

/// The heartbeat or the leave of an endpoint.
struct NoticeCall
{
  directory::EndpointNotice mNotice;

  auto operator==(const NoticeCall&) const -> bool = default;
};

/// An operator publishes a routing document.
struct PublishCall
{
  routing::RoutingDocument mDocument;
  /// The document as received.
  std::string mText;

  auto operator==(const PublishCall&) const -> bool = default;
};

/// An operator requests the newest routing document.
struct ReadCall
{
  auto operator==(const ReadCall&) const -> bool = default;
};

/// An operator evacuates a failure domain, or withdraws that.
struct EvacuationCall
{
  evacuation::EvacuationOrder mOrder;

  auto operator==(const EvacuationCall&) const -> bool = default;
};

/// A call that is malformed.
struct BadCall
{
  Findings mFindings;

  auto operator==(const BadCall&) const -> bool = default;
};

/// A call with an unknown method or path.
struct UnknownCall
{
  auto operator==(const UnknownCall&) const -> bool = default;
};

using ControlCall = std::variant<NoticeCall,
                                 PublishCall,
                                 ReadCall,
                                 EvacuationCall,
                                 BadCall,
                                 UnknownCall>;

enum class ControlStatus : std::uint8_t
{
  Done,
  Invalid,
  NotFound,
  /// No quorum answered in time, or the outcome is unknown.
  Unavailable
};

struct ControlAnswer
{
  ControlStatus mStatus = ControlStatus::Done;
  /// The requested document.
  std::string mText;
  Findings mFindings;

  auto operator==(const ControlAnswer&) const -> bool = default;
};

/// All functions are pure and thread safe.
struct Adapter
{
  forwarding::EndpointCodec mCodec;
  std::function<forwarding::ForwardRequest(const wire::HttpRequest&)>
    mReadRequest;
  std::function<leaf::result<routing::RoutingDocument>(std::string_view)>
    mReadRouting;
  std::function<ControlCall(const wire::HttpRequest&)> mReadControlCall;
  std::function<wire::HttpResponse(const ControlAnswer&)> mWriteControlAnswer;
  /// Path of the platform's readiness probe.
  std::string mReadyPath;
};

} // namespace cuminslip::gateway
