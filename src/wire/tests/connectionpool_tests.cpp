#include "wire/connectionpool.h"
#include "wire/datagrams.h"
#include "wire/tests/httpfixture.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>

using namespace cuminslip;
using namespace cuminslip::wire;
using namespace cuminslip::wire::testing;

namespace {

/// A server that answers with whatever bytes a test gives it.
class RawServer
{
public:
  RawServer()
    : mListener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto length = socklen_t{ sizeof(address) };
    BOOST_REQUIRE(
      bind(mListener, reinterpret_cast<sockaddr*>(&address), length) == 0);
    BOOST_REQUIRE(listen(mListener, 8) == 0);
    getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &length);
    mAddress = { "127.0.0.1", ntohs(address.sin_port) };
  }
  ~RawServer()
  {
    Close();
    close(mListener);
  }
  RawServer(const RawServer&) = delete;
  RawServer(RawServer&&) = delete;
  auto operator=(const RawServer&) -> RawServer& = delete;
  auto operator=(RawServer&&) -> RawServer& = delete;

  auto Address() const -> SocketAddress { return mAddress; }
  auto Accepted() const -> int { return mAccepted; }

  /// Takes a new connection if there is one, and what has come on it.
  auto Look() -> void
  {
    auto waiting = pollfd{ mListener, POLLIN, 0 };
    if (poll(&waiting, 1, 0) > 0) {
      Close();
      mSocket = accept(mListener, nullptr, nullptr);
      fcntl(mSocket, F_SETFL, O_NONBLOCK);
      ++mAccepted;
    }
    char buf[4096];
    if (mSocket < 0) {
      return;
    }
    const auto n = recv(mSocket, buf, sizeof(buf), MSG_DONTWAIT);
    if (n > 0) {
      mReceived.append(buf, static_cast<std::size_t>(n));
    }
  }

  /// True once a whole request without body has come; forgets it.
  auto TakeRequest() -> bool
  {
    Look();
    const auto end = mReceived.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    mLastRequest = mReceived.substr(0, end + 4);
    mReceived.erase(0, end + 4);
    return true;
  }

  auto LastRequest() const -> const std::string& { return mLastRequest; }

  auto Send(std::string_view aBytes) const -> void
  {
    BOOST_REQUIRE(send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(aBytes.size()));
  }

  /// Forgets the rest of an upload.
  auto Forget() -> void { mReceived.clear(); }

  auto Close() -> void
  {
    if (mSocket >= 0) {
      close(std::exchange(mSocket, -1));
    }
  }

  auto Reset() -> void
  {
    const auto linger = ::linger{ 1, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    Close();
  }

private:
  int mListener = -1;
  int mSocket = -1;
  int mAccepted = 0;
  SocketAddress mAddress;
  std::string mReceived;
  std::string mLastRequest;
};

struct Outcome
{
  int mStatus = 0;
  std::string mBody;
  std::optional<ExchangeResult> mResult;
};

struct PoolFixture : Fixture
{
  RawServer mRaw;
  ConnectionPoolPtr mPool = CreateConnectionPool(*mLoop, {});

  auto MakeExchange(const std::string& aId) const -> Exchange
  {
    auto exchange = Exchange{};
    exchange.mAddress = mRaw.Address();
    exchange.mRequest.mMethod = "GET";
    exchange.mRequest.mPath = "/a";
    exchange.mRequest.mHeaders = { { "x-id", aId } };
    exchange.mEcho = { "x-id", aId };
    return exchange;
  }

  auto Start(Exchange aExchange) -> std::shared_ptr<Outcome>
  {
    auto outcome = std::make_shared<Outcome>();
    auto handlers = ExchangeHandlers{};
    handlers.mOnHead = [outcome](int aStatus, const Headers&) {
      outcome->mStatus = aStatus;
    };
    handlers.mOnPiece = [outcome](std::string_view aPiece) {
      outcome->mBody += aPiece;
    };
    handlers.mOnEnd = [outcome](const ExchangeResult& aResult) {
      outcome->mResult = aResult;
    };
    StartExchange(*mPool, std::move(aExchange), std::move(handlers));
    return outcome;
  }

