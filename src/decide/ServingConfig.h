// ServingConfig.h: the operators' configuration, as the entry instance serves
// it.
#ifndef caraway_decide_ServingConfig_h
#define caraway_decide_ServingConfig_h

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "caraway/Time.h"
#include "decide/ColdServerLimit.h"

namespace caraway {

// Whether a request of a route may be retried.
enum class RouteKind
{
  Idempotent, // may run again after any failure
  AtMostOnce, // a second run would be a second order
  Stream,     // event stream; at most once unless the route is resumable
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
  Millis mTimeout{ 30000 }; // longest time that a caller waits
  Millis mTarget{ 1000 };   // an answer within it is on time
  Millis mGapAim{ 0 };      // longest pause of a stream on time; 0 = any
  int mPriority = 5;        // 0 = most urgent
  std::vector<SplitPart> mSplit;
  int mMaxServers = 1;            // servers that one request may be sent to
  bool mAnonymous = false;        // no key needed
  bool mResumable = false;        // a stream may resume on another server
  std::set<std::string> mRegions; // that requests may reach; empty = all
};

struct ModelWeights
{
  double mMb = 0;        // accelerator memory
  Millis mLoad{ 6000 };  // from the weight store
  Millis mDisk{ 1300 };  // from the server's disk
  Millis mWarm{ 600 };   // from the server's memory
  double mAdapterMb = 0; // of each adapter
};

struct ModelSize
{
  double mMb = 0; // accelerator memory
  double mAdapterMb = 0;
};

struct EngineSpec
{
  // Keeps the sizes that aFormer, replaced by this one, gave its models:
  // servers may hold them still.
  void KeepSizes(const EngineSpec& aFormer);
  // Size to reckon with for a model that a server holds. It is the largest that
  // a configuration gave it, or that of the largest model if none named it.
  ModelSize SizeOf(const std::string& aModel) const;

  std::map<std::string, ModelWeights> mModels;
  std::map<std::string, ModelSize> mFormerSizes; // by model; see KeepSizes()
  double mMemoryMb = 0;       // for models and adapters on one server
  int mAdapterSlots = 0;      // adapters per server, pending loads included
  double mLoadsPerSecond = 1; // from the weight store, over all servers
  // Tokens that fit into the key-value cache; 0 = not reported.
  int64_t mKvTokens = 0;
};

struct ServiceSpec
{
  std::string mName;
  int mMaxConnections = 64; // per server, from all callers
  Millis mGapAim{ 0 };      // shortest of its routes; 0 = none has one
  std::optional<EngineSpec> mEngine;
  ColdSpec mCold;
};

struct TenantLimit
{
  std::string mName;
  std::optional<int> mPriority; // overrides the route's
  bool mInTokens = true;        // else in requests
  double mDefaultTokens = 1;    // of a request that doesn't state its tokens
  double mRate = 0;             // per second; 0 = no limit
  double mBurst = 0;
  std::set<std::string> mRegions; // that requests may reach; empty = all
};

struct CallerLimits
{
  // Raises each limit to aOther's if that is larger.
  void Widen(const CallerLimits& aOther);

  size_t mHeadBytes = 16384;
  size_t mBodyBytes = 4194304;
  Millis mHeadTime{ 3000 };
  Millis mIdle{ 15000 };
};

struct ServingConfig
{
  int64_t mVersion = 0; // never decreases on an instance
  std::vector<RouteSpec> mRoutes;
  std::map<std::string, ServiceSpec> mServices;
  std::map<std::string, TenantLimit> mTenants;
  std::map<std::string, std::string> mTenantOfKey;
  CallerLimits mLimits;
  // Values that were ignored because they can't be read, as SERVICE FIELD.
  std::vector<std::string> mIgnored;

  // The route of aHost with the longest prefix of aPath; null = none.
  const RouteSpec* Match(const std::string& aHost,
                         const std::string& aPath) const;
  // Null if there is no such tenant.
  const TenantLimit* Tenant(const std::string& aName) const;
  // Of the services whose servers can be cold.
  std::map<std::string, ColdSpec> ColdSpecs() const;
  // Null if there is no such service, or it is a plain one.
  const EngineSpec* EngineOf(const std::string& aService) const;
  // To be called before this configuration takes the place of aFormer.
  void KeepSizes(const ServingConfig& aFormer);
  // The largest priority of all routes, which is the least urgent.
  int LeastUrgent() const;
};

using ServingConfigPtr = std::shared_ptr<const ServingConfig>;

} // namespace caraway

#endif
