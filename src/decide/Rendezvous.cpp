#include "decide/Rendezvous.h"

#include <algorithm>
#include <cstdint>

namespace caraway {

namespace {

uint64_t
Mix(uint64_t aHash)
{
  aHash ^= aHash >> 33;
  aHash *= 0xff51afd7ed558ccdull;
  aHash ^= aHash >> 33;
  aHash *= 0xc4ceb9fe1a85ec53ull;
  return aHash ^ (aHash >> 33);
}

uint64_t
Weight(const std::string& aMember, const std::string& aKey)
{
  uint64_t hash = 14695981039346656037ull;
  for (const std::string* text : { &aMember, &aKey }) {
    for (char c : *text) {
      hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
    }
    hash = Mix(hash + 0x9e3779b97f4a7c15ull);
  }
  return hash;
}

} // namespace

std::string
RendezvousOwner(const std::vector<std::string>& aMembers,
                const std::string& aKey)
{
  std::string owner;
  uint64_t best = 0;
  for (const std::string& member : aMembers) {
    uint64_t weight = Weight(member, aKey);
    if (owner.empty() || weight > best || (weight == best && member < owner)) {
      owner = member;
      best = weight;
    }
  }
  return owner;
}

std::vector<std::string>
RendezvousFirst(const std::vector<std::string>& aMembers,
                const std::string& aKey,
                size_t aCount)
{
  struct Ranked
  {
    uint64_t mWeight;
    const std::string* mMember;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(aMembers.size());
  for (const std::string& member : aMembers) {
    ranked.push_back({ Weight(member, aKey), &member });
  }
  size_t count = std::min(aCount, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(),
                    [](const Ranked& aOne, const Ranked& aOther) {
                      return aOne.mWeight != aOther.mWeight
                               ? aOne.mWeight > aOther.mWeight
                               : *aOne.mMember < *aOther.mMember;
                    });
  std::vector<std::string> first;
  for (size_t i = 0; i < count; ++i) {
    first.push_back(*ranked[i].mMember);
  }
  return first;
}

} // namespace caraway
