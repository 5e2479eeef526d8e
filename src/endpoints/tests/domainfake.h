#pragma once

#include "endpoints/membership.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Instances of one failure domain that pass their messages to each other in
/// memory, one millisecond each way, on a clock that the test moves.
namespace cuminslip::endpoints {

struct FakeInstance
{
  Membership mMembership;
  Registry mRegistry;
  bool mIsRunning = true;
  std::vector<EndpointChange> mEndpointChanges;
  std::vector<InstanceChange> mInstanceChanges;
  std::size_t mBytesSent = 0;
  std::size_t mMessagesSent = 0;
  std::size_t mBytesReceived = 0;
};

struct FakeDelivery
{
  TimePoint mAt;
  std::string mFrom;
  OutgoingMessage mMessage;
};

struct FakeDomain
{
  TimePoint mNow{ Seconds(1000) };
  std::map<std::string, FakeInstance> mInstances;
  std::deque<FakeDelivery> mInFlight;
  /// Tells whether a message from one address to another gets through.
  std::function<bool(const std::string&, const std::string&)> mIsLinked =
    [](const auto&, const auto&) { return true; };
  std::mt19937 mRandom{ 1 };
  unsigned mLostPercent = 0;
  unsigned mDuplicatePercent = 0;
};

inline auto
AddressOf(std::size_t aNumber) -> std::string
{
  return "10.0.0." + std::to_string(aNumber) + ":1";
}

inline auto
SettingsOf(std::size_t aNumber, Incarnation aIncarnation) -> MembershipSettings
{
  auto settings = MembershipSettings{};
  settings.mInstance = { "entry-" + std::to_string(100 + aNumber) };
  settings.mIncarnation = aIncarnation;
  settings.mAddress = AddressOf(aNumber);
  settings.mFailureDomain = { "poa-1" };
  settings.mPeers = { AddressOf(0), AddressOf(1), AddressOf(2) };
  return settings;
}

inline auto
StartInstance(FakeDomain& aDomain,
              std::size_t aNumber,
              Incarnation aIncarnation = 1) -> FakeInstance&
{
  auto& instance = aDomain.mInstances[AddressOf(aNumber)];
  instance = {};
  instance.mMembership =
    StartMembership(SettingsOf(aNumber, aIncarnation), aDomain.mNow);
  return instance;
}

inline auto
Emit(FakeDomain& aDomain, FakeInstance& aFrom, MembershipOutput aOutput) -> void
{
  for (auto& it : aOutput.mEndpointChanges) {
    aFrom.mEndpointChanges.push_back(std::move(it));
  }
  for (auto& it : aOutput.mInstanceChanges) {
    aFrom.mInstanceChanges.push_back(std::move(it));
  }
  const auto& from = aFrom.mMembership.mSettings.mAddress;
  for (auto& it : aOutput.mMessages) {
    aFrom.mBytesSent += it.mBytes.size();
    ++aFrom.mMessagesSent;
    if (aDomain.mRandom() % 100 < aDomain.mLostPercent) {
      continue;
    }
    if (aDomain.mRandom() % 100 < aDomain.mDuplicatePercent) {
      aDomain.mInFlight.push_back({ aDomain.mNow + Millis(1), from, it });
    }
    aDomain.mInFlight.push_back(
      { aDomain.mNow + Millis(1), from, std::move(it) });
  }
}

inline auto
DeliverDue(FakeDomain& aDomain) -> void
{
  while (!aDomain.mInFlight.empty() &&
         aDomain.mInFlight.front().mAt <= aDomain.mNow) {
    const auto delivery = std::move(aDomain.mInFlight.front());
    aDomain.mInFlight.pop_front();
    const auto target = aDomain.mInstances.find(delivery.mMessage.mAddress);
    const auto isReachable =
      target != aDomain.mInstances.end() && target->second.mIsRunning &&
      aDomain.mIsLinked(delivery.mFrom, delivery.mMessage.mAddress);
    if (!isReachable) {
      continue;
    }
    auto& instance = target->second;
    instance.mBytesReceived += delivery.mMessage.mBytes.size();
    Emit(aDomain,
         instance,
         ReceiveMembershipMessage(instance.mMembership,
                                  instance.mRegistry,
                                  delivery.mMessage.mBytes,
                                  aDomain.mNow));
  }
}

/// Moves the clock on in steps of a millisecond; instances tick each 20 ms.
inline auto
RunFor(FakeDomain& aDomain, Millis aTime) -> void
{
  const auto end = aDomain.mNow + aTime;
  while (aDomain.mNow < end) {
    aDomain.mNow += Millis(1);
    DeliverDue(aDomain);
    const auto millis =
      std::chrono::duration_cast<Millis>(aDomain.mNow.time_since_epoch());
    auto offset = 0;
    for (auto& [address, instance] : aDomain.mInstances) {
      offset += 7;
      if (instance.mIsRunning && (millis.count() + offset) % 20 == 0) {
        Emit(aDomain,
             instance,
             TickMembership(
               instance.mMembership, instance.mRegistry, aDomain.mNow));
      }
    }
  }
}

/// The endpoint announces itself to the instance at aAddress.
inline auto
Announce(FakeDomain& aDomain,
         const std::string& aAddress,
         const Announcement& aAnnouncement) -> ApplyOutcome
{
  auto& instance = aDomain.mInstances.at(aAddress);
  auto outcome =
    ApplyAnnouncement(instance.mRegistry, aAnnouncement, aDomain.mNow);
  if (outcome.mIsNews) {
    Emit(aDomain,
         instance,
         ShareEndpoint(instance.mMembership,
                       instance.mRegistry,
                       aAnnouncement.mEndpoint,
                       aDomain.mNow));
  }
  return outcome;
}

inline auto
AnnouncementOf(std::size_t aNumber, std::uint64_t aSequence) -> Announcement
{
  auto it = Announcement{};
  it.mEndpoint = { "engine-" + std::to_string(aNumber) };
  it.mIncarnation = 1;
  it.mSequence = aSequence;
  it.mAddress = "10.0.1." + std::to_string(aNumber) + ":9000";
  it.mFailureDomain = { "poa-1" };
  it.mRegion = { "porto-alegre" };
  it.mInterval = Millis(500);
  it.mModels = { { { "drafter" }, { "3" }, { "tax" } } };
  it.mLoad = { static_cast<std::int64_t>(aSequence % 50),
               2,
               64,
               static_cast<std::int64_t>(aSequence * 997 % 200000),
               90000,
               120000,
               50000,
               40 };
  it.mLoadAge = Millis(200);
  return it;
}

} // namespace cuminslip::endpoints
