#pragma once

#include "base/findings.h"
#include "endpoints/types/announcement.h"
#include "endpoints/types/endpointmessages.h"

#include <cstddef>
#include <string>
#include <string_view>

/// Bodies and paths of the endpoint protocol; see docs/INTERFACES.md. All
/// functions are pure and thread safe. Decoding never throws: it fails with
/// Findings that list all problems of the body, up to kMaxFindings. Unknown
/// members are ignored.
namespace cuminslip::endpoints {

inline constexpr std::size_t kMaxAnnouncementBytes = std::size_t{ 1 } << 20U;
inline constexpr std::size_t kMaxAnswerBytes = std::size_t{ 64 } * 1024;
inline constexpr std::size_t kMaxIdBytes = 128;
inline constexpr std::size_t kMaxTextBytes = 256;
inline constexpr std::size_t kMaxModels = 128;
inline constexpr std::size_t kMaxAdapters = 128;
inline constexpr std::size_t kMaxCacheEvents = 4096;
inline constexpr std::size_t kMaxHoldings = 8192;
inline constexpr auto kMinInterval = Millis(50);
inline constexpr auto kMaxInterval = Millis(10000);

inline constexpr std::string_view kAnnouncePath = "/endpoint/v1/announce";
inline constexpr std::string_view kStreamsPath = "/v1/streams";
inline constexpr std::string_view kReservationsPath = "/v1/reservations";
inline constexpr std::string_view kPartsPath = "/v1/parts";
inline constexpr std::string_view kExportPath = "/v1/kv/export";
inline constexpr std::string_view kImportPath = "/v1/kv/import";
inline constexpr std::string_view kRenewPath = "/v1/holdings/renew";
inline constexpr std::string_view kStatePath = "/v1/state";
inline constexpr std::string_view kOrdersPath = "/v1/orders";

/// Path that cancels a stream.
auto
CancelPath(const AttemptId& aAttempt) -> std::string;

/// Path that resumes a stream under a new attempt.
auto
ResumePath(const AttemptId& aAttempt) -> std::string;

/// Path that releases a holding.
auto
ReleasePath(const HoldingId& aHolding) -> std::string;

/// Path that returns the progress of an order.
auto
OrderPath(std::string_view aOrder) -> std::string;

/// Parses an announcement, or the document of kStatePath.
auto
DecodeAnnouncement(std::string_view aBody) -> leaf::result<Announcement>;

auto
EncodeAnnouncement(const Announcement& aAnnouncement) -> std::string;

auto
EncodeAnnounceAnswer(const AnnounceAnswer& aAnswer) -> std::string;

auto
EncodeStreamRequest(const StreamRequest& aRequest) -> std::string;

auto
EncodeResumeRequest(const ResumeRequest& aRequest) -> std::string;

auto
EncodeReservationRequest(const ReservationRequest& aRequest) -> std::string;

auto
EncodePartRequest(const PartRequest& aRequest) -> std::string;

auto
EncodeExportRequest(const ExportRequest& aRequest) -> std::string;

auto
EncodeImportRequest(const ImportRequest& aRequest) -> std::string;

auto
EncodeRenewRequest(const RenewRequest& aRequest) -> std::string;

auto
EncodeOrder(const Order& aOrder) -> std::string;

auto
DecodePartAnswer(std::string_view aBody) -> leaf::result<PartAnswer>;

auto
DecodeOrderStatus(std::string_view aBody) -> leaf::result<OrderStatus>;

/// True only if the response body of a cancel or release confirms that the
/// memory is free.
auto
IsReleaseConfirmed(std::string_view aBody) -> bool;

/// Parses the body of a response other than 2xx. If it can't be parsed, the
/// returned refusal has mRan set, since the request may have run.
auto
DecodeRefusal(std::string_view aBody) -> Refusal;

/// Name of an order's action in the protocol.
auto
NameOf(OrderAction aAction) -> std::string_view;

/// Name of a role in the protocol.
auto
NameOf(EngineRole aRole) -> std::string_view;

/// Name of a holding's kind in the protocol.
auto
NameOf(HoldingKind aKind) -> std::string_view;

} // namespace cuminslip::endpoints
