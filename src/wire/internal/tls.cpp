#include "wire/tls.h"

#include "wire/internal/tlscontext.h"

#include <openssl/err.h>

namespace cuminslip::wire {

namespace {

auto
TlsFinding(const std::string& aFile, const std::string& aExpected) -> Findings
{
  const auto code = ERR_peek_last_error();
  const auto* reason = ERR_reason_error_string(code);
  ERR_clear_error();
  return { { { { aFile, 0, 0 },
               "",
               reason == nullptr ? "can't be used" : reason,
               aExpected } } };
}

auto
MakeContext(const SSL_METHOD* aMethod) -> std::shared_ptr<TlsContext>
{
  auto context = std::make_shared<TlsContext>();
  context->mContext.reset(SSL_CTX_new(aMethod));
  SSL_CTX_set_min_proto_version(context->mContext.get(), TLS1_2_VERSION);
  return context;
}

} // namespace

auto
LoadServerTls(const std::string& aCertificateFile, const std::string& aKeyFile)
  -> leaf::result<TlsContextPtr>
{
  const auto context = MakeContext(TLS_server_method());
  auto* ssl = context->mContext.get();
  if (SSL_CTX_use_certificate_chain_file(ssl, aCertificateFile.c_str()) != 1) {
    return leaf::new_error(
      TlsFinding(aCertificateFile, "a PEM file with a certificate"));
  }
  if (SSL_CTX_use_PrivateKey_file(ssl, aKeyFile.c_str(), SSL_FILETYPE_PEM) !=
      1) {
    return leaf::new_error(
      TlsFinding(aKeyFile, "a PEM file with the certificate's key"));
  }
  return TlsContextPtr(context);
}

auto
LoadClientTls(const std::string& aTrustFile) -> leaf::result<TlsContextPtr>
{
  const auto context = MakeContext(TLS_client_method());
  auto* ssl = context->mContext.get();
  if (SSL_CTX_load_verify_locations(ssl, aTrustFile.c_str(), nullptr) != 1) {
    return leaf::new_error(
      TlsFinding(aTrustFile, "a PEM file with certificates"));
  }
  SSL_CTX_set_verify(ssl, SSL_VERIFY_PEER, nullptr);
  return TlsContextPtr(context);
}

} // namespace cuminslip::wire