  auto AwaitRequest() -> void
  {
    auto isTaken = false;
    RunUntil([&] {
      isTaken = isTaken || mRaw.TakeRequest();
      return isTaken;
    });
  }

  /// Sends a request and answers it with aAnswer.
  auto Exchanged(const std::string& aId, std::string_view aAnswer)
    -> std::shared_ptr<Outcome>
  {
    auto outcome = Start(MakeExchange(aId));
    AwaitRequest();
    mRaw.Send(aAnswer);
    return outcome;
  }

  auto AwaitEnd(const std::shared_ptr<Outcome>& aOutcome) -> void
  {
    RunUntil([&] { return aOutcome->mResult.has_value(); });
  }
};

auto
AnswerTo(const std::string& aId, const std::string& aBody) -> std::string
{
  return "HTTP/1.1 200 OK\r\nX-Id: " + aId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

auto
ResidentBytes() -> std::size_t
{
  auto file = std::ifstream("/proc/self/statm");
  auto all = std::size_t{ 0 };
  auto resident = std::size_t{ 0 };
  file >> all >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionPoolTests, PoolFixture)

BOOST_AUTO_TEST_CASE(AConnectionIsUsedAgain)
{
  for (const auto* id : { "1", "2", "3" }) {
    const auto outcome = Exchanged(id, AnswerTo(id, std::string("body ") + id));
    AwaitEnd(outcome);
    BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Complete));
    BOOST_TEST(outcome->mBody == std::string("body ") + id);
  }
  BOOST_TEST(mRaw.Accepted() == 1);
  BOOST_TEST(CountersOf(*mPool).mConnectionsOpened == 1U);
}

BOOST_AUTO_TEST_CASE(TheLastChunkMayComeByItself)
{
  const auto outcome =
    Exchanged("1",
              "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n"
              "\r\n3\r\nabc\r\n");
  RunUntil([&] { return outcome->mBody == "abc"; });
  mRaw.Send("0\r\n\r\n");
  AwaitEnd(outcome);

  BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Complete));
  BOOST_TEST(outcome->mBody == "abc");
  AwaitEnd(Exchanged("2", AnswerTo("2", "b")));
  BOOST_TEST(mRaw.Accepted() == 1);
}

BOOST_AUTO_TEST_CASE(AnAnswerMayComeBeforeItsRequestIsSentWhole)
{
  constexpr auto kLarge = std::size_t{ 16 } * 1024 * 1024;
  auto exchange = MakeExchange("1");
  exchange.mRequest.mMethod = "POST";
  exchange.mRequest.mBody = std::string(kLarge, 'x');
  const auto outcome = Start(std::move(exchange));
  AwaitRequest();
  mRaw.Send(AnswerTo("1", "too long"));
  AwaitEnd(outcome);
  BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Complete));
  const auto next = Start(MakeExchange("2"));
  RunUntil([&] {
    mRaw.Look();
    return mRaw.Accepted() == 2;
  });

  BOOST_TEST(!next->mResult.has_value());
}

BOOST_AUTO_TEST_CASE(AnExchangeMayAskForANewConnection)
{
  AwaitEnd(Exchanged("1", AnswerTo("1", "a")));
  auto exchange = MakeExchange("2");
  exchange.mNeedsNewConnection = true;
  const auto outcome = Start(std::move(exchange));
  AwaitRequest();

  BOOST_TEST(mRaw.Accepted() == 2);
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnEarlierRequestIsDropped)
{
  AwaitEnd(Exchanged("1", AnswerTo("1", "a")));
  const auto outcome =
    Exchanged("2", AnswerTo("1", "late") + AnswerTo("2", "own"));
  AwaitEnd(outcome);

  BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Complete));
  BOOST_TEST(outcome->mBody == "own");
  BOOST_TEST(CountersOf(*mPool).mForeignAnswers == 1U);
  AwaitEnd(Exchanged("3", AnswerTo("3", "c")));
  BOOST_TEST(mRaw.Accepted() == 2, "the connection was used again");
}

