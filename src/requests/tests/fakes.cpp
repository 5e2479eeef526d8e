#include "requests/tests/fakes.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace cuminslip::requests::testing {

namespace {

namespace json = boost::json;

constexpr auto kSeed = std::uint64_t{ 7 };

auto
PortFor(const std::shared_ptr<FakeCaller>& aCaller) -> CallerPort
{
  auto port = CallerPort{};
  port.mRespond = [aCaller](const wire::HttpResponse& aResponse) {
    ++aCaller->mAnswers;
    aCaller->mStatus = aResponse.mStatus;
    aCaller->mHeaders = aResponse.mHeaders;
    aCaller->mBody = aResponse.mBody;
    aCaller->mIsFinished = true;
  };
  port.mStartStream = [aCaller](int aStatus, const wire::Headers& aHeaders) {
    ++aCaller->mAnswers;
    aCaller->mStatus = aStatus;
    aCaller->mHeaders = aHeaders;
  };
  port.mSendPiece = [aCaller](std::string_view aPiece) {
    BOOST_TEST(!aCaller->mIsFinished);
    aCaller->mBody += aPiece;
  };
  port.mFinish = [aCaller] { aCaller->mIsFinished = true; };
  port.mAbort = [aCaller] { aCaller->mIsAborted = true; };
  port.mIsClosed = [aCaller] { return aCaller->mIsGone; };
  port.mUnsentBytes = [aCaller] { return aCaller->mUnsent; };
  return port;
}

auto
MakePorts(FrontFixture& aFixture) -> FrontPorts
{
  auto ports = FrontPorts{};
  ports.mNow = NowOf(aFixture.mClock);
  ports.mEndpoints.mStart = [&](wire::HttpCall aCall,
                                wire::CallHandlers aHandlers) {
    const auto id = aFixture.mNextCall++;
    aFixture.mCalls[id] = { std::move(aCall), std::move(aHandlers) };
    return id;
  };
  ports.mEndpoints.mCancel = [&](wire::CallId aCall) {
    if (aFixture.mCalls.contains(aCall)) {
      aFixture.mCalls[aCall].mIsCancelled = true;
    }
  };
  ports.mTimers.mStart = [&](Micros aDelay, std::function<void()> aAction) {
    const auto id = aFixture.mNextTimer++;
    aFixture.mTimers[id] = { aFixture.mClock.mNow + aDelay,
                             std::move(aAction) };
    return id;
  };
  ports.mTimers.mStop = [&](wire::TimerId aTimer) {
    aFixture.mTimers.erase(aTimer);
  };
  ports.mControl.mPropose =
    [&](Command aCommand, std::function<void(const CommandResult&)> aReply) {
      aFixture.mProposed.push_back(std::move(aCommand));
      if (aFixture.mResults.empty()) {
        aFixture.mHeldReplies.push_back(std::move(aReply));
        return;
      }
      const auto result = aFixture.mResults.front();
      aFixture.mResults.pop_front();
      aReply(result);
    };
  ports.mControl.mStanding = [&] { return aFixture.mStanding; };
  ports.mPeers.mSend = [&](const std::string&, const std::string& aBytes) {
    aFixture.mPeerMessages.push_back(aBytes);
  };
  ports.mAcquireOrderer =
    [&](Millis,
        const std::function<void(const placement::OrdererLease&)>& aReply) {
      aReply(aFixture.mOrdererLease);
    };
  ports.mIdentify = [](std::string_view aKey) -> std::optional<AccountId> {
    return aKey == "key" ? std::optional(AccountId{ "acme" }) : std::nullopt;
  };
  return ports;
}

auto
SampleSettings() -> FrontSettings
{
  auto settings = FrontSettings{};
  settings.mInstance = InstanceId{ "entry-1" };
  settings.mIncarnation = 4;
  settings.mPlace = { FailureDomainId{ "poa-1" }, RegionId{ "poa" } };
  return settings;
}

auto
SampleLoad() -> LoadReport
{
  auto load = LoadReport{};
  load.mBatchSlots = 8;
  load.mFreeKvTokens = 400000;
  load.mTotalKvTokens = 400000;
  load.mPrefillTokensPerSecond = 100000;
  load.mDecodeTokensPerSecond = 50;
  return load;
}

auto
Kind(const std::string& aName, Priority aPriority, bool aIsIdempotent)
  -> WorkKind
{
  auto kind = WorkKind{};
  kind.mName = WorkKindName{ aName };
  kind.mPriority = aPriority;
  kind.mIsIdempotent = aIsIdempotent;
  return kind;
}

} // namespace

