#pragma once

#include <string>

/// Throw-away certificates for tests, made by the OpenSSL library.
namespace cuminslip::wire::testing {

struct TestCertificate
{
  std::string mCertificateFile;
  std::string mKeyFile;
};

/// Makes a certificate signed by itself for 127.0.0.1 and writes it and its key
/// to files that begin with aPrefix.
auto
MakeTestCertificate(const std::string& aPrefix) -> TestCertificate;

} // namespace cuminslip::wire::testing
