#include "forwarding/tests/fakeworld.h"

#include <array>
#include <cstdlib>
#include <random>

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;
using wire::ExchangeEnd;

namespace {

constexpr auto kRelayPort = 7001;
constexpr auto kRelayKey = "relay key";
constexpr auto kRoutes =
  std::array<const char*, 5>{ "read", "book", "draft", "long", "once" };

/// Number of sequences; CUMINSLIP_SEQUENCES overrides it.
auto
SequenceCount() -> std::uint64_t
{
  constexpr auto kDefault = std::uint64_t{ 20000 };
  const auto* text = std::getenv("CUMINSLIP_SEQUENCES");
  return text == nullptr ? kDefault : std::strtoull(text, nullptr, 10);
}

auto
Event(std::uint64_t aId) -> std::string
{
  const auto id = std::to_string(aId);
  return "id: " + id + "\ndata: piece " + id + "\n\n";
}

/// What one exchange has told of the request that it sent.
struct Track
{
  bool mIsOrder = false;
  bool mHasHead = false;
  bool mIsSealedStream = false;
  bool mIsNotRunHead = false;
  bool mHasEnded = false;
  bool mHasEndedComplete = false;
  /// The endpoint sent its last event, in full.
  bool mHasLastEvent = false;
  /// The endpoint of this exchange may have begun to run the request.
  bool mMayHaveRun = true;
  /// Number of the next event that it sends.
  std::uint64_t mNext = 1;
};

/// One request, its endpoints and its caller, all driven by a random sequence.
struct Sequence
{
  static constexpr auto kLastEvent = std::uint64_t{ 4 };

  FakeWorld mWorld;
  std::mt19937_64 mRandom;
  std::string mRoute;
  bool mIsRelayed = false;
  bool mHasRunBefore = false;
  /// Most endpoints are not reached, so that requests are relayed out.
  bool mIsUnreached = false;
  std::shared_ptr<FakeCaller> mCaller;
  std::vector<Track> mTracks;
  std::vector<std::string> mFaults;
  std::string mLog;

  explicit Sequence(std::uint64_t aSeed)
    : mWorld("10.0.0.1:7000", MakeSettings())
    , mRandom(aSeed)
  {
    SetEntries(*mWorld.mForwarder,
               { { "10.0.0.1:7000", { "a" } },
                 { "10.0.0.2:7000", { "a" } },
                 { "10.0.0.3:7000", { "b" } } });
    auto document = MakeDocument(1);
    for (auto& it : document.mRoutes) {
      it.mMaxAttempts = 1 + Draw(4);
    }
    ApplyRouting(*mWorld.mForwarder, MakeTable(std::move(document)));
    for (auto i = 1; i <= 4; ++i) {
      mWorld.AddEndpoint("p" + std::to_string(i), "plain", i);
      mWorld.AddEndpoint("e" + std::to_string(i), "engines", 10 + i);
    }
    mWorld.Run(kSettled);
    mWorld.mSends.clear();
  }

  static auto MakeSettings() -> ForwardSettings
  {
    auto settings = ForwardSettings{};
    settings.mRelayPort = kRelayPort;
    settings.mRelayKey = kRelayKey;
    return settings;
  }

  auto Draw(int aCount) -> int
  {
    return std::uniform_int_distribution<int>(0, aCount - 1)(mRandom);
  }

  auto Check(bool aIsRight, const std::string& aFault) -> void
  {
    if (!aIsRight) {
      mFaults.push_back(aFault);
    }
  }

  auto IsIdempotent() const -> bool
  {
    return mRoute == "read" || mRoute == "draft" || mRoute == "long";
  }

  auto IsStreaming() const -> bool
  {
    return mRoute != "read" && mRoute != "book";
  }

  auto HasEnded() const -> bool
  {
    return mCaller->mResponse || mCaller->mIsFinished || mCaller->mIsAborted;
  }

  auto MayHaveRun() const -> bool
  {
    return mHasRunBefore ||
           std::any_of(mTracks.begin(), mTracks.end(), [](const auto& aItem) {
             return !aItem.mIsOrder && aItem.mMayHaveRun;
           });
  }

