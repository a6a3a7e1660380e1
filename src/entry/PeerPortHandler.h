// PeerPortHandler.h: what other instances send to this one over TCP: calls, and
// requests of callers whom they can't serve themselves.
#ifndef caraway_entry_PeerPortHandler_h
#define caraway_entry_PeerPortHandler_h

#include "intake/InboundConnection.h"

namespace caraway {

class PeerPortHandler : public InboundHandler
{
public:
  explicit PeerPortHandler(InboundHandler& aCalls)
    : mCalls(aCalls)
  {
  }
  // Until it is set, forwarded requests are rejected like unknown calls.
  void SetForwarded(InboundHandler& aForwarded) { mForwarded = &aForwarded; }

  void OnRequest(const std::shared_ptr<InboundConnection>& aConn,
                 InboundRequest& aRequest) override;
  void OnDisconnected(InboundConnection& aConn) override;
  bool AcceptedElsewhere() const override { return true; }
  // The sender may send the request to another instance.
  std::vector<HttpField> RefusalFields() const override;

private:
  InboundHandler& mCalls;
  InboundHandler* mForwarded = nullptr;
};

} // namespace caraway

#endif
