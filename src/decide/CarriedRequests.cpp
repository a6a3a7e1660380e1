#include "decide/CarriedRequests.h"

#include <algorithm>
#include <functional>

namespace caraway {

namespace {

// An instance that the request is handed on to gets the time left at its
// departure, so that its deadline is later by the time on the way.
constexpr Millis kHandOverMargin{ 5000 };

size_t
HashOf(const std::string& aId)
{
  return std::hash<std::string>()(aId);
}

} // namespace

bool
CarriedRequests::MayCarry(const RequestIdentity& aNext) const
{
  switch (aNext.mBy) {
    case AnswerIdentity::Trusted:
      return true;
    case AnswerIdentity::None:
      return !mAny;
    case AnswerIdentity::RequestId:
      break;
  }
  size_t hash = HashOf(aNext.mId);
  return !mUnnamed && std::none_of(mNamed.begin(),
                                   mNamed.end(),
                                   [hash](const Carried& aCarried) {
                                     return aCarried.mIdHash == hash;
                                   });
}

void
CarriedRequests::Add(const RequestIdentity& aSent, TimePoint aNow)
{
  if (aSent.mBy == AnswerIdentity::Trusted) {
    return;
  }
  mAny = true;
  if (aSent.mBy == AnswerIdentity::None) {
    mUnnamed = true;
    return;
  }
  auto old = std::remove_if(
    mNamed.begin(), mNamed.end(), [aNow](const Carried& aCarried) {
      return aCarried.mUntil < aNow - kHandOverMargin;
    });
  mNamed.erase(old, mNamed.end());
  mNamed.push_back({ HashOf(aSent.mId), aSent.mUntil });
}

} // namespace caraway
