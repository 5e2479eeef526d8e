#include "peers/internal/rpcparts.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cuminslip {

auto
ToText(const std::string& aText) -> capnp::Text::Reader
{
  return { aText.c_str(), aText.size() };
}

auto
ToData(const std::string& aBytes) -> capnp::Data::Reader
{
  return { reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size() };
}

auto
FromText(capnp::Text::Reader aText) -> std::string
{
  return { aText.cStr(), aText.size() };
}

auto
FromData(capnp::Data::Reader aBytes) -> std::string
{
  return { reinterpret_cast<const char*>(aBytes.begin()), aBytes.size() };
}

auto
WritePulled(PulledTemplates::Builder aTo,
            const std::vector<StoredTemplate>& aFrom) -> void
{
  auto n = 0U;
  for (const auto& it : aFrom) {
    auto pulled = aTo[n++];
    pulled.setAccount(ToText(it.mAccount.mValue));
    pulled.setRevision(it.mRevision);
    pulled.setDocument(ToData(it.mDocument));
    pulled.setVersion(it.mVersion);
  }
}

auto
ReadPulled(PulledTemplates::Reader aFrom) -> std::vector<StoredTemplate>
{
  auto templates = std::vector<StoredTemplate>{};
  for (const auto it : aFrom) {
    templates.push_back({ { FromText(it.getAccount()) },
                          it.getRevision(),
                          FromData(it.getDocument()),
                          it.getVersion() });
  }
  return templates;
}

auto
WriteRow(schema::EndpointRow::Builder aTo, const directory::EndpointRow& aFrom)
  -> void
{
  const auto& notice = aFrom.mNotice;
  aTo.setId(ToText(notice.mId.mValue));
  aTo.setService(ToText(notice.mService));
  aTo.setAddress(ToText(notice.mAddress));
  aTo.setFailureDomain(ToText(notice.mFailureDomain.mValue));
  aTo.setSlots(static_cast<std::uint32_t>(notice.mSlots));
  aTo.setState(static_cast<std::uint8_t>(notice.mState));
  aTo.setIncarnation(notice.mIncarnation);
  aTo.setSequence(notice.mSequence);
  aTo.setColdMillis(notice.mRemainingWarmUpTime.count());
  aTo.setSilent(aFrom.mIsSilent);
}

auto
ReadRow(schema::EndpointRow::Reader aFrom)
  -> std::optional<directory::EndpointRow>
{
  if (aFrom.getState() > static_cast<int>(directory::NoticeState::Gone)) {
    return std::nullopt;
  }
  auto row = directory::EndpointRow{};
  row.mNotice = { { FromText(aFrom.getId()) },
                  FromText(aFrom.getService()),
                  FromText(aFrom.getAddress()),
                  { FromText(aFrom.getFailureDomain()) },
                  aFrom.getSlots(),
                  static_cast<directory::NoticeState>(aFrom.getState()),
                  aFrom.getIncarnation(),
                  aFrom.getSequence(),
                  Millis(aFrom.getColdMillis()) };
  row.mIsSilent = aFrom.getSilent();
  return row;
}

auto
ToSchema(LeaderOutcome aOutcome) -> schema::LeaderOutcome
{
  return static_cast<schema::LeaderOutcome>(aOutcome);
}

auto
FromSchema(schema::LeaderOutcome aOutcome) -> LeaderOutcome
{
  const auto isKnown = aOutcome <= schema::LeaderOutcome::OVERLOADED;
  return isKnown ? static_cast<LeaderOutcome>(aOutcome)
                 : LeaderOutcome::NotLeader;
}

auto
WriteJoiner(schema::Joiner::Builder aTo, const Joiner& aFrom) -> void
{
  aTo.setMember(aFrom.mMember);
  aTo.setInstance(ToText(aFrom.mInstance.mInstance.mValue));
  aTo.setAddress(ToText(aFrom.mInstance.mAddress));
  aTo.setFailureDomain(ToText(aFrom.mInstance.mFailureDomain.mValue));
}

auto
ReadJoiner(schema::Joiner::Reader aFrom) -> Joiner
{
  return { aFrom.getMember(),
           { { FromText(aFrom.getInstance()) },
             FromText(aFrom.getAddress()),
             { FromText(aFrom.getFailureDomain()) } } };
}

auto
SetNoDelay(kj::AsyncIoStream& aStream) -> void
{
  const auto value = 1;
  aStream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &value, sizeof(value));
}

} // namespace cuminslip
