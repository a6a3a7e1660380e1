#include "serve/Authenticator.h"

#include "base/Digest.h"

namespace caraway {

namespace {

const std::string kBearer = "Bearer ";

} // namespace

Authenticator::Authenticator(const ConfigHolder& aConfig, Millis aMaxAge)
  : mConfig(aConfig)
  , mMaxAge(aMaxAge)
{
}

Result<Caller>
Authenticator::Authenticate(const std::string& aHeader) const
{
  ConfigPtr config = mConfig.Current();
  if (config->mRevision == 0) {
    return Fail(ErrorKind::NotReady, "no configuration has been loaded yet");
  }
  if (aHeader.compare(0, kBearer.size(), kBearer) != 0) {
    return Fail(ErrorKind::KeyMissing, "send Authorization: Bearer KEY");
  }
  if (mConfig.Age() > mMaxAge) {
    return Fail(ErrorKind::KeyStateStale,
                "the configuration was not confirmed by the platform or a peer "
                "within the allowed age");
  }
  std::string digest = DigestHex(aHeader.substr(kBearer.size()));
  auto id = config->mKeyIdByDigest.find(digest);
  if (id == config->mKeyIdByDigest.end()) {
    return Fail(ErrorKind::KeyUnknown,
                "the key was never granted or has been withdrawn");
  }
  const TenantKey& key = config->mKeys.at(id->second);
  return Caller{ key.mId, key.mDigest, key.mTenant };
}

std::optional<ErrorKind>
Authenticator::Recheck(const Caller& aCaller) const
{
  ConfigPtr config = mConfig.Current();
  auto key = config->mKeys.find(aCaller.mKeyId);
  if (key == config->mKeys.end() ||
      !DigestEqual(key->second.mDigest, aCaller.mDigest)) {
    return ErrorKind::KeyUnknown;
  }
  return mConfig.Age() > mMaxAge ? std::make_optional(ErrorKind::KeyStateStale)
                                 : std::nullopt;
}

} // namespace caraway
