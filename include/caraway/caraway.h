// caraway.h: the public types, from top to bottom.
//
// Index
//   [1] Forward declarations
//   [2] Time          Time.h, Clock.h, PausedClock.h
//   [3] Errors        RunState.h, ErrorKind.h, Failure.h, Result.h
//   [4] What operators write
//                     RequestClass.h, Profile.h, Tenant.h, TenantKey.h,
//                     EndpointSpec.h, ModelSpec.h
//   [5] What is in force
//                     ConfigSnapshot.h
//
// One type a file; this header only lists and includes them. The decisions are
// in src/decide, one step a file: start with ClaimStep.h, PlacementStep.h,
// ShareLease.h, TokenBucket.h and WaitQueue.h. The state of a running instance
// is in one struct, src/daemon/Instance.h.
#ifndef caraway_caraway_h
#define caraway_caraway_h

// [1] Forward declarations

namespace caraway {

class Clock;             // asked for the time; tests pause it
class SystemClock;       // the real one
class PausedClock;       // stands still until advanced
struct Failure;          // what a LEAF result carries when it isn't a value
struct ErrorAnswer;      // one row: how an error kind is told to a caller
struct Profile;          // what callers name and operators change
struct Tenant;           // a team, its rate and burst
struct TenantKey;        // a caller's key, as a digest
struct EndpointSpec;     // a back end: engine or plain service
struct ModelSpec;        // a model, or an adapter of one
struct ConfigSnapshot;   // one revision, whole
enum class ErrorKind;    // the closed list
enum class RunState;     // not_run, ran, may_have_run
enum class RequestClass; // urgent, interactive, batch
enum class EndpointKind; // engine, service

} // namespace caraway

// [2] Time
#include "caraway/Clock.h"
#include "caraway/PausedClock.h"
#include "caraway/Time.h"

// [3] Errors
#include "caraway/ErrorKind.h"
#include "caraway/Failure.h"
#include "caraway/Result.h"
#include "caraway/RunState.h"

// [4] What operators write
#include "caraway/EndpointSpec.h"
#include "caraway/ModelSpec.h"
#include "caraway/Profile.h"
#include "caraway/RequestClass.h"
#include "caraway/Tenant.h"
#include "caraway/TenantKey.h"

// [5] What is in force
#include "caraway/ConfigSnapshot.h"

#endif
