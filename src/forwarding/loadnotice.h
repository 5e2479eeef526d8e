#pragma once

#include "base/findings.h"
#include "base/types/ids.h"
#include "policy/crashevidence.h"
#include "policy/enginelanes.h"
#include "policy/requestlimits.h"
#include "policy/workorder.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Notices by which entry instances report to each other the work that they
/// have assigned to the engines of the receiver's group. Each notice contains
/// the full state, so that lost and duplicate ones do no harm. The functions
/// are pure and thread safe.
namespace cuminslip::forwarding {

/// The work that one entry instance has assigned to one engine.
struct EngineShare
{
  /// Checksum of the endpoint's id.
  std::uint64_t mEngine = 0;
  EngineWork mWork;

  auto operator==(const EngineShare&) const -> bool = default;
};

/// What the sender knows of an endpoint from its answers.
struct ReportedStatement
{
  /// Checksum of the endpoint's id.
  std::uint64_t mEndpoint = 0;
  Incarnation mIncarnation = 0;
  RequestLimit mLimit;
  /// The endpoint is about to leave.
  bool mIsLeaving = false;
  /// Remaining time for which the endpoint is cold, by an answer to the sender.
  Millis mWarmUpTime{ 0 };

  auto operator==(const ReportedStatement&) const -> bool = default;
};

/// The end of an endpoint, as the sender knows of it.
struct ReportedCrash
{
  /// Checksum of the endpoint's id and incarnation.
  std::uint64_t mEndpoint = 0;
  Millis mAge{ 0 };
  bool mHadBegun = false;
  /// Number of endpoints that ended at about the same time.
  std::uint32_t mCompany = 1;
  /// Time from when the suspect was sent to the crash.
  Millis mRanFor = kRanForUnknown;

  auto operator==(const ReportedCrash&) const -> bool = default;
};

/// An endpoint that ended, whatever it ran.
struct ReportedEnd
{
  /// Checksum of the endpoint's id and incarnation.
  std::uint64_t mEndpoint = 0;
  Millis mAge{ 0 };

  auto operator==(const ReportedEnd&) const -> bool = default;
};

/// The sender's evidence on a request or a part of prompts.
struct ReportedSuspect
{
  SuspectKey mKey = 0;
  std::uint32_t mDepth = 0;
  std::vector<ReportedCrash> mCrashes;
  /// Time since the last sound answer, if there was one.
  std::optional<Millis> mSoundAge;

  auto operator==(const ReportedSuspect&) const -> bool = default;
};

struct LoadNotice
{
  /// Peer address of the sender.
  std::string mInstance;
  /// Increases with each notice, also across restarts of the sender.
  std::uint64_t mSequence = 0;
  std::vector<EngineShare> mShares;
  /// mShares is the work of all instances on the engines of the sender's group.
  bool mIsSummary = false;
  /// Advice: may be incomplete and older than what the receiver knows.
  std::vector<ReportedStatement> mStatements;
  /// The most suspect ones, and the latest ones.
  std::vector<ReportedSuspect> mSuspects;
  /// The latest ends of endpoints; only beside suspects.
  std::vector<ReportedEnd> mEnds;
  /// The sender reaches no endpoint.
  bool mIsCutOff = false;
  /// Engine milliseconds of the prompts that wait at the sender for engines of
  /// its group, by priority; at most kStatedPriorities.
  std::vector<double> mWaitingMillis;

  auto operator==(const LoadNotice&) const -> bool = default;
};

/// Returns the key of an endpoint's incarnation in notices.
auto
KeyOf(const EndpointId& aEndpoint, Incarnation aIncarnation) -> std::uint64_t;

auto
EncodeLoadNotice(const LoadNotice& aNotice) -> std::string;

/// Fails with Findings.
auto
DecodeLoadNotice(std::string_view aBytes) -> leaf::result<LoadNotice>;

} // namespace cuminslip::forwarding
