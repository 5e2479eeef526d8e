#include "fakes/service/scenario.h"

#include "wire/types/httpmessage.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <map>

namespace cuminslip::fakes {

namespace {

/// What reads the value of a key.
using FieldReader = std::function<void(const YAML::Node&)>;
using Fields = std::map<std::string, FieldReader>;

struct Reading
{
  std::string mSource;
  Findings mFindings;
};

auto
Add(Reading& aReading,
    const YAML::Node& aNode,
    const std::string& aKey,
    const std::string& aProblem,
    const std::string& aExpected) -> void
{
  const auto mark = aNode.Mark();
  AddFinding(aReading.mFindings,
             { { aReading.mSource, mark.line + 1, mark.column + 1 },
               aKey,
               aProblem,
               aExpected });
}

auto
ReadMap(Reading& aReading, const YAML::Node& aNode, const Fields& aFields)
  -> void
{
  if (!aNode.IsMap()) {
    Add(aReading, aNode, "", "not a map", "a map of keys");
    return;
  }
  for (const auto& entry : aNode) {
    const auto key = entry.first.as<std::string>();
    const auto it = aFields.find(key);
    if (it == aFields.end()) {
      Add(aReading, entry.first, key, "unknown key", "a key of this map");
      continue;
    }
    try {
      it->second(entry.second);
    } catch (const YAML::Exception&) {
      Add(aReading, entry.second, key, "wrong type", "a value of its type");
    }
  }
}

template<class T>
auto
Into(T& aTarget) -> FieldReader
{
  return [&aTarget](const YAML::Node& aNode) { aTarget = aNode.as<T>(); };
}

auto
IntoMillis(Millis& aTarget) -> FieldReader
{
  return [&aTarget](const YAML::Node& aNode) {
    aTarget = Millis(aNode.as<std::int64_t>());
  };
}

auto
IntoAddress(Reading& aReading, std::string& aTarget) -> FieldReader
{
  return [&aReading, &aTarget](const YAML::Node& aNode) {
    aTarget = aNode.as<std::string>();
    if (!wire::ParseAddress(aTarget).has_value()) {
      Add(aReading, aNode, "address", "not an address", "IP:PORT");
    }
  };
}

auto
IntoModels(Reading& aReading, std::vector<EngineModel>& aTarget) -> FieldReader
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
ReadEngine(Reading& aReading, const YAML::Node& aNode, EngineSettings& aEngine)
  -> void
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
ReadService(Reading& aReading,
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

/// Reads a list whose items begin as copies of aDefault.
template<class T, class Function>
auto
IntoList(Reading& aReading,
         std::vector<T>& aTarget,
         const T& aDefault,
         Function aRead) -> FieldReader
{
  return [&aReading, &aTarget, &aDefault, aRead](const YAML::Node& aNode) {
    for (const auto& item : aNode) {
      auto value = aDefault;
      aRead(aReading, item, value);
      if (value.mName.empty() || value.mAddress.empty()) {
        Add(aReading, item, "name", "no name or address", "both keys");
      }
      aTarget.push_back(std::move(value));
    }
  };
}

} // namespace

auto
ReadScenario(const std::string& aText, const std::string& aSource)
  -> leaf::result<Scenario>
{
  auto reading = Reading{ aSource, {} };
  auto scenario = Scenario{};
  auto engine = EngineSettings{};
  auto service = ServiceSettings{};
  const auto readEngineDefaults = [&](const YAML::Node& aNode) {
    ReadEngine(reading, aNode, engine);
  };
  const auto readServiceDefaults = [&](const YAML::Node& aNode) {
    ReadService(reading, aNode, service);
  };
  try {
    const auto root = YAML::Load(aText);
    // NOTE: defaults are read first, wherever they stand in the file.
    auto early = Reading{ aSource, {} };
    if (root.IsMap() && root["engine_defaults"]) {
      ReadEngine(early, root["engine_defaults"], engine);
    }
    if (root.IsMap() && root["service_defaults"]) {
      ReadService(early, root["service_defaults"], service);
    }
    ReadMap(
      reading,
      root,
      { { "engine_defaults", readEngineDefaults },
        { "service_defaults", readServiceDefaults },
        { "time_scale", Into(scenario.mTimeScale) },
        { "weight_store_gigabytes_per_second",
          Into(scenario.mWeightStoreGigabytesPerSecond) },
        { "control", IntoAddress(reading, scenario.mControl) },
        { "engines", IntoList(reading, scenario.mEngines, engine, ReadEngine) },
        { "services",
          IntoList(reading, scenario.mServices, service, ReadService) } });
  } catch (const YAML::ParserException& ex) {
    AddFinding(reading.mFindings,
               { { aSource, ex.mark.line + 1, ex.mark.column + 1 },
                 "",
                 ex.msg,
                 "YAML" });
  }
  if (!IsEmpty(reading.mFindings)) {
    return leaf::new_error(reading.mFindings);
  }
  return scenario;
}

} // namespace cuminslip::fakes
