// LoadRequestCalls.h: sends load requests to the lease holders of zones.
//
// A holder gets one call at a time from an instance; what is requested
// meanwhile goes with the next one. A holder that falls behind would otherwise
// get a call for each model from each instance at every interval, answered or
// not, and would spend all of its time on these.
#ifndef caraway_load_LoadRequestCalls_h
#define caraway_load_LoadRequestCalls_h

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "entry/Peers.h"
#include "load/LoadRequester.h"

namespace caraway {

class LoadRequestCalls
{
public:
  using Handler = std::function<Json::Value(const std::string& aZone,
                                            const LoadRequest& aRequest)>;
  // aGood: the holder has answered.
  using Reply = std::function<
    void(const LoadRequest& aRequest, bool aGood, const Json::Value& aResult)>;

  // aHandler: answers the requests of other instances. aZone is empty if the
  // calling instance knows only its own zone.
  LoadRequestCalls(Peers& aPeers, Handler aHandler, Reply aReply);

  void Start();
  void Send(const std::string& aZone, const LoadRequest& aRequest);

private:
  struct ZoneCalls
  {
    std::vector<LoadRequest> mWaiting;
    std::string mHolder; // that was called last
    bool mCalling = false;
    int mTimeouts = 0;  // of mHolder, in a row
    uint64_t mCall = 0; // number of the last call
  };

  Json::Value OnCall(const Json::Value& aParams);
  void SendWaiting(const std::string& aZone);
  void OnAnswer(const std::string& aZone,
                uint64_t aCall,
                const std::vector<LoadRequest>& aRequests,
                bool aGood,
                const Json::Value& aResult);
  static Millis TimeoutAfter(int aTimeouts);

  Peers& mPeers;
  Handler mHandler;
  Reply mReply;
  std::map<std::string, ZoneCalls> mZones;
};

} // namespace caraway

#endif
