// docs/OPERATIONS.md must list exactly the events that the code writes, with
// their fields.

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <regex>
#include <set>
#include <sstream>

namespace caraway {

namespace {

using EventFields = std::map<std::string, std::set<std::string>>;

std::string
TextOf(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::set<std::string>
MatchesIn(const std::string& aText, const char* aPattern)
{
  std::set<std::string> words;
  std::regex pattern(aPattern);
  std::sregex_iterator end;
  for (std::sregex_iterator at(aText.begin(), aText.end(), pattern); at != end;
       ++at) {
    words.insert((*at)[1]);
  }
  return words;
}

// Finds every statement that writes a line.
EventFields
WrittenEvents()
{
  EventFields events;
  std::regex line("Log(?:\\.|->)Line\\(([^)]*)\\)([^;]*);");
  for (const auto& file : std::filesystem::recursive_directory_iterator(
         std::filesystem::path(CARAWAY_SOURCE_DIR) / "src")) {
    if (file.path().extension() != ".cpp") {
      continue;
    }
    std::string text = TextOf(file.path());
    std::sregex_iterator end;
    for (std::sregex_iterator at(text.begin(), text.end(), line); at != end;
         ++at) {
      std::set<std::string> fields = MatchesIn(
        (*at)[2], "\\.(?:Text|Count|Number|Ms|Flag)\\(\\s*\"([a-z_]+)\"");
      for (const std::string& event : MatchesIn((*at)[1], "\"([a-z_]+)\"")) {
        events[event].insert(fields.begin(), fields.end());
      }
    }
  }
  return events;
}

EventFields
ListedEvents()
{
  EventFields events;
  std::istringstream page(
    TextOf(std::filesystem::path(CARAWAY_SOURCE_DIR) / "docs/OPERATIONS.md"));
  std::regex row("\\| ([a-z_, ]+) \\| ([a-z_, ]*) \\| .*");
  std::string text;
  std::smatch match;
  while (std::getline(page, text)) {
    if (!std::regex_match(text, match, row) || match[1] == "event") {
      continue;
    }
    for (const std::string& event : MatchesIn(match[1], "([a-z_]+)")) {
      events[event] = MatchesIn(match[2], "([a-z_]+)");
    }
  }
  events.erase("log_left_out"); // written by EventLog itself
  return events;
}

} // namespace

TEST(EventTable, PageAndCodeAgree)
{
  EventFields written = WrittenEvents();
  EventFields listed = ListedEvents();
  ASSERT_GT(written.size(), 20u);
  for (const auto& [event, fields] : written) {
    EXPECT_EQ(1u, listed.count(event))
      << event << " isn't listed in docs/OPERATIONS.md";
    EXPECT_EQ(fields, listed[event]) << event;
  }
  for (const auto& [event, fields] : listed) {
    EXPECT_EQ(1u, written.count(event))
      << event << " is listed but never written";
  }
}

} // namespace caraway
