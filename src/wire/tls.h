#pragma once

#include "base/findings.h"

#include <memory>
#include <string>

/// TLS for listeners and clients, by OpenSSL.
namespace cuminslip::wire {

/// Certificates in memory. Immutable; connections that use it keep it alive.
struct TlsContext;
using TlsContextPtr = std::shared_ptr<const TlsContext>;

/// Loads a server's certificate with its chain, and its key; both PEM files.
/// Fails with Findings when a file can't be read or the two don't belong
/// together. Thread safe.
auto
LoadServerTls(const std::string& aCertificateFile, const std::string& aKeyFile)
  -> leaf::result<TlsContextPtr>;

/// Loads the authorities that a client trusts, a PEM file. The client then
/// refuses servers with other certificates. A server's certificate must name
/// its IP address as common name or DNS name, since h2o compares only these.
/// Fails with Findings. Thread safe.
auto
LoadClientTls(const std::string& aTrustFile) -> leaf::result<TlsContextPtr>;

} // namespace cuminslip::wire
