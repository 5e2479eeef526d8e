#include "fakes/engine/enginedocument.h"

#include <algorithm>

namespace cuminslip::fakes {

namespace json = boost::json;

namespace {

constexpr auto kEventsPerAnnouncement = std::size_t{ 512 };
constexpr auto kEventsKept = std::size_t{ 8192 };

auto
EventDocument(const CacheEvent& aEvent) -> json::object
{
  return { { "sequence", aEvent.mSequence },
           { "kind", aEvent.mIsStored ? "stored" : "evicted" },
           { "prefix", aEvent.mPrefix },
           { "tokens", aEvent.mTokens } };
}

} // namespace

auto
TakeCacheEvents(CacheEventLog& aLog,
                TimePoint aNow,
                Millis aDelay,
                double aLoss) -> json::object
{
  while (aLog.mEvents.size() > kEventsKept) {
    aLog.mEvents.pop_front();
  }
  auto share = std::uniform_real_distribution<double>(0, 1);
  auto events = json::array{};
  for (const auto& event : aLog.mEvents) {
    if (event.mSequence < aLog.mNextToSend) {
      continue;
    }
    if (event.mAt + aDelay > aNow || events.size() >= kEventsPerAnnouncement) {
      break;
    }
    aLog.mNextToSend = event.mSequence + 1;
    const auto isSent = event.mSequence < aLog.mResendBelow || aLoss <= 0 ||
                        share(aLog.mRandom) >= aLoss;
    if (isSent) {
      events.push_back(EventDocument(event));
    }
  }
  return { { "next_sequence", aLog.mNextToSend },
           { "events", std::move(events) } };
}

auto
ResendCacheEvents(CacheEventLog& aLog, std::uint64_t aFrom) -> void
{
  aLog.mResendBelow = std::max(aLog.mResendBelow, aLog.mNextToSend);
  aLog.mNextToSend = std::min(aFrom, aLog.mNextToSend);
}

} // namespace cuminslip::fakes
