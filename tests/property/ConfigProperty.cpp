#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/ConfigCodec.h"
#include "base/Digest.h"
#include "base/JsonText.h"
#include "caraway/PausedClock.h"
#include "platform/ConfigFollower.h"
#include "support/MemoryPlatform.h"
#include "support/RandomChoices.h"

namespace caraway {

namespace {

std::string
TextOf(const ConfigSnapshot& aConfig)
{
  return JsonWrite(ConfigJson(aConfig));
}

// An incarnation of an instance.
struct Follower
{
  Follower(PlatformApi& aPlatform, const Clock& aClock)
    : mStore(aPlatform)
    , mHolder(aClock)
    , mFollower(mStore, mHolder, aClock)
  {
  }
  ConfigStore mStore;
  ConfigHolder mHolder;
  ConfigFollower mFollower;
  int64_t mHighestRevision = 0; // observed
};

// Reply to a heartbeat; it arrives later, or never.
struct HeartbeatReply
{
  size_t mTo = 0;
  ConfigFreshness mFreshness;
  TimePoint mRequestedAt{};
  ConfigSnapshot mConfig;
};

struct ConfigModel
{
  PausedClock mClock;
  MemoryPlatform mPlatform;
  std::vector<std::unique_ptr<Follower>> mFollowers;
  std::vector<HeartbeatReply> mReplies;
  std::map<int64_t, std::string> mTexts;    // by revision, once observed
  std::map<int64_t, TimePoint> mInForce;    // when it came into force
  std::map<int64_t, std::string> mAccepted; // acknowledged to the operator
  bool mStaleReads = false;
  int mKeys = 0;
  int64_t mVersion = 0;  // of the index in force
  int64_t mRevision = 0; // of the configuration in force

  explicit ConfigModel(bool aStaleReads)
    : mStaleReads(aStaleReads)
  {
    for (int i = 0; i < 3; ++i) {
      mFollowers.push_back(std::make_unique<Follower>(mPlatform, mClock));
    }
  }

  // Sets random faults for this step's calls to the platform.
  void DrawFaults(RandomChoices& aChoices)
  {
    mPlatform.mOnWrite = [&aChoices](const PlatformWrite&) {
      return MemoryFaultOf(aChoices.Below(40));
    };
    mPlatform.mOnRead = [this, &aChoices] {
      int what = aChoices.Below(16);
      return what == 0 ? -1 : what < 4 && mStaleReads ? what : 0;
    };
  }

  // An operator changes this instance's configuration, unaware of newer ones.
  void Change(Follower& aFollower)
  {
    ConfigPtr current = aFollower.mHolder.Current();
    ConfigSnapshot next = *current;
    std::string id = "key" + std::to_string(mKeys++);
    next.mKeys[id].mId = id;
    next.mKeys[id].mTenant = "acme";
    next.mKeys[id].mDigest = DigestHex(id);
    next.mTenants["acme"] = { "acme", 1, 1 };
    if (next.mKeys.size() > 3) {
      next.mKeys.erase(next.mKeys.begin());
    }
    auto done = Outcome([&] {
      return aFollower.mStore.Commit(
        current->mRevision, next, "operator", id, "now");
    });
    if (auto* revision = std::get_if<ConfigRevision>(&done)) {
      RC_ASSERT(mAccepted.count(revision->mRevision) == 0u);
      mAccepted[revision->mRevision] = TextOf(next);
    }
  }

  void Poll(Follower& aFollower)
  {
    FailureIn([&] { return aFollower.mFollower.Poll(Millis(0)); });
  }

  void RequestConfig(size_t aFrom, size_t aTo)
  {
    ConfigHolder& peer = mFollowers[aFrom]->mHolder;
    mReplies.push_back(
      { aTo, peer.Freshness(), mClock.Now(), *peer.Current() });
  }

