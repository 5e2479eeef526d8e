#include "wire/testing/testcertificate.h"

#include "base/digest.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <memory>

namespace cuminslip::wire::testing {

namespace {

constexpr auto kDaySeconds = 24 * 3600;

struct FileCloser
{
  auto operator()(std::FILE* aFile) const -> void { std::fclose(aFile); }
};
using FilePtr = std::unique_ptr<std::FILE, FileCloser>;

auto
AddNamePart(X509_NAME& aName, const char* aField, const std::string& aText)
  -> void
{
  const auto* bytes = reinterpret_cast<const unsigned char*>(aText.c_str());
  X509_NAME_add_entry_by_txt(&aName, aField, MBSTRING_ASC, bytes, -1, -1, 0);
}

auto
AddAddressName(X509& aCertificate) -> void
{
  auto* extension = X509V3_EXT_conf_nid(
    nullptr, nullptr, NID_subject_alt_name, "DNS:127.0.0.1,IP:127.0.0.1");
  X509_add_ext(&aCertificate, extension, -1);
  X509_EXTENSION_free(extension);
}

} // namespace

auto
MakeTestCertificate(const std::string& aPrefix) -> TestCertificate
{
  auto paths = TestCertificate{ aPrefix + ".pem", aPrefix + ".key" };
  const auto key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>(
    EVP_EC_gen("P-256"), EVP_PKEY_free);
  const auto certificate =
    std::unique_ptr<X509, decltype(&X509_free)>(X509_new(), X509_free);
  X509_set_version(certificate.get(), X509_VERSION_3);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -kDaySeconds);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), kDaySeconds);
  X509_set_pubkey(certificate.get(), key.get());
  auto* name = X509_get_subject_name(certificate.get());
  // NOTE: trust is looked up by the subject, so two certificates need two.
  AddNamePart(*name, "O", std::to_string(Checksum(aPrefix)));
  AddNamePart(*name, "CN", "127.0.0.1");
  X509_set_issuer_name(certificate.get(), name);
  AddAddressName(*certificate);
  X509_sign(certificate.get(), key.get(), EVP_sha256());
  const auto certificateFile =
    FilePtr(std::fopen(paths.mCertificateFile.c_str(), "w"));
  PEM_write_X509(certificateFile.get(), certificate.get());
  const auto keyFile = FilePtr(std::fopen(paths.mKeyFile.c_str(), "w"));
  PEM_write_PrivateKey(
    keyFile.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
  return paths;
}

} // namespace cuminslip::wire::testing
