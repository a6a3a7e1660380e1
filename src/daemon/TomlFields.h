// TomlFields.h: reads one TOML table strictly.
#ifndef caraway_daemon_TomlFields_h
#define caraway_daemon_TomlFields_h

#include <set>
#include <string>
#include <toml++/toml.h>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

// The first complaint, over all tables of a file.
struct TomlTrouble
{
  std::string mFile;
  std::string mText; // "" = none yet

  void Say(uint32_t aLine, const std::string& aField, const std::string& aWhat);
};

class TomlFields
{
public:
  // aTable may be null: a table that isn't there, with defaults for all.
  TomlFields(const toml::table* aTable,
             std::string aName,
             TomlTrouble& aTrouble);
  // Complains of fields that nobody asked for.
  ~TomlFields();

  void Text(const char* aField, std::string& aOut, bool aRequired = false);
  void Address(const char* aField, std::string& aOut, bool aRequired = false);
  void Texts(const char* aField,
             std::vector<std::string>& aOut,
             bool aRequired);
  void Number(const char* aField, int64_t& aOut, int64_t aLeast);
  template<class Duration>
  void Time(const char* aField, Duration& aOut)
  {
    int64_t count = aOut.count();
    Number(aField, count, 1);
    aOut = Duration(count);
  }
  const toml::node* Node(const char* aField, bool aRequired);
  void Complain(const toml::node* aNode,
                const char* aField,
                const std::string& aWhat);

private:
  const toml::table* mTable;
  std::string mName;
  TomlTrouble& mTrouble;
  std::set<std::string> mKnown;
};

} // namespace caraway

#endif