auto
SampleTemplate() -> TemplateInForce
{
  auto item = TemplateInForce{};
  item.mRevision = 5;
  auto& inForce = item.mTemplate;
  inForce.mAccount = AccountId{ "acme" };
  inForce.mFailureDomains = { FailureDomainId{ "poa-1" } };
  inForce.mRegions = { RegionId{ "poa" } };
  inForce.mModel = ModelName{ "drafter" };
  inForce.mVersion = ModelVersion{ "3" };
  auto booking = Kind("book", Priority::Normal, false);
  booking.mService = "booking";
  inForce.mWorkKinds = { Kind("check", Priority::Urgent, true),
                         Kind("review", Priority::Patient, true),
                         Kind("claim", Priority::Normal, false),
                         booking };
  inForce.mLengthClasses = { { "short", 8192 }, { "long", 1048576 } };
  return item;
}

FrontFixture::FrontFixture()
{
  Restart(SampleSettings());
}

auto
FrontFixture::Restart(FrontSettings aSettings) -> void
{
  mFront = CreateFront(std::move(aSettings), MakePorts(*this), kSeed);
  ApplyTemplates(*mFront, { SampleTemplate() });
}

auto
FrontFixture::Announce(const std::string& aId,
                       int aPort,
                       bool aIsLeaving,
                       Incarnation aIncarnation) -> void
{
  auto announcement = endpoints::Announcement{};
  announcement.mEndpoint = EndpointId{ aId };
  announcement.mIncarnation = aIncarnation;
  announcement.mSequence = ++mSequence;
  announcement.mAddress = "127.0.0.1:" + std::to_string(aPort);
  announcement.mFailureDomain = FailureDomainId{ "poa-1" };
  announcement.mRegion = RegionId{ "poa" };
  announcement.mIsLeaving = aIsLeaving;
  announcement.mModels = {
    { ModelName{ "drafter" }, ModelVersion{ "3" }, {} }
  };
  announcement.mLoad = SampleLoad();
  const auto response =
    HandleAnnouncement(*mFront, endpoints::EncodeAnnouncement(announcement));
  BOOST_TEST(response.mStatus == 200);
}

auto
FrontFixture::AnnounceService(const std::string& aId, int aPort) -> void
{
  auto announcement = endpoints::Announcement{};
  announcement.mEndpoint = EndpointId{ aId };
  announcement.mIncarnation = 1;
  announcement.mSequence = ++mSequence;
  announcement.mKind = EndpointKind::PlainService;
  announcement.mService = "booking";
  announcement.mAddress = "127.0.0.1:" + std::to_string(aPort);
  announcement.mFailureDomain = FailureDomainId{ "poa-1" };
  announcement.mRegion = RegionId{ "poa" };
  const auto response =
    HandleAnnouncement(*mFront, endpoints::EncodeAnnouncement(announcement));
  BOOST_TEST(response.mStatus == 200);
}

auto
FrontFixture::Ask(const std::string& aKind,
                  const std::string& aPrompt,
                  bool aIsStream,
                  wire::Headers aExtra) -> std::shared_ptr<FakeCaller>
{
  auto request = wire::HttpRequest{};
  request.mMethod = "POST";
  request.mPath = "/v1/completions";
  request.mHeaders = std::move(aExtra);
  if (!wire::FindHeader(request.mHeaders, "authorization")) {
    request.mHeaders.push_back({ "authorization", "Bearer key" });
  }
  request.mHeaders.push_back({ "x-cuminslip-kind", aKind });
  request.mBody = json::serialize(json::object{ { "model", "drafter" },
                                                { "prompt", aPrompt },
                                                { "max_tokens", 8 },
                                                { "stream", aIsStream } });
  auto caller = std::make_shared<FakeCaller>();
  HandleCallerRequest(*mFront, request, PortFor(caller));
  return caller;
}

