#include "endpoints/protocol.h"
#include "endpoints/tests/domainfake.h"

#include <ctime>
#include <iomanip>
#include <iostream>

/// Measures the cost per instance as the number of endpoints and instances of a
/// failure domain grows.
using namespace cuminslip;
using namespace cuminslip::endpoints;

namespace {

constexpr std::size_t kSeconds = 20;
constexpr auto kAnnounceInterval = Millis(500);

/// CPU time of this thread in microseconds.
auto
ProcessorMicros() -> double
{
  auto time = timespec{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

/// Announces every endpoint aTimes times, each time to another instance.
auto
AnnounceFor(FakeDomain& aDomain,
            std::size_t aInstances,
            std::size_t aEndpoints,
            std::size_t aTimes,
            std::uint64_t& aSequence) -> void
{
  const auto step = kAnnounceInterval / static_cast<int>(aEndpoints + 1);
  for (std::size_t i = 0; i < aTimes; ++i) {
    ++aSequence;
    for (std::size_t e = 0; e < aEndpoints; ++e) {
      Announce(aDomain,
               AddressOf((e * 31 + aSequence * 17) % aInstances),
               AnnouncementOf(e, aSequence));
      RunFor(aDomain, step);
    }
    RunFor(aDomain, kAnnounceInterval - step * static_cast<int>(aEndpoints));
  }
}

auto
MeasureSharing(std::size_t aInstances, std::size_t aEndpoints) -> void
{
  auto domain = FakeDomain{};
  for (std::size_t i = 0; i < aInstances; ++i) {
    StartInstance(domain, i);
  }
  RunFor(domain, Seconds(4));
  auto sequence = std::uint64_t{ 0 };
  AnnounceFor(domain, aInstances, aEndpoints, 12, sequence);
  for (auto& [address, instance] : domain.mInstances) {
    instance.mBytesSent = 0;
    instance.mBytesReceived = 0;
    instance.mMessagesSent = 0;
  }
  const auto before = ProcessorMicros();
  AnnounceFor(domain, aInstances, aEndpoints, 2 * kSeconds, sequence);
  const auto used = ProcessorMicros() - before;
  auto sent = std::size_t{ 0 };
  auto messages = std::size_t{ 0 };
  auto oldest = Millis(0);
  for (const auto& [address, instance] : domain.mInstances) {
    sent += instance.mBytesSent;
    messages += instance.mMessagesSent;
    for (const auto& [id, entry] : instance.mRegistry.mEntries) {
      oldest = std::max(oldest, MillisBetween(entry.mHeardAt, domain.mNow));
    }
  }
  const auto shares = static_cast<double>(aInstances * kSeconds);
  std::cout << std::setw(9) << aInstances << std::setw(10) << aEndpoints
            << std::setw(12) << static_cast<double>(sent) / shares
            << std::setw(12) << static_cast<double>(messages) / shares
            << std::setw(12) << used / shares << std::setw(12) << oldest.count()
            << "\n";
}

template<class Function>
auto
MeasureCost(const std::string& aName, Function aFunction) -> void
{
  constexpr auto kRepeats = 2000;
  const auto before = ProcessorMicros();
  for (auto i = 0; i < kRepeats; ++i) {
    aFunction(i);
  }
  std::cout << std::setw(44) << std::left << aName << std::right
            << std::setw(10) << (ProcessorMicros() - before) / kRepeats << "\n";
}

auto
MeasureAnnouncements() -> void
{
  auto announcement = AnnouncementOf(1, 1);
  const auto plain = EncodeAnnouncement(announcement);
  for (auto i = 0; i < 50; ++i) {
    announcement.mHoldings.push_back({ { "entry-1.12.a" + std::to_string(i) },
                                       HoldingKind::Stream,
                                       { "entry-1" },
                                       12,
                                       4000,
                                       Millis(9000) });
  }
  const auto full = EncodeAnnouncement(announcement);
  MeasureCost("decode announcement of " + std::to_string(plain.size()) +
                " bytes",
              [&](int) { (void)DecodeAnnouncement(plain); });
  MeasureCost("decode announcement of " + std::to_string(full.size()) +
                " bytes, 50 holdings",
              [&](int) { (void)DecodeAnnouncement(full); });
  auto registry = Registry{};
  for (std::size_t e = 0; e < 100; ++e) {
    ApplyAnnouncement(registry, AnnouncementOf(e, 1), TimePoint(Seconds(1)));
  }
  MeasureCost("views of 100 endpoints",
              [&](int) { (void)ViewsAt(registry, TimePoint(Seconds(1))); });
}

} // namespace

auto
main() -> int
{
  std::cout << std::fixed << std::setprecision(1);
  std::cout << "instances endpoints  sent B/s    messages/s  cpu us/s    "
               "oldest ms\n";
  for (const std::size_t instances : { 3U, 9U, 20U, 58U }) {
    for (const std::size_t endpoints : { 10U, 50U, 100U }) {
      MeasureSharing(instances, endpoints);
    }
  }
  std::cout << "\ncost of one call, microseconds\n";
  MeasureAnnouncements();
  return 0;
}