BOOST_AUTO_TEST_CASE(ALateCopyWithoutIdIsNotTakenForTheNextAnswer)
{
  const auto refusal = std::string("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n");
  for (const auto* interim : { "",
                               "HTTP/1.1 100 Continue\r\n\r\n",
                               "HTTP/1.1 103 A\r\nX-Id: 2\r\n\r\n" }) {
    for (const auto* rest : { "Content-Length: 0\r\n\r\n",
                              "Content-Length: 1\r\n\r\nx",
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                              "\r\nuntil the end" }) {
      AwaitEnd(Exchanged("1", AnswerTo("1", "a")));
      const auto outcome =
        Exchanged("2", interim + refusal + rest + AnswerTo("2", "own"));
      AwaitEnd(outcome);

      BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Unattributed),
                 interim << rest);
      BOOST_TEST(outcome->mStatus == 0, interim << rest);
      BOOST_TEST(outcome->mBody == "");
    }
  }
  BOOST_TEST(CountersOf(*mPool).mUnattributedAnswers == 12U);
}

BOOST_AUTO_TEST_CASE(ALateCopyWithoutIdBeforeTheRequestIsSentIsNotItsAnswer)
{
  constexpr auto kLarge = std::size_t{ 16 } * 1024 * 1024;
  AwaitEnd(Exchanged("1", AnswerTo("1", "a")));
  auto exchange = MakeExchange("2");
  exchange.mRequest.mMethod = "POST";
  exchange.mRequest.mBody = std::string(kLarge, 'x');
  const auto outcome = Start(std::move(exchange));
  AwaitRequest();
  mRaw.Send("HTTP/1.1 421 Elsewhere\r\nContent-Length: 0\r\n\r\n");
  AwaitEnd(outcome);

  BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Unattributed));
  BOOST_TEST(outcome->mStatus == 0);
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutIdIsOwnOnANewConnectionOnly)
{
  const auto refusal =
    std::string("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
  const auto first = Exchanged("1", refusal);
  AwaitEnd(first);
  BOOST_TEST((first->mResult->mEnd == ExchangeEnd::Complete));
  BOOST_TEST(first->mStatus == 503);
  const auto kept = Exchanged("2", refusal);
  AwaitEnd(kept);
  BOOST_TEST((kept->mResult->mEnd == ExchangeEnd::Unattributed));
  const auto behindForeign = Exchanged("3", AnswerTo("1", "late") + refusal);
  AwaitEnd(behindForeign);
  BOOST_TEST((behindForeign->mResult->mEnd == ExchangeEnd::Unattributed));
  const auto next = Exchanged("4", AnswerTo("4", "own"));
  AwaitEnd(next);
  BOOST_TEST(next->mBody == "own");
}

BOOST_AUTO_TEST_CASE(AnAnswerToARequestIsNotTakenForOneWithoutId)
{
  AwaitEnd(Exchanged("1", AnswerTo("1", "a")));
  auto order = MakeExchange("");
  order.mRequest.mHeaders = {};
  const auto outcome = Start(order);
  AwaitRequest();
  mRaw.Send(AnswerTo("1", "late") +
            "HTTP/1.1 409 Full\r\nContent-Length: 0\r\n\r\n");
  AwaitEnd(outcome);

  BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Complete));
  BOOST_TEST(outcome->mStatus == 409);
}

BOOST_AUTO_TEST_CASE(BytesBehindAnAnswerEndTheConnection)
{
  AwaitEnd(Exchanged("1", AnswerTo("1", "a") + AnswerTo("1", "b")));
  AwaitEnd(Exchanged("2", AnswerTo("2", "c")));

  BOOST_TEST(mRaw.Accepted() == 2);
  BOOST_TEST(CountersOf(*mPool).mStrayBytes > 0U);
}

