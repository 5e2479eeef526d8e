#pragma once

#include "wire/tls.h"

#include <openssl/ssl.h>

namespace cuminslip::wire {

struct SslContextDeleter
{
  auto operator()(SSL_CTX* aContext) const -> void { SSL_CTX_free(aContext); }
};

struct TlsContext
{
  std::unique_ptr<SSL_CTX, SslContextDeleter> mContext;
};

} // namespace cuminslip::wire
