// LoadMessages.h: messages between instances about load requests and the
// content of servers.
#ifndef caraway_load_LoadMessages_h
#define caraway_load_LoadMessages_h

#include <json/json.h>

#include "decide/LateOrders.h"
#include "decide/ServerView.h"
#include "load/LoadRequester.h"

namespace caraway {

// A zone has queued or started the load of a model; see LoadClaims.
inline constexpr char kClaimMessage[] = "load_claim";

// A load from the weight store has started or ended; see StoreLoadTracker.
inline constexpr char kStoreLoadMessage[] = "store_load";

// The Read functions throw Json::Exception if a field has another type.

Json::Value
LoadRequestJson(const LoadRequest& aRequest);
LoadRequest
ReadLoadRequest(const Json::Value& aRequest);

// A server's id, its start time, the number of orders it has accepted, its
// content, and the time for which it accepts no other order.
Json::Value
ContentJson(const Backend& aBackend, Millis aLoading);
// An order without an answer, and for how much longer it may be carried out.
Json::Value
SentOrderJson(const SentOrder& aSent, TimePoint aNow);
SentOrder
ReadSentOrder(const Json::Value& aSent, TimePoint aNow);
HeldModels
ReadModels(const Json::Value& aModels);

} // namespace caraway

#endif