  void DeliverReply(RandomChoices& aChoices)
  {
    if (mReplies.empty()) {
      return;
    }
    HeartbeatReply reply = mReplies.front();
    mReplies.erase(mReplies.begin());
    mFollowers[reply.mTo]->mFollower.OnPeerFreshness(
      reply.mFreshness, reply.mRequestedAt, [&] {
        return aChoices.Below(4) == 0 ? std::nullopt
                                      : std::optional(reply.mConfig);
      });
  }

  void Step(RandomChoices& aChoices)
  {
    DrawFaults(aChoices);
    size_t at = static_cast<size_t>(aChoices.Below(3));
    Follower& follower = *mFollowers[at];
    int what = aChoices.Below(20);
    if (what < 3) {
      Change(follower);
    } else if (what < 9) {
      Poll(follower);
    } else if (what < 12) {
      RequestConfig(at, static_cast<size_t>(aChoices.Below(3)));
    } else if (what < 15) {
      DeliverReply(aChoices);
    } else if (what < 18) {
      mClock.Advance(Millis(aChoices.Below(50) * 20));
    } else if (what == 18 && !mPlatform.mLateWrites.empty()) {
      mPlatform.ApplyLate(0);
    } else if (what == 19 && aChoices.Below(3) == 0) {
      mReplies.clear();
      mFollowers[at] = std::make_unique<Follower>(mPlatform, mClock);
    }
    CheckRevisions();
  }

  void CheckRevisions()
  {
    PlatformObject index = mPlatform.CurrentObject("config", "index");
    if (index.mVersion != mVersion) {
      mVersion = index.mVersion;
      mRevision = ConfigIndexParse(index.mValue).mNow.mRevision;
      mInForce.emplace(mRevision, mClock.Now());
    }
    for (const auto& follower : mFollowers) {
      ConfigPtr current = follower->mHolder.Current();
      RC_ASSERT(current->mRevision >= follower->mHighestRevision);
      if (current->mRevision == follower->mHighestRevision) {
        continue;
      }
      follower->mHighestRevision = current->mRevision;
      auto known = mTexts.emplace(current->mRevision, TextOf(*current)).first;
      RC_ASSERT(known->second == TextOf(*current));
    }
    for (const auto& accepted : mAccepted) {
      auto known = mTexts.find(accepted.first);
      RC_ASSERT(known == mTexts.end() || known->second == accepted.second);
      RC_ASSERT(mRevision >= accepted.first);
    }
  }
};

} // namespace

// Guards against accepted changes that are lost, two changes under one
// revision, and instances that return to an earlier one. Two operators race;
// reads are stale, writes are lost, late, or in force without a reply; peers
// reply late; instances restart.
RC_GTEST_PROP(Config, AcceptedRevisionsPersistAndNeverRevert, ())
{
  RandomChoices choices = RandomChoices::OfLength(400);
  ConfigModel model(true);
  while (!choices.Ended()) {
    model.Step(choices);
  }
  model.mPlatform.mOnRead = nullptr;
  for (const auto& follower : model.mFollowers) {
    model.Poll(*follower);
    model.Poll(*follower);
  }
  model.CheckRevisions();

  for (const auto& follower : model.mFollowers) {
    RC_ASSERT(follower->mHolder.Current()->mRevision == model.mRevision);
  }
}

// Guards against a withdrawn key that is accepted by an instance whose keys are
// reported fresh. Whether an instance learnt its configuration by itself or
// from peers, it has every revision that came into force before the time it
// reports itself fresh for.
RC_GTEST_PROP(Config, FreshMeansNoNewerRevisionInForce, ())
{
  RandomChoices choices = RandomChoices::OfLength(400);
  ConfigModel model(false);
  while (!choices.Ended()) {
    model.Step(choices);
    for (const auto& follower : model.mFollowers) {
      ConfigFreshness fresh = follower->mHolder.Freshness();
      TimePoint asOf = model.mClock.Now() - fresh.mAge;
      for (const auto& revision : model.mInForce) {
        bool wasInForce = revision.second < asOf;
        RC_ASSERT(fresh.mRevision == 0 || !wasInForce ||
                  fresh.mRevision >= revision.first);
      }
    }
  }
}

} // namespace caraway
