#include "requests/types/refusal.h"

#include <boost/json.hpp>

#include <array>

namespace cuminslip::requests {

namespace {

struct RefusalRow
{
  RefusalType mType;
  std::string_view mName;
  int mStatus;
};

constexpr auto kRows = std::array{
  RefusalRow{ RefusalType::InvalidRequest, "invalid_request", 400 },
  RefusalRow{ RefusalType::Unauthorized, "unauthorized", 401 },
  RefusalRow{ RefusalType::UnknownKind, "unknown_kind", 400 },
  RefusalRow{ RefusalType::UnknownModel, "unknown_model", 404 },
  RefusalRow{ RefusalType::UnknownService, "unknown_service", 404 },
  RefusalRow{ RefusalType::NotPermitted, "not_permitted", 403 },
  RefusalRow{ RefusalType::IdempotencyConflict, "idempotency_conflict", 422 },
  RefusalRow{ RefusalType::OutcomeUnknown, "outcome_unknown", 409 },
  RefusalRow{ RefusalType::TooLarge, "too_large", 413 },
  RefusalRow{ RefusalType::RateLimited, "rate_limited", 429 },
  RefusalRow{ RefusalType::Overloaded, "overloaded", 429 },
  RefusalRow{ RefusalType::CannotMeetDeadline, "cannot_meet_deadline", 503 },
  RefusalRow{ RefusalType::NoEndpoint, "no_endpoint", 503 },
  RefusalRow{ RefusalType::Isolated, "isolated", 503 },
  RefusalRow{ RefusalType::NoQuorum, "no_quorum", 503 },
  RefusalRow{ RefusalType::NotReady, "not_ready", 503 },
  RefusalRow{ RefusalType::Stopping, "stopping", 503 },
  RefusalRow{ RefusalType::EndpointFailed, "endpoint_failed", 502 },
  RefusalRow{ RefusalType::TimedOut, "timed_out", 504 },
  RefusalRow{ RefusalType::NotFound, "not_found", 404 }
};

auto
RowOf(RefusalType aType) -> const RefusalRow&
{
  return kRows.at(static_cast<std::size_t>(aType));
}

} // namespace

auto
RefusalName(RefusalType aType) -> std::string_view
{
  return RowOf(aType).mName;
}

auto
RanName(Ran aRan) -> std::string_view
{
  switch (aRan) {
    case Ran::No:
      return "no";
    case Ran::Yes:
      return "yes";
    case Ran::Unknown:
      return "unknown";
  }
  return "unknown";
}

auto
RefusalStatus(RefusalType aType) -> int
{
  return RowOf(aType).mStatus;
}

auto
FormatRefusal(const Refusal& aRefusal, std::string_view aRequestId)
  -> std::string
{
  auto error = boost::json::object{};
  error["type"] = RefusalName(aRefusal.mType);
  error["message"] = aRefusal.mMessage;
  error["request_id"] = aRequestId;
  error["ran"] = RanName(aRefusal.mRan);
  if (aRefusal.mRetryAfter) {
    error["retry_after_ms"] = aRefusal.mRetryAfter->count();
  }
  return boost::json::serialize(boost::json::object{ { "error", error } });
}

} // namespace cuminslip::requests