BOOST_AUTO_TEST_CASE(BytesOnAnIdleConnectionEndIt)
{
  AwaitEnd(Exchanged("1", AnswerTo("1", "a")));
  mRaw.Send("stray");
  RunUntil([&] { return CountersOf(*mPool).mStrayBytes == 5; });
  AwaitEnd(Exchanged("2", AnswerTo("2", "c")));

  BOOST_TEST(mRaw.Accepted() == 2);
}

BOOST_AUTO_TEST_CASE(ACutAnswerIsNotWhole)
{
  for (const auto* answer :
       { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf",
         "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "4\r\nhalf\r\n",
         "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConte" }) {
    const auto outcome = Exchanged("1", answer);
    mRaw.Close();
    AwaitEnd(outcome);
    BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Broken), answer);
  }
}

BOOST_AUTO_TEST_CASE(AnAnswerCutAtAnyByteIsNotWhole)
{
  const auto head = std::string("HTTP/1.1 200 OK\r\nX-Id: 1\r\n");
  for (const auto& [framing, body] :
       std::vector<std::pair<std::string, std::string>>{
         { "Content-Length: 4\r\n\r\n", "body" },
         { "Transfer-Encoding: chunked\r\n\r\n",
           "10;a=b\r\nsixteen bytes...\r\n0\r\nX-T: 1\r\n\r\n" },
         { "\r\n", "until the end" } }) {
    auto whole = head;
    whole += framing;
    whole += body;
    const auto isOpen = framing == "\r\n";
    const auto headSize = head.size() + framing.size();
    for (auto cut = std::size_t{ 0 }; cut < whole.size(); ++cut) {
      for (const auto isReset : { false, true }) {
        const auto outcome = Exchanged("1", whole.substr(0, cut));
        isReset ? mRaw.Reset() : mRaw.Close();
        AwaitEnd(outcome);
        // NOTE: only the end of the connection ends a body without framing.
        const auto mayBeWhole = isOpen && !isReset && cut >= headSize;
        BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Broken) !=
                     mayBeWhole,
                   framing << cut << isReset);
        BOOST_TEST(outcome->mResult->mIsUnframed ==
                   (outcome->mStatus != 0 && isOpen));
        BOOST_TEST((cut >= headSize || outcome->mStatus == 0));
      }
    }
  }
}

// The failed write took the error of a reset, and the next read looked like the
// end of the body.
BOOST_AUTO_TEST_CASE(AnOpenBodyThatEndsDuringTheUploadIsNotWhole)
{
  constexpr auto kUpload = std::size_t{ 16 } * 1024 * 1024;
  constexpr auto kRounds = 20;
  for (auto n = 0; n < kRounds; ++n) {
    for (const auto isReset : { false, true }) {
      for (const auto isHeard : { false, true }) {
        auto exchange = MakeExchange("1");
        exchange.mRequest.mMethod = "POST";
        exchange.mRequest.mBody = std::string(kUpload, 'x');
        const auto outcome = Start(std::move(exchange));
        AwaitRequest();
        mRaw.Send("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart");
        if (isHeard) {
          RunUntil([&] { return outcome->mBody == "part"; });
        }
        isReset ? mRaw.Reset() : mRaw.Close();
        AwaitEnd(outcome);
        BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Broken),
                   isReset << isHeard);
        mRaw.Forget();
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(AnAnswerWithTwoLengthsIsNoAnswer)
{
  const auto outcome =
    Exchanged("1",
              "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n"
              "Content-Length: 4\r\n\r\nbody");
  AwaitEnd(outcome);
  BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Malformed));
  BOOST_TEST(outcome->mBody == "");
}

