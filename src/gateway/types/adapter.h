#pragma once

#include "base/findings.h"
#include "directory/types/endpointnotice.h"
#include "forwarding/types/forwardports.h"
#include "routing/types/routingdocument.h"

#include <functional>
#include <string>
#include <string_view>
#include <variant>

/// What a gateway needs of the interfaces around it: how calls are read and
/// answers written. An adapter translates and decides nothing.
namespace cuminslip::gateway {

/// An endpoint says how it is, or that it leaves.
struct NoticeCall
{
  directory::EndpointNotice mNotice;

  auto operator==(const NoticeCall&) const -> bool = default;
};

/// An operator publishes a routing document.
struct PublishCall
{
  routing::RoutingDocument mDocument;
  /// The document as it came.
  std::string mText;

  auto operator==(const PublishCall&) const -> bool = default;
};

/// An operator asks for the newest routing document.
struct ReadCall
{
  auto operator==(const ReadCall&) const -> bool = default;
};

/// A call that can't be read.
struct BadCall
{
  Findings mFindings;

  auto operator==(const BadCall&) const -> bool = default;
};

struct UnknownCall
{
  auto operator==(const UnknownCall&) const -> bool = default;
};

using ControlCall =
  std::variant<NoticeCall, PublishCall, ReadCall, BadCall, UnknownCall>;

enum class ControlStatus : std::uint8_t
{
  Done,
  Invalid,
  NotFound,
  /// No quorum answered in time, or this instance can't be sure.
  Unavailable
};

struct ControlAnswer
{
  ControlStatus mStatus = ControlStatus::Done;
  /// A document that was asked for.
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
  /// Path at which the platform asks whether an instance takes callers.
  std::string mReadyPath;
};

} // namespace cuminslip::gateway
