// RequestTrace.h: one request's lines from the logs of several instances, in
// the order in which one thing led to the next.
#ifndef caraway_ctl_RequestTrace_h
#define caraway_ctl_RequestTrace_h

#include <json/json.h>
#include <string>
#include <vector>

namespace caraway {

struct TraceLine
{
  std::string mInstance;
  int64_t mAt = 0; // the instance's own clock, Unix ms
  int64_t mUp = 0; // its monotonic time: orders its own lines
  Json::Value mLine;
  bool mOwn = false;   // about the request itself
  bool mMoved = false; // its clock was shifted to fit causes
};

class RequestTrace
{
public:
  explicit RequestTrace(std::string aId);

  // One file's text; lines that aren't events are passed over.
  void Read(const std::string& aText);
  // Lines of the request, and those about its model, servers and tenant that
  // bear on it, each cause before its effect.
  std::vector<TraceLine> Lines() const;
  // For people; says so when no line is about the request.
  std::string Text() const;

private:
  bool IsRelated(const TraceLine& aLine,
                 const std::vector<TraceLine>& aOwnLines) const;

  std::string mId;
  std::vector<TraceLine> mLines;
};

} // namespace caraway

#endif
