// RequestTrace.h: one request's log lines from several instances, with each
// cause before its effect.
#ifndef caraway_ctl_RequestTrace_h
#define caraway_ctl_RequestTrace_h

#include <json/json.h>
#include <string>
#include <vector>

namespace caraway {

struct TraceLine
{
  std::string mInstance;
  int64_t mAt = 0;       // the instance's wall clock, Unix ms
  int64_t mUptimeMs = 0; // the instance's monotonic time; orders its own lines
  Json::Value mLine;
  bool mOwn = false;     // logged for the request itself
  bool mShifted = false; // mAt was shifted to precede its effect
};

class RequestTrace
{
public:
  explicit RequestTrace(std::string aId);

  // Reads the text of one file; lines that aren't events are skipped.
  void Read(const std::string& aText);
  // Lines of the request and related lines about its model, servers and tenant,
  // each cause before its effect.
  std::vector<TraceLine> Lines() const;
  // For display; reports if no line belongs to the request.
  std::string Text() const;

private:
  bool IsRelated(const TraceLine& aLine,
                 const std::vector<TraceLine>& aOwnLines) const;

  std::string mId;
  std::vector<TraceLine> mLines;
};

} // namespace caraway

#endif
