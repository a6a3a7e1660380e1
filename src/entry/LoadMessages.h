// LoadMessages.h: what instances tell each other about models: wants, and what
// servers hold.
#ifndef caraway_entry_LoadMessages_h
#define caraway_entry_LoadMessages_h

#include <json/json.h>

#include "decide/ServerView.h"
#include "entry/LoadRequester.h"

namespace caraway {

// A zone has taken up the load of a model; see LoadClaims.
inline constexpr char kClaimMessage[] = "load_claim";

// A load from the weight store begins or has ended; see StoreLoadTracker.
inline constexpr char kStoreLoadMessage[] = "store_load";

Json::Value
LoadRequestJson(const LoadRequest& aWant);
LoadRequest
ReadLoadRequest(const Json::Value& aWant);

// A server, its life, orders accepted, what it holds, and for how long it will
// take no other order. Readers throw
// Json::Exception when a field has another type.
Json::Value
ContentJson(const Backend& aBackend, Millis aLoading);
HeldModels
ReadModels(const Json::Value& aModels);

} // namespace caraway

#endif
