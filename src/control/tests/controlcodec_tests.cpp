#include "control/controlcodec.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace cuminslip;

namespace {

namespace data = boost::unit_test::data;

auto
SampleCommands() -> std::vector<Command>
{
  return { PublishCommand{ { "a" }, 3, { "r" }, "text" },
           ClaimRunCommand{ { "a" }, { "k" }, "f", "t", 9 },
           FinishRunCommand{
             { "a" }, { "k" }, "t", FinishRunCommand::Outcome::Unknown, "x" },
           LeaseCommand{ "n", "h", 5 },
           SubmitWorkCommand{ { "a" }, "w", "f", 8, 4, "half", 7 },
           TakeWorkCommand{ "h", "t", 6 },
           RenewWorkCommand{ { "a" }, "w", "t", 6 },
           FinishWorkCommand{ { "a" }, "w", "t", 8, 4, "half" },
           PublishRoutingCommand{ 12, "document" } };
}

auto
SampleMessages() -> std::vector<ControlMessage>
{
  const auto membership =
    Membership{ { Member{ 1, { "i" }, "addr", { "d" }, MemberRole::Voter, 2 } },
                { { "j" } } };
  const auto entry = LogEntry{ 4, 2, EntryKind::Command, 8, "payload" };
  const auto time = TimePoint(Micros(12345));
  const auto bodies = std::vector<ControlBody>{
    PreVoteRequest{ 1, 2, 3 },
    PreVoteReply{ 1, true },
    VoteRequest{ 2, 3 },
    VoteReply{ true },
    AppendRequest{ 3, 2, { entry, entry }, 3, time, Millis(4) },
    AppendReply{ true, 3, 4, time },
    SnapshotPiece{ 9, 2, 8, membership, 100, 50, "bytes", time },
    SnapshotReply{ 9, 55, time },
    Rejection{ RejectionReason::LostEntries, 6 }
  };
  auto messages = std::vector<ControlMessage>{};
  for (const auto& it : bodies) {
    messages.push_back({ 7, 1, 2, "addr", 3, 5, 6, true, it });
  }
  return messages;
}

/// Calls every decoder with bytes that may not be a valid message.
auto
DecodeAll(const std::string& aBytes) -> void
{
  CollectOutcome<ControlMessage>([&] { return DecodeControlMessage(aBytes); });
  CollectOutcome<Command>([&] { return DecodeCommand(aBytes); });
  CollectOutcome<CommandResult>([&] { return DecodeCommandResult(aBytes); });
  CollectOutcome<LogRecord>([&] { return DecodeLogRecord(aBytes); });
  CollectOutcome<Snapshot>([&] { return DecodeSnapshot(aBytes); });
  CollectOutcome<ControlState>([&] { return DecodeControlState(aBytes); });
  CollectOutcome<Membership>([&] { return DecodeMembership(aBytes); });
  CollectOutcome<StoredVote>([&] { return DecodeStoredVote(aBytes); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlCodecTests)

BOOST_AUTO_TEST_CASE(CommandsRoundTrip)
{
  for (const auto& it : SampleCommands()) {
    const auto again =
      CollectOutcome<Command>([&] { return DecodeCommand(EncodeCommand(it)); });
    BOOST_TEST((again.mValue == it));
  }
}

BOOST_AUTO_TEST_CASE(MessagesRoundTrip)
{
  for (const auto& it : SampleMessages()) {
    const auto again = CollectOutcome<ControlMessage>(
      [&] { return DecodeControlMessage(EncodeControlMessage(it)); });
    BOOST_TEST((again.mValue == it));
  }
}

BOOST_AUTO_TEST_CASE(TruncatedMessagesAreRejectedOrDecoded)
{
  for (const auto& it : SampleMessages()) {
    const auto bytes = EncodeControlMessage(it);
    for (auto n = std::size_t{ 0 }; n < bytes.size(); ++n) {
      DecodeAll(bytes.substr(0, n));
    }
    BOOST_TEST(!CollectOutcome<ControlMessage>([&] {
                  return DecodeControlMessage(bytes.substr(0, 8));
                }).mValue.has_value());
  }
}

BOOST_DATA_TEST_CASE(RandomBytesNeverCrashADecoder, data::xrange(1, 300))
{
  auto random = std::mt19937_64(static_cast<std::uint64_t>(sample));
  auto inputs = std::vector<std::string>{ std::string(random() % 200, '\0') };
  for (auto& it : inputs.front()) {
    it = static_cast<char>(random());
  }
  for (const auto& it : SampleMessages()) {
    inputs.push_back(EncodeControlMessage(it));
  }
  for (const auto& it : SampleCommands()) {
    inputs.push_back(EncodeCommand(it));
  }
  for (auto& it : inputs) {
    for (auto n = 1 + random() % 6; n > 0 && !it.empty(); --n) {
      it[random() % it.size()] = static_cast<char>(random());
    }
    BOOST_CHECK_NO_THROW(DecodeAll(it));
  }
}

BOOST_AUTO_TEST_SUITE_END()
