// ImmediateHandler.h: a handler whose answers are made at once: readiness,
// metrics, calls of other instances.
#ifndef caraway_entry_ImmediateHandler_h
#define caraway_entry_ImmediateHandler_h

#include <functional>

#include "entry/InboundConnection.h"

namespace caraway {

struct ImmediateReply
{
  int mStatus = 200;
  std::string mType; // of the body
  std::string mBody;
};

class ImmediateHandler : public InboundHandler
{
public:
  using Reply = std::function<ImmediateReply(const InboundRequest&)>;

  explicit ImmediateHandler(Reply aReply)
    : mReply(std::move(aReply))
  {
  }

  void OnRequest(const std::shared_ptr<InboundConnection>& aConn,
                 InboundRequest& aRequest) override
  {
    ImmediateReply reply = mReply(aRequest);
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