auto
FrontFixture::Book(const std::string& aBody, wire::Headers aExtra)
  -> std::shared_ptr<FakeCaller>
{
  auto request = wire::HttpRequest{};
  request.mMethod = "POST";
  request.mPath = "/v1/services/booking/rooms";
  request.mHeaders = std::move(aExtra);
  request.mHeaders.push_back({ "authorization", "Bearer key" });
  request.mBody = aBody;
  auto caller = std::make_shared<FakeCaller>();
  HandleCallerRequest(*mFront, request, PortFor(caller));
  return caller;
}

auto
FrontFixture::AdvanceTime(Millis aTime) -> void
{
  const auto end = mClock.mNow + aTime;
  while (mClock.mNow < end) {
    Advance(mClock, std::min<Micros>(kFrontTick, end - mClock.mNow));
    auto due = std::vector<wire::TimerId>{};
    for (const auto& [id, timer] : mTimers) {
      if (timer.mDue <= mClock.mNow) {
        due.push_back(id);
      }
    }
    for (const auto id : due) {
      const auto it = mTimers.find(id);
      if (it == mTimers.end()) {
        continue;
      }
      const auto action = it->second.mAction;
      mTimers.erase(it);
      action();
    }
    TickFront(*mFront);
  }
}

auto
FrontFixture::OpenCalls(const std::string& aPath) -> std::vector<wire::CallId>
{
  auto ids = std::vector<wire::CallId>{};
  for (const auto& [id, call] : mCalls) {
    if (!call.mIsCancelled && !call.mIsEnded &&
        call.mCall.mRequest.mPath.starts_with(aPath)) {
      ids.push_back(id);
    }
  }
  return ids;
}

auto
FrontFixture::OnlyStream() -> wire::CallId
{
  auto streams = std::vector<wire::CallId>{};
  for (const auto id : OpenCalls("/v1/streams")) {
    if (mCalls[id].mCall.mRequest.mPath == "/v1/streams") {
      streams.push_back(id);
    }
  }
  BOOST_REQUIRE(streams.size() == 1);
  return streams.front();
}

auto
FrontFixture::AttemptOf(wire::CallId aCall) -> std::string
{
  const auto body = json::parse(mCalls[aCall].mCall.mRequest.mBody.Bytes());
  return std::string(body.at("attempt").as_string());
}

auto
FrontFixture::SkippedPieces(wire::CallId aCall) -> std::int64_t
{
  const auto body = json::parse(mCalls[aCall].mCall.mRequest.mBody.Bytes());
  return body.at("skip_pieces").as_int64();
}

auto
FrontFixture::SendHead(wire::CallId aCall,
                       int aStatus,
                       const wire::Headers& aHeaders) -> void
{
  const auto handler = mCalls[aCall].mHandlers.mOnHead;
  if (handler) {
    handler(aStatus, aHeaders);
  }
}

auto
FrontFixture::SendBytes(wire::CallId aCall, const std::string& aBytes) -> void
{
  const auto handler = mCalls[aCall].mHandlers.mOnPiece;
  if (handler) {
    handler(aBytes);
  }
}

auto
FrontFixture::SendPieceEvent(wire::CallId aCall,
                             std::int64_t aNumber,
                             const std::string& aText) -> void
{
  SendBytes(aCall,
            "data: " +
              json::serialize(json::object{ { "attempt", AttemptOf(aCall) },
                                            { "piece", aNumber },
                                            { "text", aText } }) +
              "\n\n");
}

auto
FrontFixture::SendEndEvent(wire::CallId aCall, std::int64_t aPieces) -> void
{
  SendBytes(aCall,
            "data: " +
              json::serialize(json::object{ { "attempt", AttemptOf(aCall) },
                                            { "end", true },
                                            { "pieces", aPieces },
                                            { "reason", "stop" } }) +
              "\n\n");
}

auto
FrontFixture::End(wire::CallId aCall, wire::CallEnd aEnd) -> void
{
  mCalls[aCall].mIsEnded = true;
  const auto handler = mCalls[aCall].mHandlers.mOnEnd;
  if (handler) {
    handler(aEnd);
  }
}

auto
RanOf(const std::string& aBody) -> std::string
{
  const auto begin = aBody.find("\"ran\":\"");
  if (begin == std::string::npos) {
    return {};
  }
  const auto from = begin + 7;
  return aBody.substr(from, aBody.find('"', from) - from);
}

} // namespace cuminslip::requests::testing
