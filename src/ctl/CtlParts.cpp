// CtlParts.cpp: the commands about parts of prompts that crash servers.
#include "ctl/Ctl.h"

#include <cstdio>

#include "ctl/InstanceCall.h"

namespace caraway {

Result<int>
Ctl::Parts(const Arguments& aArguments)
{
  BOOST_LEAF_AUTO(
    parts,
    CallInstance(aArguments[0], "parts", Json::Value(Json::objectValue)));
  Json::Value rows(Json::arrayValue);
  for (const std::string& name : parts.getMemberNames()) {
    const Json::Value& part = parts[name];
    Json::Value row;
    row["part"] = name;
    row["blocked"] = part["blocked"].asBool() ? "yes" : "no";
    row["crashes"] = part["ages"].size();
    row["probes"] = part["probes"].asInt();
    std::string servers;
    for (const std::string& crash : part["ages"].getMemberNames()) {
      servers += (servers.empty() ? "" : " ") + crash;
    }
    row["servers"] = servers;
    rows.append(std::move(row));
  }
  Print(parts, rows, { "part", "blocked", "crashes", "probes", "servers" });
  return CtlExit_Ok;
}

Result<int>
Ctl::LiftPart(const Arguments& aArguments)
{
  Json::Value params;
  params["part"] = aArguments[1];
  BOOST_LEAF_AUTO(result, CallInstance(aArguments[0], "lift_part", params));
  bool lifted = result["lifted"].asBool();
  std::printf("%s\n", lifted ? "lifted" : "was not blocked there");
  return lifted ? CtlExit_Ok : CtlExit_Refused;
}

} // namespace caraway
