// CtlEvacuations.cpp: the command about zones that are out of service.
#include "ctl/Ctl.h"

#include "ctl/InstanceCall.h"

namespace caraway {

Result<int>
Ctl::Evacuations(const Arguments& aArguments)
{
  BOOST_LEAF_AUTO(
    known,
    CallInstance(aArguments[0], "evacuations", Json::Value(Json::objectValue)));
  const Json::Value& zones = known["zones"];
  Json::Value rows(Json::arrayValue);
  for (const std::string& zone : zones.getMemberNames()) {
    Json::Value row;
    row["zone"] = zone;
    row["revision"] = zones[zone]["revision"];
    row["age_s"] = zones[zone]["age_ms"].asInt64() / 1000;
    rows.append(std::move(row));
  }
  Print(known, rows, { "zone", "revision", "age_s" });
  return CtlExit_Ok;
}

} // namespace caraway
