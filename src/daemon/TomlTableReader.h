// TomlTableReader.h: reads one TOML table and rejects unknown fields.
#ifndef caraway_daemon_TomlTableReader_h
#define caraway_daemon_TomlTableReader_h

#include <set>
#include <string>
#include <toml++/toml.h>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

// Keeps the first error over all tables of a file.
struct TomlErrors
{
  std::string mFile;
  std::string mText; // empty if there was no error

  void Add(uint32_t aLine, const std::string& aField, const std::string& aWhat);
};

class TomlTableReader
{
public:
  // aTable: null if the table is absent; all fields then get their defaults.
  TomlTableReader(const toml::table* aTable,
                  std::string aName,
                  TomlErrors& aErrors);
  // Reports fields that were never read as unknown.
  ~TomlTableReader();

  void Text(const char* aField, std::string& aOut, bool aRequired = false);
  void Address(const char* aField, std::string& aOut, bool aRequired = false);
  void Texts(const char* aField,
             std::vector<std::string>& aOut,
             bool aRequired);
  void Number(const char* aField, int64_t& aOut, int64_t aMin);
  template<class Duration>
  void Time(const char* aField, Duration& aOut)
  {
    int64_t count = aOut.count();
    Number(aField, count, 1);
    aOut = Duration(count);
  }
  const toml::node* Node(const char* aField, bool aRequired);
  void AddError(const toml::node* aNode,
                const char* aField,
                const std::string& aWhat);

private:
  const toml::table* mTable;
  std::string mName;
  TomlErrors& mErrors;
  std::set<std::string> mKnownFields;
};

} // namespace caraway

#endif
