#include "ctl/Ctl.h"

#include <cstdio>
#include <fstream>
#include <sstream>

#include "base/Digest.h"
#include "base/JsonText.h"
#include "base/RandomId.h"
#include "ctl/LossReport.h"
#include "ctl/RequestTrace.h"
#include "ctl/Table.h"

namespace caraway {

const Ctl::Command Ctl::kCommands[] = {
  { "list",
    "profiles|tenants|endpoints|models",
    "lists the entries in force",
    1,
    1,
    &Ctl::List },
  { "show",
    "profile|tenant|endpoint|model NAME",
    "shows one entry with all fields",
    2,
    2,
    &Ctl::Show },
  { "set",
    "profile|tenant|endpoint|model NAME FIELD=VALUE...",
    "creates or changes an entry",
    3,
    64,
    &Ctl::Set },
  { "remove",
    "profile|tenant|endpoint|model NAME",
    "removes an entry",
    2,
    2,
    &Ctl::Remove },
  { "keys",
    "",
    "lists key ids; the keys themselves aren't stored",
    0,
    0,
    &Ctl::Keys },
  { "grant", "TENANT", "creates a key and shows it once", 1, 1, &Ctl::Grant },
  { "withdraw",
    "KEY-ID",
    "withdraws a key; it stops working within seconds",
    1,
    1,
    &Ctl::Withdraw },
  { "check",
    "FILE.toml",
    "checks whether the file would be accepted",
    1,
    1,
    &Ctl::Check },
  { "diff",
    "FILE.toml",
    "shows what applying the file would change",
    1,
    1,
    &Ctl::Diff },
  { "apply", "FILE.toml", "applies the file's sections", 1, 1, &Ctl::Apply },
  { "history",
    "",
    "lists accepted revisions, newest first",
    0,
    0,
    &Ctl::History },
  { "rollback",
    "REVISION",
    "applies an earlier revision as a new one",
    1,
    1,
    &Ctl::Rollback },
  { "status",
    "",
    "shows revision, age, requests and share of every instance",
    0,
    0,
    &Ctl::Status },
  { "admin-key",
    "",
    "creates an administration key and its digest",
    0,
    0,
    &Ctl::AdminKey },
  { "explain",
    "ID FILE...",
    "traces one request through the logs of several instances",
    2,
    1024,
    &Ctl::Explain },
  { "losses",
    "FILE...",
    "reports lost requests from the logs of all instances",
    1,
    1024,
    &Ctl::Losses },
  { "parts",
    "IP:PORT",
    "lists parts of prompts that crash servers, by one entry instance",
    1,
    1,
    &Ctl::Parts },
  { "lift-part",
    "IP:PORT PART",
    "lets requests with a blocked part through again",
    2,
    2,
    &Ctl::LiftPart },
  { "evacuations",
    "IP:PORT",
    "lists the zones that one entry instance keeps out of service",
    1,
    1,
    &Ctl::Evacuations },
  { "help",
    "[COMMAND]",
    "shows this text, or one command's usage",
    0,
    1,
    &Ctl::Help },
};

Ctl::Ctl(CtlOptions aOptions)
  : mOptions(aOptions)
  , mClient(aOptions.mAdmin, aOptions.mKey)
{
}

std::string
Ctl::Usage()
{
  std::string text =
    "shows and changes the configuration that carawayd instances serve.\n"
    "  carawayctl [--admin IP:PORT] [--key_file FILE] "
    "COMMAND ...\n\n";
  for (const Command& command : kCommands) {
    std::string line =
      "  " + std::string(command.mName) + " " + command.mArguments;
    constexpr size_t kHelpColumn = 44;
    line.resize(std::max(line.size() + 2, kHelpColumn), ' ');
    text += line + command.mHelp + "\n";
  }
  return text + "\nExit codes: 0 done, 1 diff found differences, 2 usage, 3 "
                "refused, 4 no instance answered.\n";
}

int
Ctl::Run(const Arguments& aArguments)
{
  for (const Command& command : kCommands) {
    if (aArguments.empty() || aArguments[0] != command.mName) {
      continue;
    }
    Arguments arguments(aArguments.begin() + 1, aArguments.end());
    if (arguments.size() < command.mMinArguments ||
        arguments.size() > command.mMaxArguments) {
      std::fprintf(stderr,
                   "carawayctl: usage: carawayctl %s %s\n",
                   command.mName,
                   command.mArguments);
      return CtlExit_Usage;
    }
    auto result = Outcome([&] { return (this->*command.mAction)(arguments); });
    if (auto* code = std::get_if<int>(&result)) {
      return *code;
    }
    const Failure& failure = std::get<Failure>(result);
    std::fprintf(stderr,
                 "carawayctl: %s %s\n",
                 ErrorAnswerOf(failure.mKind).mTitle,
                 failure.mDetail.c_str());
    return failure.mKind == ErrorKind::NoEndpoint ? CtlExit_Unreachable
                                                  : CtlExit_Refused;
  }
  std::fprintf(stderr, "carawayctl: unknown command; see carawayctl help\n");
  return CtlExit_Usage;
}

void
Ctl::Print(const Json::Value& aJson,
           const Json::Value& aEntries,
           const std::vector<std::string>& aColumns)
{
  std::string text =
    mOptions.mJson ? JsonWrite(aJson) + "\n" : TableText(aEntries, aColumns);
  std::fputs(text.c_str(), stdout);
}

Result<int>
Ctl::Change(const Json::Value& aConfig,
            int64_t aRevision,
            const std::string& aNote)
{
  Json::Value body;
  body["expected"] =
    Json::Int64(mOptions.mExpect >= 0 ? mOptions.mExpect : aRevision);
  body["config"] = aConfig;
  body["note"] = mOptions.mNote.empty() ? aNote : mOptions.mNote;
  BOOST_LEAF_AUTO(json, mClient.Post("/admin/v1/config", body));
  if (mOptions.mJson) {
    std::printf("%s\n", JsonWrite(json).c_str());
  } else {
    std::printf("revision %lld: %s\n",
                static_cast<long long>(json["revision"].asInt64()),
                json["note"].asCString());
  }
  return CtlExit_Ok;
}

// Calls aRead with the text of each file, starting at index aFirst.
Result<void>
Ctl::ReadFiles(const Arguments& aFiles,
               size_t aFirst,
               const std::function<void(const std::string&)>& aRead)
{
  for (size_t i = aFirst; i < aFiles.size(); ++i) {
    std::ifstream file(aFiles[i]);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
      return Fail(ErrorKind::NotFound, "can't open or read " + aFiles[i]);
    }
    aRead(text.str());
  }
  return {};
}

