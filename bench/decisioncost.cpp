#include "policy/endpointchoice.h"
#include "policy/prefixhashes.h"
#include "policy/waitqueue.h"
#include "policy/workorder.h"

#include "base/digest.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

using namespace cuminslip;

namespace {

/// Keeps the compiler from dropping a result.
volatile std::size_t sSink = 0;

template<class Function>
auto
MeasureNanos(std::size_t aRounds, Function aFunction) -> double
{
  auto best = 1e300;
  for (auto repeat = 0; repeat < 5; ++repeat) {
    const auto begin = std::chrono::steady_clock::now();
    for (auto i = std::size_t{ 0 }; i < aRounds; ++i) {
      aFunction();
    }
    const auto time = std::chrono::steady_clock::now() - begin;
    const auto nanos = std::chrono::duration<double, std::nano>(time).count();
    best = std::min(best, nanos / static_cast<double>(aRounds));
  }
  return best;
}

auto
BuildEndpoints(std::size_t aCount) -> std::vector<EndpointView>
{
  auto endpoints = std::vector<EndpointView>(aCount);
  for (auto i = std::size_t{ 0 }; i < aCount; ++i) {
    auto& view = endpoints[i];
    view.mId = { "engine-" + std::to_string(i) };
    view.mIncarnation = 1;
    view.mFailureDomain = { "domain-" + std::to_string(i % 3) };
    view.mRegion = { "region" };
    view.mModels = { { { "drafter" }, { "3" } } };
    view.mLoad = {
      static_cast<std::int64_t>(i % 7), 0, 32, 1000, 400000, 500000, 50000, 40
    };
    view.mReportAge = Millis(200);
  }
  AssignLanes(endpoints, LaneSettings{});
  return endpoints;
}

auto
BuildRequest(std::int64_t aTokens) -> RequestFacts
{
  auto request = RequestFacts{};
  request.mId = { "r" };
  request.mModel = { "drafter" };
  request.mVersion = { "3" };
  request.mPromptTokens = aTokens;
  request.mMaxTokens = 200;
  request.mDeadline = TimePoint(Seconds(60));
  for (auto i = std::int64_t{ 0 }; i < aTokens / kPrefixStepTokens; ++i) {
    request.mPrefixes.push_back(Checksum(std::to_string(i)));
  }
  return request;
}

auto
PrintChoice(std::size_t aEndpoints, std::int64_t aTokens, std::size_t aHolders)
  -> void
{
  const auto endpoints = BuildEndpoints(aEndpoints);
  const auto request = BuildRequest(aTokens);
  auto prefixes = PrefixKnowledge{};
  const auto now = TimePoint(Seconds(1));
  for (auto i = std::size_t{ 0 }; i < aHolders; ++i) {
    RecordSentPrompt(prefixes, endpoints[i].mId, 1, request.mPrefixes, now);
  }
  auto form = Template{};
  form.mRegions = { { "region" } };
  const auto place = OwnPlace{ { "domain-0" }, { "region" } };
  auto state = ChoiceState{};
  auto random = std::mt19937_64(1);
  const auto settings = ChoiceSettings{};
  const auto nanos = MeasureNanos(2000, [&] {
    const auto input =
      ChoiceInput{ request, form, place, endpoints, {}, &prefixes, now };
    sSink =
      sSink + ChooseEndpoint(input, settings, state, random).mIndex.value_or(0);
  });
  std::printf("| choice, %zu endpoints, %ld tokens, %zu holders | %.0f |\n",
              aEndpoints,
              static_cast<long>(aTokens),
              aHolders,
              nanos);
}

auto
PrintLanes(std::size_t aEndpoints) -> void
{
  auto endpoints = BuildEndpoints(aEndpoints);
  const auto nanos =
    MeasureNanos(200, [&] { AssignLanes(endpoints, LaneSettings{}); });
  std::printf("| lanes of %zu endpoints | %.0f |\n", aEndpoints, nanos);
}

auto
AddEntry(WaitQueue& aQueue, std::size_t aAccounts) -> void
{
  const auto number = aQueue.mNextSequence;
  const auto now = TimePoint(Seconds(1));
  const auto limits = AccountLimits{ 0, 0, 1000000, std::int64_t{ 1 } << 40 };
  auto entry = WaitEntry{};
  entry.mId = { "request-" + std::to_string(number) };
  entry.mAccount = { "account-" + std::to_string(number % aAccounts) };
  entry.mCostTokens = static_cast<std::int64_t>(1000 + number % 977);
  entry.mPriority = Priority::Normal;
  entry.mBytes = 4000;
  entry.mEnqueued = now;
  entry.mExpires = now + Seconds(60);
  entry.mLatestStart = now + Millis(20000 + number % 1000);
  Enqueue(aQueue, entry, limits, now);
}

auto
FillQueue(WaitQueue& aQueue, std::size_t aAccounts, std::size_t aEach) -> void
{
  aQueue.mSettings.mMaxRequests = 1000000;
  for (auto i = std::size_t{ 0 }; i < aAccounts * aEach; ++i) {
    AddEntry(aQueue, aAccounts);
  }
}

auto
PrintQueue(std::size_t aAccounts, std::size_t aEach) -> void
{
  auto queue = WaitQueue{};
  FillQueue(queue, aAccounts, aEach);
  const auto now = TimePoint(Seconds(1));
  const auto always = [](const WaitEntry&) { return true; };
  const auto nanos = MeasureNanos(200, [&] {
    AddEntry(queue, aAccounts);
    sSink = sSink + (TakeNext(queue, now, always) ? 1U : 0U);
  });
  std::printf("| enqueue and take, %zu accounts, %zu waiting each | %.0f |\n",
              aAccounts,
              aEach,
              nanos);
}

auto
PrintWaitPrediction(std::size_t aAccounts, std::size_t aEach) -> void
{
  auto queue = WaitQueue{};
  FillQueue(queue, aAccounts, aEach);
  queue.mTokensPerSecond = 100000;
  auto entry = queue.mEntries.begin()->second.mEntry;
  entry.mId = { "new" };
  const auto nanos = MeasureNanos(50, [&] {
    sSink = sSink + static_cast<std::size_t>(PredictWait(queue, entry).count());
  });
  std::printf("| wait prediction, %zu accounts, %zu waiting each | %.0f |\n",
              aAccounts,
              aEach,
              nanos);
}

/// Bytes of memory that this process holds.
auto
ReadResidentBytes() -> std::size_t
{
  auto file = std::ifstream("/proc/self/statm");
  auto total = std::size_t{ 0 };
  auto resident = std::size_t{ 0 };
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

auto
PrintMemory() -> void
{
  constexpr auto kEndpoints = std::size_t{ 600 };
  const auto now = TimePoint(Seconds(1));
  const auto before = ReadResidentBytes();
  auto prefixes = PrefixKnowledge{};
  auto events = std::vector<CacheEvent>{};
  const auto each = prefixes.mSettings.mMaxPrefixesPerEndpoint;
  for (auto i = std::size_t{ 0 }; i < kEndpoints; ++i) {
    events.clear();
    for (auto k = std::size_t{ 0 }; k < each; ++k) {
      events.push_back({ k, CacheEventKind::Stored, i * each + k, 512 });
    }
    const auto id = EndpointId{ "engine-" + std::to_string(i) };
    ApplyCacheEvents(prefixes, id, 1, events, false, now);
  }
  const auto middle = ReadResidentBytes();
  auto kept = std::size_t{ 0 };
  for (const auto& endpoint : prefixes.mEndpoints) {
    kept += endpoint.mRecent.size();
  }
  auto queue = WaitQueue{};
  FillQueue(queue, 290, 30);
  const auto after = ReadResidentBytes();
  std::printf("\n| memory | bytes each |\n| --- | --- |\n");
  std::printf("| prefix of an endpoint, %zu in all | %zu |\n",
              kept,
              (middle - before) / kept);
  std::printf("| waiting entry, %zu in all | %zu |\n",
              queue.mEntries.size(),
              (after - middle) / queue.mEntries.size());
}

auto
PrintHashing(std::size_t aBytes) -> void
{
  const auto prompt = std::string(aBytes, 'x');
  const auto nanos =
    MeasureNanos(20, [&] { sSink = sSink + HashPrefixes(prompt).size(); });
  std::printf("| prefix hashes of %zu bytes | %.0f |\n", aBytes, nanos);
}

/// Returns the median time of a call.
template<class Function>
auto
MedianNanos(std::size_t aRounds, Function aFunction) -> double
{
  auto times = std::vector<double>{};
  for (auto i = std::size_t{ 0 }; i < aRounds; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    aFunction();
    const auto time = std::chrono::steady_clock::now() - begin;
    times.push_back(std::chrono::duration<double, std::nano>(time).count());
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

/// Prints the time to order waiting prompts, and to decide on one of them.
auto
PrintWorkOrder(std::size_t aWaiting, std::size_t aEngines) -> void
{
  constexpr auto kRounds = std::size_t{ 2000 };
  const auto rules = WorkOrderRules{};
  auto prompts = std::vector<WaitingPrompt>{};
  for (auto i = std::size_t{ 0 }; i < aWaiting; ++i) {
    const auto tokens = static_cast<std::int64_t>(1000 + i * 7919 % 190000);
    prompts.push_back({ i,
                        { "client-account-" + std::to_string(i % 40) },
                        static_cast<int>(i % 3),
                        static_cast<double>(tokens) / 100,
                        tokens,
                        Millis(3000),
                        Millis(i * 31 % 4000),
                        Millis(12000),
                        false });
  }
  const auto busy = std::vector<double>(aEngines, 700.0);
  const auto context = WorkContext{ static_cast<double>(aEngines), {} };
  const auto order = MedianNanos(
    kRounds, [&] { sSink = OrderWork(prompts, rules, context).front(); });
  auto next = std::size_t{ 0 };
  const auto decide = MedianNanos(kRounds, [&] {
    auto sum = 0.0;
    for (const auto it : busy) {
      sum += it;
    }
    next = (next + 1) % aWaiting;
    const auto forecast =
      RoomForecast{ context.mEngines,
                    sum / context.mEngines,
                    QueueOf(prompts, next, rules, context).mAheadMillis };
    const auto decision = DecideWait(prompts[next], forecast, rules);
    sSink = static_cast<std::size_t>(decision.mRetryAfter.count());
  });
  std::printf("| order of %zu waiting prompts | %.0f |\n", aWaiting, order);
  std::printf("| one of %zu waiting prompts, %zu engines, median | %.0f |\n",
              aWaiting,
              aEngines,
              decide);
}

} // namespace

auto
main() -> int
{
  std::printf("| decision | ns |\n| --- | --- |\n");
  for (const auto endpoints : { 25U, 100U, 600U }) {
    PrintChoice(endpoints, 2000, 0);
    PrintChoice(endpoints, 2000, 3);
    PrintChoice(endpoints, 2000, endpoints);
    PrintChoice(endpoints, 200000, 3);
    PrintLanes(endpoints);
  }
  PrintQueue(10, 10);
  PrintQueue(290, 10);
  PrintQueue(290, 30);
  PrintWaitPrediction(10, 10);
  PrintWaitPrediction(290, 10);
  PrintWaitPrediction(290, 30);
  PrintWorkOrder(50, 45);
  PrintWorkOrder(1000, 200);
  PrintHashing(8000);
  PrintHashing(4000000);
  PrintMemory();
  return 0;
}
