#include "entry/PeerPortHandler.h"

#include "platform/RequestHead.h"

namespace caraway {

void
PeerPortHandler::OnRequest(const std::shared_ptr<InboundConnection>& aConn,
                           InboundRequest& aRequest)
{
  aRequest.mServersLeft = wire::ReadForwardedServers(aRequest.mHead);
  bool forwarded = mForwarded && aRequest.mServersLeft;
  (forwarded ? *mForwarded : mCalls).OnRequest(aConn, aRequest);
}

void
PeerPortHandler::OnDisconnected(InboundConnection& aConn)
{
  if (mForwarded) {
    mForwarded->OnDisconnected(aConn);
  }
}

std::vector<HttpField>
PeerPortHandler::RefusalFields() const
{
  return { wire::InstanceNotRunField(), wire::ElsewhereField() };
}

} // namespace caraway