Result<int>
Ctl::Losses(const Arguments& aArguments)
{
  LossReport report;
  BOOST_LEAF_CHECK(ReadFiles(
    aArguments, 0, [&](const std::string& aText) { report.Read(aText); }));
  std::string text = mOptions.mCsv ? report.Csv() : report.Text();
  std::fputs(text.c_str(), stdout);
  return CtlExit_Ok;
}

Result<int>
Ctl::Explain(const Arguments& aArguments)
{
  RequestTrace trace(aArguments[0]);
  BOOST_LEAF_CHECK(ReadFiles(
    aArguments, 1, [&](const std::string& aText) { trace.Read(aText); }));
  std::fputs(trace.Text().c_str(), stdout);
  return CtlExit_Ok;
}

Result<int>
Ctl::AdminKey(const Arguments&)
{
  std::string key = RandomKey();
  std::printf("key:    %s\ndigest: %s  (add to [admin] keys of every "
              "instance)\n",
              key.c_str(),
              DigestHex(key).c_str());
  return CtlExit_Ok;
}

Result<int>
Ctl::Help(const Arguments& aArguments)
{
  for (const Command& command : kCommands) {
    if (!aArguments.empty() && aArguments[0] == command.mName) {
      std::printf("carawayctl %s %s\n  %s\n",
                  command.mName,
                  command.mArguments,
                  command.mHelp);
      return CtlExit_Ok;
    }
  }
  std::fputs(("carawayctl " + Usage()).c_str(), stdout);
  return aArguments.empty() ? CtlExit_Ok : CtlExit_Usage;
}

} // namespace caraway