  auto Begin() -> void
  {
    mRoute = kRoutes.at(static_cast<std::size_t>(Draw(kRoutes.size())));
    auto request = MakeRequest(mRoute);
    if (mRoute == "long" && Draw(2) == 0) {
      request.mPrompt = PromptFacts{ Draw(2) == 0 ? 1000 : 400000, 800 };
    }
    mIsRelayed = Draw(4) == 0;
    mIsUnreached = Draw(3) == 0;
    if (mIsRelayed) {
      // NOTE: others relay no request that must not run twice and may have run.
      mHasRunBefore = IsIdempotent() && Draw(3) == 0;
      request.mHttp.mHeaders = { { "cuminslip-relay-key", kRelayKey },
                                 { "cuminslip-relay-from", "10.0.0.2:7000" },
                                 { "cuminslip-relay-sends", "0" },
                                 { "cuminslip-relay-ran",
                                   mHasRunBefore ? "unknown" : "no" } };
    }
    mWorld.mAsksAsInstance = mIsRelayed;
    mCaller = mWorld.Ask(std::move(request));
    mLog = mRoute + (mIsRelayed ? " relayed in" : "");
    mWorld.Run(Millis(1));
    NoteSends();
  }

  /// Records exchanges that have begun, and checks that they were allowed.
  auto NoteSends() -> void
  {
    while (mTracks.size() < mWorld.mSends.size()) {
      const auto& send = *mWorld.mSends.at(mTracks.size());
      auto track = Track{};
      const auto& path = send.mExchange.mRequest.mPath;
      track.mIsOrder = path == "/hold" || path == "/release";
      const auto after = send.Header("after");
      track.mNext = after.empty() ? 1 : std::stoull(after) + 1;
      if (!track.mIsOrder) {
        mLog += IsRelay(mTracks.size()) ? " |relay" : " |send";
        Check(IsIdempotent() || !MayHaveRun(),
              "sent again after it may have run");
        Check(!HasEnded(), "sent after the end");
      }
      mTracks.push_back(track);
    }
  }

  auto Handlers(std::size_t aIndex) -> wire::ExchangeHandlers
  {
    return mWorld.mSends.at(aIndex)->mHandlers;
  }

  auto IsRelay(std::size_t aIndex) const -> bool
  {
    return mWorld.mSends[aIndex]->mExchange.mAddress.mPort == kRelayPort;
  }

  auto IsOpen(std::size_t aIndex) const -> bool
  {
    return !mTracks[aIndex].mHasEnded && !mWorld.mSends[aIndex]->mIsCancelled;
  }

  auto SendHead(std::size_t aIndex) -> void
  {
    auto& track = mTracks[aIndex];
    if (track.mHasHead) {
      return;
    }
    constexpr auto kStatuses =
      std::array<int, 10>{ 200, 200, 200, 204, 400, 408, 421, 429, 500, 503 };
    const auto status =
      kStatuses.at(static_cast<std::size_t>(Draw(kStatuses.size())));
    const auto isRelay = IsRelay(aIndex);
    auto headers = wire::Headers{};
    const auto isSealed = Draw(4) != 0;
    if (isSealed) {
      headers = kSealed;
    }
    const auto isNotRun = status != 200 && Draw(3) == 0;
    track.mHasHead = true;
    track.mIsSealedStream = isSealed && status == 200 && IsStreaming();
    if (isRelay && Draw(3) == 0) {
      constexpr auto kFailures =
        std::array<const char*, 6>{ "refused",   "no_capacity", "too_late",
                                    "timed_out", "no_route",    "what" };
      const auto n = static_cast<std::size_t>(Draw(kFailures.size()));
      headers.push_back({ "cuminslip-relay-failure", kFailures.at(n) });
      track.mMayHaveRun = n == 3 || n == 5;
    } else if (isNotRun && !isRelay) {
      headers.push_back({ "not-run", "1" });
      track.mIsNotRunHead = true;
    }
    mLog += " head " + std::to_string(status) + (isSealed ? " sealed" : "") +
            (track.mIsNotRunHead ? " not-run" : "");
    Handlers(aIndex).mOnHead(status, headers);
  }

