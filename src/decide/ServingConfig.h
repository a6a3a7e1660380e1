// ServingConfig.h: what operators decided, as the entry instance serves it.
#ifndef caraway_decide_ServingConfig_h
#define caraway_decide_ServingConfig_h

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

// What may be repeated on a route.
enum class RouteKind
{
  Idempotent, // may run again after any failure
  AtMostOnce, // a second run would be a second order
  Stream,     // events; at most once unless the route is resumable
};

struct SplitPart
{
  std::string mService;
  double mWeight = 1;
};

struct RouteSpec
{
  std::string mName;
  std::string mHost;
  std::string mPrefix; // begins and ends with a slash
  RouteKind mKind = RouteKind::AtMostOnce;
  Millis mTimeout{ 30000 }; // longest time that a caller is kept waiting
  Millis mTarget{ 1000 };   // an answer within it is on time
  int mPriority = 5;        // 0 = most urgent
  std::vector<SplitPart> mSplit;
  int mMaxServers = 1;     // servers that may see one request
  bool mAnonymous = false; // no key needed
  bool mResumable = false; // a stream may go on at another server
};

struct ModelWeights
{
  double mMb = 0;        // accelerator memory
  Millis mLoad{ 6000 };  // from the weight store
  Millis mDisk{ 1300 };  // from the server's disk
  Millis mWarm{ 600 };   // from the server's memory
  double mAdapterMb = 0; // of each adapter
};

struct EngineSpec
{
  std::map<std::string, ModelWeights> mModels;
  double mMemoryMb = 0;       // for models and adapters of one server
  int mAdapterSlots = 0;      // adapters on one server, those coming included
  double mLoadsPerSecond = 1; // from the weight store, over all servers
  int64_t mKvTokens = 0;      // memory for running requests; 0 = not told
};

struct ServiceSpec
{
  std::string mName;
  int mMaxConnections = 64; // a server's, from all callers
  std::optional<EngineSpec> mEngine;
};

struct TenantLimit
{
  std::string mName;
  std::optional<int> mPriority; // goes before the route's
  bool mInTokens = true;        // else requests are counted
  double mDefaultTokens = 1;    // of a request that doesn't tell its tokens
  double mRate = 0;             // a second; 0 = no limit
  double mBurst = 0;
};

struct CallerLimits
{
  // Takes over what is larger in aOther.
  void Widen(const CallerLimits& aOther);

  size_t mHeadBytes = 16384;
  size_t mBodyBytes = 4194304;
  Millis mHeadTime{ 3000 };
  Millis mIdle{ 15000 };
};

struct ServingConfig
{
  int64_t mVersion = 0; // only ever grows on an instance
  std::vector<RouteSpec> mRoutes;
  std::map<std::string, ServiceSpec> mServices;
  std::map<std::string, TenantLimit> mTenants;
  std::map<std::string, std::string> mTenantOfKey;
  CallerLimits mLimits;

  // Longest prefix of the host that begins aPath; null when there is none.
  const RouteSpec* Match(const std::string& aHost,
                         const std::string& aPath) const;
  // Null when there is none of that name.
  const TenantLimit* Tenant(const std::string& aName) const;
  // Null when the service is none, or a plain one.
  const EngineSpec* EngineOf(const std::string& aService) const;
  // The largest priority of a route: the least urgent.
  int LeastUrgent() const;
};

using ServingConfigPtr = std::shared_ptr<const ServingConfig>;

} // namespace caraway

#endif
