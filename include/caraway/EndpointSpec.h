// EndpointSpec.h: a back end as declared by operators.
#ifndef caraway_EndpointSpec_h
#define caraway_EndpointSpec_h

#include <cstdint>
#include <string>

namespace caraway {

enum class EndpointKind
{
  Engine,  // loads models when ordered to
  Service, // plain service that requests are routed to
};

struct EndpointSpec
{
  std::string mName;
  std::string mZone;
  std::string mGroup;   // e.g. nieve-llm, paso-api
  std::string mAddress; // ip:port
  EndpointKind mKind = EndpointKind::Engine;
  int64_t mMemory = 0;         // bytes for models; engines only
  bool mChecksFencing = false; // refuses orders with an old fencing number
  int mSlots = 8;              // concurrent requests
  // Version of its software, not of the weights; engines only. "" = not named,
  // a version of its own.
  std::string mSoftware;
};

} // namespace caraway

#endif
