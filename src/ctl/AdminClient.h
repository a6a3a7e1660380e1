// AdminClient.h: client of the administration API.
#ifndef caraway_ctl_AdminClient_h
#define caraway_ctl_AdminClient_h

#include <json/json.h>
#include <string>

#include "caraway/Result.h"

namespace caraway {

class AdminClient
{
public:
  AdminClient(std::string aAddress, std::string aKey);

  // NoEndpoint if the instance can't be reached; otherwise the error kind of
  // its answer.
  Result<Json::Value> Get(const std::string& aPath);
  Result<Json::Value> Post(const std::string& aPath, const Json::Value& aBody);

private:
  Result<Json::Value> Call(const char* aMethod,
                           const std::string& aPath,
                           const std::string& aBody);

  std::string mAddress;
  std::string mKey;
};

} // namespace caraway

#endif
