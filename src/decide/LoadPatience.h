// LoadPatience.h: what the load of a missing model costs the callers that wait
// for it.
//
// The load that it is designed for: a few models get most requests, from
// callers whose target is shorter than a load from disk, so that each request
// that waits for a load is late. Hundreds of others get a request every few
// seconds from callers whose target is several times the load, and these lose
// nothing as long as the load begins in time. Both compete for the same places.
#ifndef caraway_decide_LoadPatience_h
#define caraway_decide_LoadPatience_h

#include <optional>
#include <string>

#include "caraway/Time.h"
#include "decide/ServingConfig.h"

namespace caraway {

// Why a model is loaded, the most urgent reason first.
enum class LoadPurpose
{
  Impatient, // callers wait that are late whatever happens
  Capacity,  // a replica that the urgent demand needs now or soon
  Unstated,  // the service's servers don't report their pace, or the instance
             // that sends the load request doesn't state it
  Patient,   // callers wait that are on time if the load begins in time
  Zone,      // a replica for the callers of a zone in case it is cut off
};

// "" for Unstated.
const char*
LoadPurposeName(LoadPurpose aPurpose);
// Of a load request; Unstated unless its callers are said to be patient or
// impatient.
LoadPurpose
ReadLoadPurpose(const std::string& aName);

// Whether a caller is late if its model must be loaded from a server's disk.
// aTime: from its request until a server must begin with it.
LoadPurpose
PurposeOf(Millis aTime, const ModelWeights& aModel);

struct LoadPatience
{
  LoadPurpose mPurpose = LoadPurpose::Unstated;
  // Time for which the callers can wait for the load without loss.
  Millis mCanWait{ 0 };

  // Seconds of loss for callers that wait aTime. Waiting without loss costs a
  // small share, so that loads don't queue for one server when another is free.
  double CostOfWait(Millis aTime) const;
  // Whether the load must not evict a model with aRate urgent requests a
  // second from the zone's callers, of which the zone has aReplicas.
  bool Spares(double aRate, int aReplicas) const;
};

// aLeft: until the first of the waiting requests is late.
LoadPatience
PatienceOf(LoadPurpose aPurpose, Millis aLeft);

} // namespace caraway

#endif
