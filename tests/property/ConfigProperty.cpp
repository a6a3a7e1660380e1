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

// One life of an instance.
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
  int64_t mSeen = 0; // highest revision seen from outside
};

// What a beat was answered with; it arrives later, or never.
struct Beat
{
  size_t mTo = 0;
  ConfigFreshness mSaid;
  TimePoint mAsked{};
  ConfigSnapshot mConfig;
};

struct World
{
  PausedClock mClock;
  MemoryPlatform mPlatform;
  std::vector<std::unique_ptr<Follower>> mFollowers;
  std::vector<Beat> mBeats;
  std::map<int64_t, std::string> mTexts;    // of each revision, once seen
  std::map<int64_t, TimePoint> mInForce;    // since when
  std::map<int64_t, std::string> mAccepted; // what its operator was told
  bool mStale = false;                      // may reads be?
  int mKeys = 0;
  int64_t mVersion = 0;  // of the index in force
  int64_t mRevision = 0; // the same

  explicit World(bool aStale)
    : mStale(aStale)
  {
    for (int i = 0; i < 3; ++i) {
      mFollowers.push_back(std::make_unique<Follower>(mPlatform, mClock));
    }
  }

  // How this step's calls to the platform fare.
  void DrawFaults(RandomChoices& aTape)
  {
    mPlatform.mOnWrite = [&aTape](const PlatformWrite&) {
      return MemoryFaultOf(aTape.Below(40));
    };
    mPlatform.mOnRead = [this, &aTape] {
      int what = aTape.Below(16);
      return what == 0 ? -1 : what < 4 && mStale ? what : 0;
    };
  }

  // An operator changes what this instance has, knowing nothing newer.
  void Change(Follower& aAt)
  {
    ConfigPtr current = aAt.mHolder.Current();
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
      return aAt.mStore.Commit(current->mRevision, next, "operator", id, "now");
    });
    if (auto* revision = std::get_if<ConfigRevision>(&done)) {
      RC_ASSERT(mAccepted.count(revision->mRevision) == 0u);
      mAccepted[revision->mRevision] = TextOf(next);
    }
  }

  void Look(Follower& aAt)
  {
    FailureIn([&] { return aAt.mFollower.Look(Millis(0)); });
  }

  void Ask(size_t aFrom, size_t aTo)
  {
    ConfigHolder& peer = mFollowers[aFrom]->mHolder;
    mBeats.push_back({ aTo, peer.Fresh(), mClock.Now(), *peer.Current() });
  }

  void Arrive(RandomChoices& aTape)
  {
    if (mBeats.empty()) {
      return;
    }
    Beat beat = mBeats.front();
    mBeats.erase(mBeats.begin());
    mFollowers[beat.mTo]->mFollower.OnPeerFreshness(
      beat.mSaid, beat.mAsked, [&] {
        return aTape.Below(4) == 0 ? std::nullopt : std::optional(beat.mConfig);
      });
  }

  void Step(RandomChoices& aTape)
  {
    DrawFaults(aTape);
    size_t at = static_cast<size_t>(aTape.Below(3));
    Follower& follower = *mFollowers[at];
    int what = aTape.Below(20);
    if (what < 3) {
      Change(follower);
    } else if (what < 9) {
      Look(follower);
    } else if (what < 12) {
      Ask(at, static_cast<size_t>(aTape.Below(3)));
    } else if (what < 15) {
      Arrive(aTape);
    } else if (what < 18) {
      mClock.Advance(Millis(aTape.Below(50) * 20));
    } else if (what == 18 && !mPlatform.mLate.empty()) {
      mPlatform.ApplyLate(0);
    } else if (what == 19 && aTape.Below(3) == 0) {
      mBeats.clear();
      mFollowers[at] = std::make_unique<Follower>(mPlatform, mClock);
    }
    Note();
  }

  void Note()
  {
    PlatformObject index = mPlatform.Standing("config", "index");
    if (index.mVersion != mVersion) {
      mVersion = index.mVersion;
      mRevision = ConfigIndexParse(index.mValue).mNow.mRevision;
      mInForce.emplace(mRevision, mClock.Now());
    }
    for (const auto& follower : mFollowers) {
      ConfigPtr current = follower->mHolder.Current();
      RC_ASSERT(current->mRevision >= follower->mSeen);
      if (current->mRevision == follower->mSeen) {
        continue;
      }
      follower->mSeen = current->mRevision;
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

// What an operator would see: a change that was accepted and is gone, two
// changes under one revision, or an instance back at an earlier one. Two
// operators race; reads are stale, writes are lost, late, or in force without
// an answer; peers answer late; instances start anew.
RC_GTEST_PROP(Config, AcceptedStaysAndNobodyGoesBack, ())
{
  RandomChoices tape = RandomChoices::OfLength(400);
  World world(true);
  while (!tape.Ended()) {
    world.Step(tape);
  }
  world.mPlatform.mOnRead = nullptr;
  for (const auto& follower : world.mFollowers) {
    world.Look(*follower);
    world.Look(*follower);
  }
  world.Note();

  for (const auto& follower : world.mFollowers) {
    RC_ASSERT(follower->mHolder.Current()->mRevision == world.mRevision);
  }
}

// What a tenant would see: its withdrawn key let in at an instance that says
// its keys are fresh. Whatever an instance knows by itself or from peers, every
// revision that came into force before the moment it calls itself fresh for is
// in force there.
RC_GTEST_PROP(Config, FreshMeansNothingNewerStood, ())
{
  RandomChoices tape = RandomChoices::OfLength(400);
  World world(false);
  while (!tape.Ended()) {
    world.Step(tape);
    for (const auto& follower : world.mFollowers) {
      ConfigFreshness fresh = follower->mHolder.Fresh();
      TimePoint asOf = world.mClock.Now() - fresh.mAge;
      for (const auto& revision : world.mInForce) {
        bool stood = revision.second < asOf;
        RC_ASSERT(fresh.mRevision == 0 || !stood ||
                  fresh.mRevision >= revision.first);
      }
    }
  }
}

} // namespace caraway
