#include "entry/LoadMessages.h"

namespace caraway {

Json::Value
LoadRequestJson(const LoadRequest& aWant)
{
  Json::Value want;
  want["service"] = aWant.mService;
  want["model"] = aWant.mModel;
  want["adapter"] = aWant.mAdapter;
  want["priority"] = aWant.mPriority;
  want["left_ms"] = Json::Int64(aWant.mLeft.count());
  return want;
}

LoadRequest
ReadLoadRequest(const Json::Value& aWant)
{
  return { aWant["service"].asString(),
           aWant["model"].asString(),
           aWant["adapter"].asString(),
           aWant["priority"].asInt(),
           Millis(aWant["left_ms"].asInt64()) };
}

Json::Value
ContentJson(const Backend& aBackend, Millis aLoading)
{
  Json::Value content;
  content["id"] = aBackend.mEntry.mId;
  content["born"] = Json::Int64(aBackend.mEntry.mStartTime);
  content["orders"] = Json::Int64(aBackend.mOrders);
  content["loading_ms"] = Json::Int64(aLoading.count());
  content["models"] = Json::Value(Json::objectValue);
  for (const auto& [model, adapters] : aBackend.mModels) {
    Json::Value& list = content["models"][model];
    list = Json::Value(Json::arrayValue);
    for (const std::string& adapter : adapters) {
      list.append(adapter);
    }
  }
  return content;
}

HeldModels
ReadModels(const Json::Value& aModels)
{
  HeldModels models;
  for (const std::string& model : aModels.getMemberNames()) {
    std::set<std::string>& adapters = models[model];
    for (const Json::Value& adapter : aModels[model]) {
      adapters.insert(adapter.asString());
    }
  }
  return models;
}

} // namespace caraway
