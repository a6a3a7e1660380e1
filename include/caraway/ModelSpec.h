// ModelSpec.h: a model or adapter that profiles may refer to.
#ifndef caraway_ModelSpec_h
#define caraway_ModelSpec_h

#include <cstdint>
#include <string>

namespace caraway {

struct ModelSpec
{
  std::string mName;
  std::string mVersion; // a new version is a different replica
  std::string mBase;    // "" for a model; the model's name for an adapter
  int64_t mBytes = 0;   // accelerator memory of a replica
};

} // namespace caraway

#endif
