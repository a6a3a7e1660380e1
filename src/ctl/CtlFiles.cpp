// Commands on files, revisions and the fleet as a whole.
#include "ctl/Ctl.h"

#include <cstdio>

#include "base/JsonText.h"
#include "ctl/ConfigDiff.h"
#include "ctl/ConfigFile.h"

namespace caraway {

Result<int>
Ctl::Check(const Arguments& aArguments)
{
  BOOST_LEAF_AUTO(file, ConfigFile::Read(aArguments[0]));
  BOOST_LEAF_AUTO(json, mClient.Get("/admin/v1/config"));
  Json::Value body;
  body["config"] = ConfigMerge(json["config"], file.Sections());
  auto checked = Outcome([&] { return mClient.Post("/admin/v1/check", body); });
  if (auto* failure = std::get_if<Failure>(&checked)) {
    failure->mDetail = file.LocationOf(failure->mDetail) + failure->mDetail;
    return Fail(*failure);
  }
  std::printf("%s: fine\n", aArguments[0].c_str());
  return CtlExit_Ok;
}

Result<int>
Ctl::Diff(const Arguments& aArguments)
{
  BOOST_LEAF_AUTO(file, ConfigFile::Read(aArguments[0]));
  BOOST_LEAF_AUTO(json, mClient.Get("/admin/v1/config"));
  Json::Value diff =
    ConfigDiff(json["config"], ConfigMerge(json["config"], file.Sections()));
  if (mOptions.mJson) {
    std::printf("%s\n", JsonWrite(diff).c_str());
  } else {
    std::fputs(ConfigDiffText(diff).c_str(), stdout);
  }
  return diff.empty() ? CtlExit_Ok : CtlExit_Differs;
}

Result<int>
Ctl::Apply(const Arguments& aArguments)
{
  BOOST_LEAF_AUTO(file, ConfigFile::Read(aArguments[0]));
  BOOST_LEAF_AUTO(json, mClient.Get("/admin/v1/config"));
  Json::Value merged = ConfigMerge(json["config"], file.Sections());
  auto changed = Outcome([&] {
    return Change(
      merged, json["revision"].asInt64(), "applied " + aArguments[0]);
  });
  if (auto* failure = std::get_if<Failure>(&changed)) {
    if (failure->mKind == ErrorKind::ConfigInvalid) {
      failure->mDetail = file.LocationOf(failure->mDetail) + failure->mDetail;
    }
    return Fail(*failure);
  }
  return std::get<int>(changed);
}

Result<int>
Ctl::History(const Arguments&)
{
  BOOST_LEAF_AUTO(json, mClient.Get("/admin/v1/history"));
  Json::Value entries(Json::arrayValue);
  entries.append(json["now"]);
  for (const Json::Value& entry : json["history"]) {
    entries.append(entry);
  }
  Print(entries, entries, { "revision", "at", "author", "note" });
  return CtlExit_Ok;
}

Result<int>
Ctl::Rollback(const Arguments& aArguments)
{
  BOOST_LEAF_AUTO(earlier, mClient.Get("/admin/v1/revisions/" + aArguments[0]));
  BOOST_LEAF_AUTO(json, mClient.Get("/admin/v1/config"));
  // Keeps the current keys: a rollback must not restore a withdrawn key.
  Json::Value config = earlier["config"];
  config["keys"] = json["config"]["keys"];
  return Change(
    config, json["revision"].asInt64(), "rolled back to " + aArguments[0]);
}

Result<int>
Ctl::Status(const Arguments&)
{
  BOOST_LEAF_AUTO(json, mClient.Get("/admin/v1/fleet"));
  Print(json["instances"],
        json["instances"],
        { "id",
          "zone",
          "ready",
          "revision",
          "config_age_ms",
          "in_flight",
          "models_busy",
          "share_slots",
          "fit_instances",
          "silent" });
  return CtlExit_Ok;
}

} // namespace caraway
