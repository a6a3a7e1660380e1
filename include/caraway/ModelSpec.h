// ModelSpec.h: a model or adapter that profiles may name.
#ifndef caraway_ModelSpec_h
#define caraway_ModelSpec_h

#include <cstdint>
#include <string>

namespace caraway {

struct ModelSpec
{
  std::string mName;
  std::string mVersion; // a new version is another replica
  std::string mBase;    // "" for a model; the model's name for an adapter
  int64_t mBytes = 0;   // accelerator memory that a replica takes
};

} // namespace caraway

#endif
