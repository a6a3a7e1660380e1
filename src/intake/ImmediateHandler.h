// ImmediateHandler.h: handler that answers each request at once by calling a
// function. Used for readiness, metrics and calls from other instances.
#ifndef caraway_intake_ImmediateHandler_h
#define caraway_intake_ImmediateHandler_h

#include <functional>

#include "intake/InboundConnection.h"

namespace caraway {

struct ImmediateReply
{
  int mStatus = 200;
  std::string mType; // Content-Type; "" = none
  std::string mBody;
};

class ImmediateHandler : public InboundHandler
{
public:
  using Reply = std::function<ImmediateReply(const InboundRequest&)>;

  explicit ImmediateHandler(Reply aReply, CallerLimits aLimits = CallerLimits())
    : mReply(std::move(aReply))
    , mLimits(aLimits)
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
  CallerLimits Limits() const override { return mLimits; }

private:
  Reply mReply;
  CallerLimits mLimits;
};

} // namespace caraway

#endif