BOOST_AUTO_TEST_CASE(AnAnswerWithLengthAndChunksEndsItsConnection)
{
  const auto outcome =
    Exchanged("1",
              "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n"
              "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  AwaitEnd(outcome);
  BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Complete));
  BOOST_TEST(outcome->mBody == "body");
  AwaitEnd(Exchanged("2", AnswerTo("2", "b")));
  BOOST_TEST(mRaw.Accepted() == 2);
}

BOOST_AUTO_TEST_CASE(TheAnswerToAHeadRequestHasNoBody)
{
  for (const auto* framing :
       { "Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
    auto exchange = MakeExchange("1");
    exchange.mRequest.mMethod = "HEAD";
    const auto outcome = Start(std::move(exchange));
    AwaitRequest();
    mRaw.Send(std::string("HTTP/1.1 200 OK\r\nX-Id: 1\r\n") + framing + "\r\n");
    AwaitEnd(outcome);
    BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Complete), framing);
  }
  BOOST_TEST(mRaw.Accepted() == 1);
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutLengthEndsWithItsConnection)
{
  const auto outcome =
    Exchanged("1", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it");
  RunUntil([&] { return outcome->mBody == "all of it"; });
  mRaw.Close();
  AwaitEnd(outcome);

  BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Complete));
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutLengthThatIsResetIsNotWhole)
{
  const auto outcome =
    Exchanged("1", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nsome of it");
  RunUntil([&] { return outcome->mBody == "some of it"; });
  mRaw.Reset();
  AwaitEnd(outcome);

  BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Broken));
}

BOOST_AUTO_TEST_CASE(BytesThatAreNoAnswerAreTold)
{
  const auto outcome = Exchanged("1", "\x16\x03\x01 what is this\r\n\r\n");
  AwaitEnd(outcome);

  BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::Malformed));
}

BOOST_AUTO_TEST_CASE(BytesWithoutEndThatAreNoAnswerEndTheExchange)
{
  constexpr auto kMaxSent = std::size_t{ 8 } * 1024 * 1024;
  const auto head = std::string("HTTP/1.1 200 OK\r\n");
  const auto chunked = head + "X-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto filler = std::string(1000, 'x');
  // NOTE: the bytes of the first kind come once, those of the second for ever.
  for (const auto& [begin, repeated] :
       std::vector<std::pair<std::string, std::string>>{
         { "", filler },
         { head, "X-A: " + filler + "\r\n" },
         { head + "X-A: ", filler },
         { "", "HTTP/1.1 100 Continue\r\nX-A: " + filler + "\r\n\r\n" },
         { head + "X-Id: 0\r\n\r\n", filler },
         { "", AnswerTo("0", filler) },
         { chunked + "1;", filler },
         { chunked + "0\r\n", "X-A: " + filler + "\r\n" } }) {
    const auto outcome = Exchanged("1", begin);
    auto sent = std::size_t{ 0 };
    while (!outcome->mResult && sent < kMaxSent) {
      mRaw.Send(repeated);
      sent += repeated.size();
      RunLoopOnce(*mLoop, Millis(1));
    }
    BOOST_TEST(outcome->mResult.has_value(), begin << repeated.substr(0, 30));
    BOOST_TEST(outcome->mBody == "");
    mPool = CreateConnectionPool(*mLoop, {});
  }
}

BOOST_AUTO_TEST_CASE(ABodyLongerThanAllowedIsTold)
{
  auto exchange = MakeExchange("1");
  exchange.mMaxBodyBytes = 8;
  const auto outcome = Start(std::move(exchange));
  AwaitRequest();
  mRaw.Send("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nnine byte");
  AwaitEnd(outcome);

  BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::TooLarge));
}

BOOST_AUTO_TEST_CASE(AConnectionThatIsNotMadeIsTold)
{
  auto exchange = MakeExchange("1");
  exchange.mAddress = { "127.0.0.1", 1 };
  const auto outcome = Start(std::move(exchange));
  AwaitEnd(outcome);

  BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::NotConnected));
}

