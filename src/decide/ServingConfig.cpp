#include "decide/ServingConfig.h"

#include <algorithm>

namespace caraway {

void
CallerLimits::Widen(const CallerLimits& aOther)
{
  mHeadBytes = std::max(mHeadBytes, aOther.mHeadBytes);
  mBodyBytes = std::max(mBodyBytes, aOther.mBodyBytes);
  mHeadTime = std::max(mHeadTime, aOther.mHeadTime);
  mIdle = std::max(mIdle, aOther.mIdle);
}

const RouteSpec*
ServingConfig::Match(const std::string& aHost, const std::string& aPath) const
{
  const RouteSpec* best = nullptr;
  for (const RouteSpec& route : mRoutes) {
    if (route.mHost != aHost || aPath.rfind(route.mPrefix, 0) != 0) {
      continue;
    }
    if (!best || route.mPrefix.size() > best->mPrefix.size()) {
      best = &route;
    }
  }
  return best;
}

const TenantLimit*
ServingConfig::Tenant(const std::string& aName) const
{
  auto found = mTenants.find(aName);
  return found == mTenants.end() ? nullptr : &found->second;
}

const EngineSpec*
ServingConfig::EngineOf(const std::string& aService) const
{
  auto found = mServices.find(aService);
  bool engine = found != mServices.end() && found->second.mEngine;
  return engine ? &*found->second.mEngine : nullptr;
}

std::map<std::string, ColdSpec>
ServingConfig::ColdSpecs() const
{
  std::map<std::string, ColdSpec> specs;
  for (const auto& [name, service] : mServices) {
    if (service.mCold.mStart > Millis(0) || service.mCold.mPerSecond > 0) {
      specs[name] = service.mCold;
    }
  }
  return specs;
}

int
ServingConfig::LeastUrgent() const
{
  int least = 0;
  for (const RouteSpec& route : mRoutes) {
    least = std::max(least, route.mPriority);
  }
  return least;
}

void
ServingConfig::KeepSizes(const ServingConfig& aFormer)
{
  for (auto& [name, service] : mServices) {
    const EngineSpec* former = aFormer.EngineOf(name);
    if (service.mEngine && former) {
      service.mEngine->KeepSizes(*former);
    }
  }
}

namespace {

ModelSize
Larger(const ModelSize& aOne, const ModelSize& aOther)
{
  return { std::max(aOne.mMb, aOther.mMb),
           std::max(aOne.mAdapterMb, aOther.mAdapterMb) };
}

} // namespace

void
EngineSpec::KeepSizes(const EngineSpec& aFormer)
{
  std::map<std::string, ModelSize> sizes = aFormer.mFormerSizes;
  for (const auto& [name, model] : aFormer.mModels) {
    sizes[name] = Larger(sizes[name], { model.mMb, model.mAdapterMb });
  }
  for (const auto& [name, size] : sizes) {
    auto model = mModels.find(name);
    bool covered = model != mModels.end() && model->second.mMb >= size.mMb &&
                   model->second.mAdapterMb >= size.mAdapterMb;
    if (!covered) {
      mFormerSizes[name] = Larger(mFormerSizes[name], size);
    }
  }
}

ModelSize
EngineSpec::SizeOf(const std::string& aModel) const
{
  auto model = mModels.find(aModel);
  auto former = mFormerSizes.find(aModel);
  ModelSize size;
  if (model != mModels.end()) {
    size = { model->second.mMb, model->second.mAdapterMb };
  }
  if (former != mFormerSizes.end()) {
    return Larger(size, former->second);
  }
  if (model != mModels.end()) {
    return size;
  }
  for (const auto& [name, other] : mModels) {
    size = Larger(size, { other.mMb, other.mAdapterMb });
  }
  for (const auto& [name, other] : mFormerSizes) {
    size = Larger(size, other);
  }
  return size;
}

} // namespace caraway
