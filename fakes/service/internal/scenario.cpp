#include "fakes/service/scenario.h"

#include "fakes/engine/yamlread.h"

namespace cuminslip::fakes {

namespace {

auto
IntoModels(YamlReading& aReading, std::vector<EngineModel>& aTarget)
  -> FieldReader
{
  return [&aReading, &aTarget](const YAML::Node& aNode) {
    aTarget.clear();
    for (const auto& item : aNode) {
      auto model = EngineModel{};
      ReadMap(aReading,
              item,
              { { "model", Into(model.mModel) },
                { "version", Into(model.mVersion) },
                { "adapters", Into(model.mAdapters) } });
      aTarget.push_back(std::move(model));
    }
  };
}

auto
AddAnnounceFields(Fields& aFields, AnnounceSettings& aAnnounce) -> void
{
  aFields["announce_to"] = Into(aAnnounce.mTargets);
  aFields["first_target"] = Into(aAnnounce.mFirstTarget);
  aFields["endpoint_key"] = Into(aAnnounce.mKey);
  aFields["interval_ms"] = IntoMillis(aAnnounce.mInterval);
  aFields["load_lag_ms"] = IntoMillis(aAnnounce.mLoadLag);
  aFields["cache_event_delay_ms"] = IntoMillis(aAnnounce.mCacheEventDelay);
  aFields["cache_event_loss"] = Into(aAnnounce.mCacheEventLoss);
}

auto
ReadEngine(YamlReading& aReading,
           const YAML::Node& aNode,
           EngineSettings& aEngine) -> void
{
  auto fields = Fields{
    { "name", Into(aEngine.mName) },
    { "address", IntoAddress(aReading, aEngine.mAddress) },
    { "failure_domain", Into(aEngine.mFailureDomain) },
    { "region", Into(aEngine.mRegion) },
    { "role", Into(aEngine.mRole) },
    { "models", IntoModels(aReading, aEngine.mModels) },
    { "prefill_tokens_per_second", Into(aEngine.mPrefillTokensPerSecond) },
    { "decode_tokens_per_second", Into(aEngine.mDecodeTokensPerSecond) },
    { "decode_slowdown_per_stream", Into(aEngine.mDecodeSlowdownPerStream) },
    { "transfer_tokens_per_second", Into(aEngine.mTransferTokensPerSecond) },
    { "chunk_tokens", Into(aEngine.mChunkTokens) },
    { "batch_slots", Into(aEngine.mBatchSlots) },
    { "max_waiting", Into(aEngine.mMaxWaiting) },
    { "total_kv_tokens", Into(aEngine.mTotalKvTokens) },
    { "max_models", Into(aEngine.mMaxModels) },
    { "model_gigabytes", Into(aEngine.mModelGigabytes) },
    { "checks_fencing", Into(aEngine.mChecksFencing) },
    { "honours_priority", Into(aEngine.mHonoursPriority) }
  };
  AddAnnounceFields(fields, aEngine.mAnnounce);
  ReadMap(aReading, aNode, fields);
}

auto
ReadService(YamlReading& aReading,
            const YAML::Node& aNode,
            ServiceSettings& aService) -> void
{
  auto fields = Fields{ { "name", Into(aService.mName) },
                        { "service", Into(aService.mService) },
                        { "address", IntoAddress(aReading, aService.mAddress) },
                        { "failure_domain", Into(aService.mFailureDomain) },
                        { "region", Into(aService.mRegion) },
                        { "delay_ms", IntoMillis(aService.mDelay) },
                        { "slots", Into(aService.mSlots) },
                        { "max_waiting", Into(aService.mMaxWaiting) } };
  AddAnnounceFields(fields, aService.mAnnounce);
  ReadMap(aReading, aNode, fields);
}

/// Reads a list of named endpoints that begin as copies of aDefault.
template<class T, class Function>
auto
IntoEndpoints(YamlReading& aReading,
              std::vector<T>& aTarget,
              const T& aDefault,
              Function aRead) -> FieldReader
{
  return IntoList(
    aReading,
    aTarget,
    aDefault,
    [aRead](YamlReading& aInner, const YAML::Node& aNode, T& aValue) {
      aRead(aInner, aNode, aValue);
      if (aValue.mName.empty() || aValue.mAddress.empty()) {
        AddAt(aInner, aNode, "name", "no name or address", "both keys");
      }
    });
}

} // namespace

auto
ReadScenario(const std::string& aText, const std::string& aSource)
  -> leaf::result<Scenario>
{
  auto reading = YamlReading{ aSource, {} };
  auto scenario = Scenario{};
  auto engine = EngineSettings{};
  auto service = ServiceSettings{};
  const auto readEngineDefaults = [&](const YAML::Node& aNode) {
    ReadEngine(reading, aNode, engine);
  };
  const auto readServiceDefaults = [&](const YAML::Node& aNode) {
    ReadService(reading, aNode, service);
  };
  ReadYaml(reading, aText, [&](const YAML::Node& aRoot) {
    // NOTE: defaults are read first, wherever they stand in the file.
    auto early = YamlReading{ aSource, {} };
    if (aRoot.IsMap() && aRoot["engine_defaults"]) {
      ReadEngine(early, aRoot["engine_defaults"], engine);
    }
    if (aRoot.IsMap() && aRoot["service_defaults"]) {
      ReadService(early, aRoot["service_defaults"], service);
    }
    ReadMap(
      reading,
      aRoot,
      { { "engine_defaults", readEngineDefaults },
        { "service_defaults", readServiceDefaults },
        { "time_scale", Into(scenario.mTimeScale) },
        { "weight_store_gigabytes_per_second",
          Into(scenario.mWeightStoreGigabytesPerSecond) },
        { "control", IntoAddress(reading, scenario.mControl) },
        { "engines",
          IntoEndpoints(reading, scenario.mEngines, engine, ReadEngine) },
        { "services",
          IntoEndpoints(reading, scenario.mServices, service, ReadService) } });
  });
  if (!IsEmpty(reading.mFindings)) {
    return leaf::new_error(reading.mFindings);
  }
  return scenario;
}

} // namespace cuminslip::fakes
