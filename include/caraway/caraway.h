// caraway.h: the public types, from top to bottom.
//
// Index
//   [1] Forward declarations
//   [2] Time          Time.h, Clock.h, PausedClock.h
//   [3] Errors        RunState.h, ErrorKind.h, Failure.h, Result.h
//   [4] Configuration objects
//                     RequestClass.h, Profile.h, Tenant.h, TenantKey.h,
//                     EndpointSpec.h, ModelSpec.h
//   [5] Configuration in force
//                     ConfigSnapshot.h
//
// There is one type per file; this header only lists and includes them. The
// decision logic is in src/decide, one step per file: start with ClaimStep.h,
// PlacementStep.h, ShareLease.h, TokenBucket.h and WaitQueue.h. The state of a
// running instance is in one struct, src/daemon/Instance.h.
#ifndef caraway_caraway_h
#define caraway_caraway_h

// [1] Forward declarations

namespace caraway {

class Clock;             // source of time; replaced in tests
class SystemClock;       // the system's clocks
class PausedClock;       // moves only when advanced
struct Failure;          // error object of LEAF results
struct ErrorAnswer;      // the answer to a caller for one error kind
struct Profile;          // serving parameters that callers refer to by name
struct Tenant;           // a team, with its rate and burst
struct TenantKey;        // a caller's key, as a digest
struct EndpointSpec;     // a back end: engine or plain service
struct ModelSpec;        // a model or an adapter of one
struct ConfigSnapshot;   // one complete revision of the configuration
enum class ErrorKind;    // closed list of error kinds
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

// [4] Configuration objects
#include "caraway/EndpointSpec.h"
#include "caraway/ModelSpec.h"
#include "caraway/Profile.h"
#include "caraway/RequestClass.h"
#include "caraway/Tenant.h"
#include "caraway/TenantKey.h"

// [5] Configuration in force
#include "caraway/ConfigSnapshot.h"

#endif