  auto SendEvent(std::size_t aIndex) -> void
  {
    auto& track = mTracks[aIndex];
    if (!track.mHasHead) {
      return;
    }
    auto bytes = std::string("some bytes");
    auto isTwice = false;
    if (track.mIsSealedStream && track.mNext <= kLastEvent) {
      const auto kind = Draw(8);
      // NOTE: some events are left out or come twice. A stream may begin with
      // any number, so that its first one is always sent.
      const auto id =
        kind == 0 && track.mNext > 1 ? track.mNext + 1 : track.mNext;
      bytes = Event(id);
      track.mNext = id + 1;
      isTwice = kind == 1;
      if (isTwice) {
        bytes += bytes;
      }
      track.mHasLastEvent = id == kLastEvent;
    } else if (track.mIsSealedStream) {
      return;
    }
    mLog += " piece";
    // NOTE: a stream that ends between two events looks like a whole one.
    const auto size = static_cast<int>(bytes.size());
    const auto cut =
      std::size_t{ 1 } + static_cast<std::size_t>(Draw(size - 1));
    Handlers(aIndex).mOnPiece(bytes.substr(0, cut));
    if (!isTwice && Draw(6) == 0) {
      track.mHasLastEvent = false;
      track.mNext = kLastEvent + 1;
      mLog += " half";
      return;
    }
    if (IsOpen(aIndex)) {
      Handlers(aIndex).mOnPiece(bytes.substr(cut));
    }
  }

  auto SendEnd(std::size_t aIndex) -> void
  {
    auto& track = mTracks[aIndex];
    auto end = ExchangeEnd::Broken;
    switch (Draw(track.mHasHead ? 6 : 4)) {
      case 0:
        end = ExchangeEnd::Malformed;
        break;
      case 1:
        end =
          track.mHasHead ? ExchangeEnd::TooLarge : ExchangeEnd::NotConnected;
        break;
      case 2:
        end = track.mHasHead ? ExchangeEnd::Broken : ExchangeEnd::Unattributed;
        break;
      case 3:
        break;
      default:
        end = ExchangeEnd::Complete;
    }
    // NOTE: an endpoint ends a stream in order only after its last event, but a
    // fault may look the same where nothing frames the body.
    const auto isWhole =
      !track.mIsSealedStream || track.mHasLastEvent || track.mNext > kLastEvent;
    if (end == ExchangeEnd::Complete && !isWhole) {
      end = ExchangeEnd::Broken;
    }
    track.mHasEnded = true;
    track.mHasEndedComplete = end == ExchangeEnd::Complete;
    if (end == ExchangeEnd::NotConnected ||
        (track.mHasEndedComplete && track.mIsNotRunHead)) {
      track.mMayHaveRun = false;
    }
    mLog += " end " + std::to_string(static_cast<int>(end));
    auto result = wire::ExchangeResult{ end };
    result.mWasKept = Draw(2) == 0;
    result.mIsUnframed = track.mHasHead && Draw(3) == 0;
    result.mIsSilent = end == ExchangeEnd::Broken && Draw(3) == 0;
    Handlers(aIndex).mOnEnd(result);
  }

  auto EndUnconnected(std::size_t aIndex) -> void
  {
    mTracks[aIndex].mHasEnded = true;
    mTracks[aIndex].mMayHaveRun = false;
    mLog += " unconnected";
    Handlers(aIndex).mOnEnd({ ExchangeEnd::NotConnected });
  }

  auto AnswerOrder(std::size_t aIndex) -> void
  {
    mTracks[aIndex].mHasEnded = true;
    const auto handlers = Handlers(aIndex);
    if (Draw(4) != 0) {
      handlers.mOnHead(Draw(8) == 0 ? 503 : 200, {});
    }
    handlers.mOnEnd(
      { Draw(8) == 0 ? ExchangeEnd::Broken : ExchangeEnd::Complete });
  }

  auto Step() -> void
  {
    const auto kind = Draw(24);
    if (kind == 0) {
      mCaller->mIsDisconnected |= Draw(4) == 0;
    } else if (kind == 1) {
      mCaller->mIsReading = false;
    } else if (kind <= 4) {
      mWorld.Run(Millis(Draw(kind == 4 ? 1000 : 100)));
    } else if (!mTracks.empty()) {
      StepExchange(kind);
    }
    NoteSends();
    // NOTE: placements run on timers.
    mWorld.Run(Millis(1));
    NoteSends();
  }

