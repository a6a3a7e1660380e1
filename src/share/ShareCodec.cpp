#include "share/ShareCodec.h"

namespace caraway {

ShareTable
ShareTableParse(const Json::Value& aJson)
{
  ShareTable table;
  table.mSerial = aJson["serial"].asInt64();
  table.mChangedSerial = aJson["changed"].asInt64();
  const Json::Value& members = aJson["members"];
  for (const std::string& id : members.getMemberNames()) {
    const Json::Value& entry = members[id];
    ShareMember member;
    member.mAddress = entry["address"].asString();
    member.mJoinedSerial = entry["joined"].asInt64();
    member.mRenewedSerial = entry["seen"].asInt64();
    member.mKnownSerial = entry["knows"].asInt64();
    member.mSuspectedBy = entry["suspected_by"].asString();
    table.mMembers[id] = member;
  }
  const Json::Value& slots = aJson["slots"];
  for (Json::ArrayIndex i = 0; i < slots.size() && i < kShareSlots; ++i) {
    ShareSlot& slot = table.mSlots[i];
    slot.mHolder = slots[i]["holder"].asString();
    slot.mAcquiredSerial = slots[i]["taken"].asInt64();
    slot.mNeverHeld = slots[i]["fresh"].asBool();
    const Json::Value& levels = slots[i]["levels"];
    if (levels.isObject()) {
      for (const std::string& tenant : levels.getMemberNames()) {
        slot.mLevels[tenant] = levels[tenant].asDouble();
      }
    }
  }
  return table;
}

Json::Value
ShareTableJson(const ShareTable& aTable)
{
  Json::Value json;
  json["serial"] = Json::Int64(aTable.mSerial);
  json["changed"] = Json::Int64(aTable.mChangedSerial);
  json["members"] = Json::Value(Json::objectValue);
  for (const auto& entry : aTable.mMembers) {
    Json::Value member;
    member["address"] = entry.second.mAddress;
    member["joined"] = Json::Int64(entry.second.mJoinedSerial);
    member["seen"] = Json::Int64(entry.second.mRenewedSerial);
    member["knows"] = Json::Int64(entry.second.mKnownSerial);
    if (!entry.second.mSuspectedBy.empty()) {
      member["suspected_by"] = entry.second.mSuspectedBy;
    }
    json["members"][entry.first] = member;
  }
  json["slots"] = Json::Value(Json::arrayValue);
  for (const ShareSlot& entry : aTable.mSlots) {
    Json::Value slot(Json::objectValue);
    slot["holder"] = entry.mHolder;
    slot["taken"] = Json::Int64(entry.mAcquiredSerial);
    if (entry.mNeverHeld) {
      slot["fresh"] = true;
    }
    for (const auto& level : entry.mLevels) {
      slot["levels"][level.first] = level.second;
    }
    json["slots"].append(slot);
  }
  return json;
}

} // namespace caraway
