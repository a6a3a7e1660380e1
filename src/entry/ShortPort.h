// ShortPort.h: a handler whose answers are made at once: readiness, metrics,
// calls of other instances.
#ifndef caraway_entry_ShortPort_h
#define caraway_entry_ShortPort_h

#include <functional>

#include "entry/InboundConnection.h"

namespace caraway {

struct ShortReply
{
  int mStatus = 200;
  std::string mType; // of the body
  std::string mBody;
};

class ShortPort : public InboundHandler
{
public:
  using Reply = std::function<ShortReply(const InboundRequest&)>;

  explicit ShortPort(Reply aReply)
    : mReply(std::move(aReply))
  {
  }

  void OnRequest(const std::shared_ptr<InboundConnection>& aConn,
                 InboundRequest& aRequest) override
  {
    ShortReply reply = mReply(aRequest);
    std::vector<HttpField> fields;
    if (!reply.mType.empty()) {
      fields.push_back({ "Content-Type", reply.mType });
    }
    aConn->Answer(reply.mStatus, std::move(fields), reply.mBody);
  }

private:
  Reply mReply;
};

} // namespace caraway

#endif