  auto StepExchange(int aKind) -> void
  {
    auto open = std::vector<std::size_t>{};
    for (auto i = std::size_t{ 0 }; i < mTracks.size(); ++i) {
      if (IsOpen(i)) {
        open.push_back(i);
      }
    }
    if (open.empty()) {
      return;
    }
    const auto index =
      open[static_cast<std::size_t>(Draw(static_cast<int>(open.size())))];
    if (mTracks[index].mIsOrder) {
      AnswerOrder(index);
    } else if (mIsUnreached && !IsRelay(index) && !mTracks[index].mHasHead &&
               Draw(8) != 0) {
      EndUnconnected(index);
    } else if (aKind <= 9) {
      SendHead(index);
    } else if (aKind <= 19) {
      SendEvent(index);
    } else {
      SendEnd(index);
    }
  }

  /// Checks what the caller received against what the endpoints did.
  auto CheckStream() -> void
  {
    auto expected = std::string{};
    auto id = std::uint64_t{ 0 };
    while (expected.size() < mCaller->mStreamed.size()) {
      expected += Event(++id);
    }
    Check(mCaller->mStreamed == expected, "events out of order or cut");
    const auto isLast = id == kLastEvent;
    Check(!mCaller->mIsFinished || isLast, "finished before the last event");
    Check(!(mCaller->mIsFinished && mCaller->mIsAborted), "two ends");
    Check(mCaller->mStreamStatus != 0 || mCaller->mStreamed.empty(),
          "events without a head");
  }

  auto CheckResponse() -> void
  {
    const auto& body = mCaller->mResponse->mBody;
    const auto promises = body == ToText(FailureKind::NotReady) ||
                          body == ToText(FailureKind::NoCapacity) ||
                          body == ToText(FailureKind::TooLate);
    Check(!promises || !MayHaveRun(), "promised not run: " + body);
    Check(mCaller->mStreamStatus == 0, "an answer inside a stream");
  }

  auto SendLateEvents() -> void
  {
    for (auto i = std::size_t{ 0 }; i < mTracks.size(); ++i) {
      if (mTracks[i].mIsOrder || mTracks[i].mHasEnded) {
        continue;
      }
      const auto handlers = Handlers(i);
      handlers.mOnHead(200, kSealed);
      handlers.mOnPiece(Event(mTracks[i].mNext));
      handlers.mOnEnd({ ExchangeEnd::Complete });
    }
  }

  auto Play() -> void
  {
    constexpr auto kSteps = 40;
    Begin();
    for (auto i = 0; i < kSteps && !HasEnded(); ++i) {
      Step();
    }
    // NOTE: longer than any route's timeout.
    mWorld.Run(Seconds(20));
    NoteSends();
    Check(HasEnded() || mCaller->mIsDisconnected, "no end by the deadline");
    const auto before = *mCaller;
    SendLateEvents();
    Check(mCaller->mStreamed == before.mStreamed &&
            mCaller->mResponse.has_value() == before.mResponse.has_value() &&
            mCaller->mIsFinished == before.mIsFinished &&
            mCaller->mIsAborted == before.mIsAborted,
          "something after the end");
    if (mCaller->mResponse) {
      CheckResponse();
    }
    CheckStream();
    Check(IsIdle(*mWorld.mForwarder), "a request was left");
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointEventTests)

// Seeds from 1; a failed one is printed with its events.
BOOST_AUTO_TEST_CASE(NoSequenceOfEndpointEventsBreaksAPromiseToTheCaller)
{
  constexpr auto kMaxPrinted = 5;
  auto failed = 0;
  const auto count = SequenceCount();
  for (auto seed = std::uint64_t{ 1 }; seed <= count; ++seed) {
    auto sequence = Sequence(seed);
    sequence.Play();
    if (!sequence.mFaults.empty() && failed++ < kMaxPrinted) {
      BOOST_ERROR("seed " << seed << ": " << sequence.mFaults.front() << ": "
                          << sequence.mLog);
    }
  }
  BOOST_TEST(failed == 0);
}

BOOST_AUTO_TEST_SUITE_END()
