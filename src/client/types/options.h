#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "routingcheck/types/routingformat.h"
#include "wire/tls.h"
#include "wire/types/httpmessage.h"

#include <optional>
#include <string>
#include <vector>

/// A parsed command line of the client.
namespace cuminslip::client {

/// How often and how long a call is tried.
struct RetryLimits
{
  int mMaxAttempts = 6;
  /// Longest time for one attempt.
  Millis mAttemptTimeout{ 5000 };
  /// Doubles with each attempt.
  Millis mFirstDelay{ 100 };

  auto operator==(const RetryLimits&) const -> bool = default;
};

struct Options
{
  /// The command's words and operands, as "template", "get", "desconto-certo".
  std::vector<std::string> mWords;
  std::vector<wire::SocketAddress> mInstances;
  std::string mKeyFile;
  /// Read from mKeyFile.
  std::string mKey;
  /// Authorities of the instances' certificates; empty for plain connections.
  std::string mTrustFile;
  /// Read from mTrustFile; null for plain connections.
  wire::TlsContextPtr mTls;
  /// check: file with the routing document in force; empty: none.
  std::string mAgainstFile;
  /// Not parsed: set by RunClientCommand, for which it must outlive the
  /// options.
  const routingcheck::RoutingFormat* mRoutingFormat = nullptr;
  /// Logs to be read; empty for standard input.
  std::vector<std::string> mLogFiles;
  bool mIsJson = false;
  bool mIsDryRun = false;
  bool mWantsHelp = false;
  std::optional<Revision> mExpectedRevision;
  /// Empty: a random one is made.
  std::string mRequestId;
  RetryLimits mRetry;

  auto operator==(const Options&) const -> bool = default;
};

} // namespace cuminslip::client
