#include "program/internal/reload.h"

#include "settings/settings.h"
#include "settings/types/settingsevents.h"

namespace cuminslip::program {

namespace {

struct Certificates
{
  wire::TlsContextPtr mServer;
  wire::TlsContextPtr mEndpoints;
};

auto
LoadCertificates(const TlsSettings& aTls) -> leaf::result<Certificates>
{
  auto certificates = Certificates{};
  if (!aTls.mCertificateFile.empty()) {
    BOOST_LEAF_ASSIGN(
      certificates.mServer,
      wire::LoadServerTls(aTls.mCertificateFile, aTls.mKeyFile));
  }
  if (!aTls.mEndpointTrustFile.empty()) {
    BOOST_LEAF_ASSIGN(certificates.mEndpoints,
                      wire::LoadClientTls(aTls.mEndpointTrustFile));
  }
  return certificates;
}

/// Takes over keys and certificates, or neither.
auto
TakeOver(Instance& aInstance, const std::string& aPath) -> leaf::result<void>
{
  BOOST_LEAF_AUTO(settings, LoadSettings(aPath));
  if (auto tls = ApplyTls(aInstance, settings.mTls); !tls) {
    return tls.error();
  }
  aInstance.mSettings.mTls = settings.mTls;
  aInstance.mSettings.mKeys = settings.mKeys;
  return {};
}

} // namespace

auto
ApplyTls(Instance& aInstance, const TlsSettings& aTls) -> leaf::result<void>
{
  BOOST_LEAF_AUTO(certificates, LoadCertificates(aTls));
  for (const auto* server : { &aInstance.mCallerServer,
                              &aInstance.mOperatorServer,
                              &aInstance.mEndpointServer }) {
    if (*server != nullptr) {
      wire::SetTls(**server, certificates.mServer);
    }
  }
  wire::SetTls(*aInstance.mClient, certificates.mEndpoints);
  return {};
}

auto
ReloadSettings(Instance& aInstance, const std::string& aPath) -> void
{
  struct Done
  {};
  const auto outcome = CollectOutcome<Done>([&]() -> leaf::result<Done> {
    if (auto taken = TakeOver(aInstance, aPath); !taken) {
      return taken.error();
    }
    return Done{};
  });
  if (!outcome.mValue) {
    LogEvent(kSettingsReloadRefusedEvent,
             { { "findings", FormatFindings(outcome.mFindings) } });
    return;
  }
  const auto& keys = aInstance.mSettings.mKeys;
  LogEvent(kSettingsReloadedEvent,
           { { "caller_keys", keys.mCallers.size() },
             { "operator_keys", keys.mOperators.size() },
             { "endpoint_keys", keys.mEndpoints.size() } });
}

} // namespace cuminslip::program