BOOST_AUTO_TEST_CASE(AnAddressThatIsNoneIsNotConnected)
{
  auto exchange = MakeExchange("1");
  exchange.mAddress = { "not an address", 1 };
  const auto outcome = Start(std::move(exchange));
  AwaitEnd(outcome);

  BOOST_TEST((outcome->mResult->mEnd == ExchangeEnd::NotConnected));
}

BOOST_AUTO_TEST_CASE(AnExchangeMayBeCancelledInItsOwnHandler)
{
  auto id = std::make_shared<ExchangeId>(0);
  auto hasHead = std::make_shared<bool>(false);
  auto hasEnded = std::make_shared<bool>(false);
  auto handlers = ExchangeHandlers{};
  handlers.mOnHead = [this, id, hasHead](int, const Headers&) {
    *hasHead = true;
    CancelExchange(*mPool, *id);
  };
  handlers.mOnEnd = [hasEnded](const ExchangeResult&) { *hasEnded = true; };
  *id = StartExchange(*mPool, MakeExchange("1"), std::move(handlers));
  AwaitRequest();
  mRaw.Send(AnswerTo("1", "body"));
  RunUntil([&] { return *hasHead; });
  AwaitEnd(Exchanged("2", AnswerTo("2", "b")));

  BOOST_TEST(!*hasEnded);
  BOOST_TEST(mRaw.Accepted() == 2);
}

BOOST_AUTO_TEST_CASE(AConnectionIsNotKeptBeyondTheStatedTime)
{
  AwaitEnd(Exchanged("1",
                     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=1\r\n"
                     "Content-Length: 0\r\n\r\n"));
  AwaitEnd(Exchanged("2", AnswerTo("2", "b")));

  BOOST_TEST(mRaw.Accepted() == 2);
}

BOOST_AUTO_TEST_CASE(ABodyIsSentWithItsLength)
{
  auto exchange = MakeExchange("1");
  exchange.mRequest.mMethod = "POST";
  exchange.mRequest.mQuery = "q=1";
  Start(std::move(exchange));
  AwaitRequest();

  BOOST_TEST(mRaw.LastRequest() ==
             "POST /a?q=1 HTTP/1.1\r\nx-id: 1\r\ncontent-length: 0\r\n\r\n");
}

// Incident LOST: an instance held each body several times and was ended for its
// memory.
BOOST_AUTO_TEST_CASE(ABodyIsInMemoryOnceHoweverManyExchangesSendIt)
{
  constexpr auto kBytes = std::size_t{ 16 } * 1024 * 1024;
  constexpr auto kExchanges = 6;
  auto exchange = MakeExchange("1");
  exchange.mRequest.mMethod = "POST";
  exchange.mRequest.mBody = std::string(kBytes, 'b');
  const auto before = ResidentBytes();
  auto sent = 0;
  for (auto n = 0; n < kExchanges; ++n) {
    auto handlers = ExchangeHandlers{};
    handlers.mOnSent = [&sent] { ++sent; };
    StartExchange(*mPool, exchange, std::move(handlers));
  }
  RunUntil([&] { return sent == kExchanges; });
  BOOST_TEST(ResidentBytes() < before + kBytes);
}

BOOST_AUTO_TEST_CASE(DatagramsArrive)
{
  auto received = std::string{};
  const auto ports = SocketAddress{ "127.0.0.1", mRaw.Address().mPort };
  auto socket = CollectOutcome<DatagramSocketPtr>([&] {
    return OpenDatagrams(
      *mLoop, ports, [&](std::string_view aBytes) { received = aBytes; });
  });
  BOOST_REQUIRE(socket.mValue.has_value());
  BOOST_TEST(SendDatagram(**socket.mValue, ports, "load"));
  RunUntil([&] { return received == "load"; });

  BOOST_TEST(!SendDatagram(**socket.mValue, { "nowhere", 1 }, "load"));
}

BOOST_AUTO_TEST_SUITE_END()
