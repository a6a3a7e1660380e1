#include "load/LoadMessages.h"

namespace caraway {

Json::Value
LoadRequestJson(const LoadRequest& aRequest)
{
  Json::Value request;
  request["service"] = aRequest.mService;
  request["model"] = aRequest.mModel;
  request["adapter"] = aRequest.mAdapter;
  request["priority"] = aRequest.mPriority;
  request["left_ms"] = Json::Int64(aRequest.mLeft.count());
  request["version"] = aRequest.mVersion;
  if (aRequest.mPurpose != LoadPurpose::Unstated) {
    request["purpose"] = LoadPurposeName(aRequest.mPurpose);
  }
  if (aRequest.mZoneBound) {
    request["zone_bound"] = true;
  }
  return request;
}

LoadRequest
ReadLoadRequest(const Json::Value& aRequest)
{
  LoadRequest request{ aRequest["service"].asString(),
                       aRequest["model"].asString(),
                       aRequest["adapter"].asString(),
                       aRequest["priority"].asInt(),
                       Millis(aRequest["left_ms"].asInt64()) };
  request.mVersion = aRequest["version"].asString();
  request.mPurpose = ReadLoadPurpose(aRequest["purpose"].asString());
  request.mZoneBound = aRequest["zone_bound"].asBool();
  return request;
}

Json::Value
ContentJson(const Backend& aBackend, Millis aLoading)
{
  Json::Value content;
  content["id"] = aBackend.mEntry.mId;
  content["born"] = Json::Int64(aBackend.mEntry.mStartTime);
  content["orders"] = Json::Int64(aBackend.mOrderCount);
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

Json::Value
SentOrderJson(const SentOrder& aSent, TimePoint aNow)
{
  auto left = std::chrono::duration_cast<Millis>(aSent.mUntil - aNow);
  Json::Value sent;
  sent["load"] = aSent.mOrder.mLoad;
  sent["model"] = aSent.mOrder.mModel;
  sent["adapter"] = aSent.mOrder.mAdapter;
  sent["orders"] = Json::Int64(aSent.mOrder.mOrderCount);
  sent["holder"] = aSent.mOrder.mHolder;
  sent["token"] = Json::Int64(aSent.mOrder.mToken);
  sent["born"] = Json::Int64(aSent.mStartTime);
  sent["left_ms"] = Json::Int64(left.count());
  return sent;
}

SentOrder
ReadSentOrder(const Json::Value& aSent, TimePoint aNow)
{
  ModelOrder order{ aSent["load"].asBool(),      aSent["model"].asString(),
                    aSent["adapter"].asString(), aSent["orders"].asInt64(),
                    aSent["holder"].asString(),  aSent["token"].asInt64() };
  return { order,
           aSent["born"].asInt64(),
           aNow + Millis(aSent["left_ms"].asInt64()),
           aNow };
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
