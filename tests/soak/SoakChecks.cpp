#include "soak/SoakChecks.h"

#include <algorithm>

#include "platform/WireNames.h"

namespace caraway {

namespace {

// A request that was sent as its connection was being closed, and that nobody
// read, got its close within this.
constexpr Millis kCrossing{ 200 };

// Requests of the first part of a leave may be cut in its last sixth.
constexpr Millis kEarly{ 3000 };

constexpr int kLastPart = 6;

// For signals and clocks to arrive.
constexpr Millis kSlack{ 100 };

// Tokens by kind, as the configuration and the callers say.
constexpr double kPlainTokens = 10;

constexpr double kStreamTokens = 50;

constexpr Millis kWindow{ 8000 };

constexpr double kOverage = 1.1;

// Of those sent once all is calm.
constexpr double kLeastServed = 0.75;

class Checks
{
public:
  explicit Checks(const SoakRecord& aRecord)
    : mRecord(aRecord)
  {
  }
  std::vector<std::string> All()
  {
    for (const SoakCall& call : mRecord.mCalls) {
      Answered(call);
      Once(call);
      RefusalNotRun(call);
      OwnAnswer(call);
      OwnTenant(call);
    }
    Limit();
    Recovered();
    return mBroken;
  }

private:
  void Break(const char* aRule, const SoakCall& aCall)
  {
    auto at = [&](TimePoint aTime) {
      auto since = std::chrono::duration_cast<Millis>(aTime - mRecord.mBegan);
      return std::to_string(since.count());
    };
    mBroken.push_back(
      std::string(aRule) + ": " + aCall.mId + " kind " +
      std::to_string(static_cast<int>(aCall.mKind)) + " at instance " +
      std::to_string(aCall.mInstance) + ", request " +
      std::to_string(aCall.mRequestsOnConnection) +
      " on its connection, sent " + at(aCall.mSent) + " ended " +
      at(aCall.mEnded) + " ms, status " + std::to_string(aCall.mStatus) +
      ", runs " + std::to_string(Runs(aCall).size()));
  }
  const std::vector<ServerRun>& Runs(const SoakCall& aCall) const
  {
    static const std::vector<ServerRun> kNone;
    auto found = mRecord.mRuns.find(aCall.mId);
    return found == mRecord.mRuns.end() ? kNone : found->second;
  }
  // A trouble of aKind came between a call's sending and its end.
  bool Met(const SoakCall& aCall, SoakFaultKind aKind, bool aAnywhere) const
  {
    return std::any_of(mRecord.mTroubles.begin(),
                       mRecord.mTroubles.end(),
                       [&](const SoakFault& aTomlErrors) {
                         return aTomlErrors.mKind == aKind &&
                                (aAnywhere ||
                                 aTomlErrors.mInstance == aCall.mInstance) &&
                                aTomlErrors.mFrom <= aCall.mEnded + kSlack &&
                                aTomlErrors.mUntil + kSlack >= aCall.mSent;
                       });
  }
  bool CutByShutdown(const SoakCall& aCall) const
  {
    for (const SoakFault& trouble : mRecord.mTroubles) {
      if (trouble.mKind == SoakFaultKind::Terminate &&
          trouble.mInstance == aCall.mInstance &&
          aCall.mSent <= trouble.mFrom + kEarly &&
          aCall.mEnded >=
            trouble.mFrom + kSoakGrace - kSoakGrace / kLastPart - kSlack) {
        return true;
      }
    }
    return false;
  }
  // Whoever sent a whole request to an instance that runs gets an answer.
  void Answered(const SoakCall& aCall)
  {
    bool crossed = aCall.mStatus == 0 && Runs(aCall).empty() && !aCall.mLeft &&
                   aCall.mEnded - aCall.mSent <= kCrossing;
    if (aCall.mWhole || !aCall.mConnected || crossed ||
        aCall.mEnded == TimePoint()) {
      return;
    }
    bool serverBroke =
      !Runs(aCall).empty() && Met(aCall, SoakFaultKind::Servers, true);
    bool excused = Met(aCall, SoakFaultKind::Kill, false) ||
                   Met(aCall, SoakFaultKind::Freeze, false) || serverBroke ||
                   CutByShutdown(aCall);
    if (!excused) {
      Break("lost", aCall);
    }
  }
  void Once(const SoakCall& aCall)
  {
    bool once =
      aCall.mKind == SoakKind::Order || aCall.mKind == SoakKind::Stream;
    if (once && Runs(aCall).size() > 1) {
      Break("run twice", aCall);
    }
  }
  void RefusalNotRun(const SoakCall& aCall)
  {
    bool promised = aCall.mStatus == 429 || aCall.mStatus == 503 ||
                    aCall.mStatus == 408 || aCall.mStatus == 421;
    if (promised && !Runs(aCall).empty()) {
      Break("refused and run", aCall);
    }
  }
  void OwnAnswer(const SoakCall& aCall)
  {
    if (!aCall.mWhole || aCall.mStatus != 200) {
      return;
    }
    std::string due;
    if (aCall.mKind == SoakKind::Order || aCall.mKind == SoakKind::Read) {
      due = "answer to " + aCall.mId + " of body";
    } else {
      for (int i = 1; i <= 5; ++i) {
        std::string number = std::to_string(i);
        due += "id: " + number + "\ndata: piece " + number + "\n\n";
      }
    }
    if (aCall.mBody != due) {
      Break("not its own whole answer", aCall);
    }
  }
  void OwnTenant(const SoakCall& aCall)
  {
    for (const ServerRun& run : Runs(aCall)) {
      if (run.mTenant != aCall.mTenant || !run.mKey.empty()) {
        Break("run for another tenant, or with its key", aCall);
      }
    }
  }
  // Over all instances, in any window.
  void Limit()
  {
    std::vector<std::pair<TimePoint, double>> spent;
    for (const SoakCall& call : mRecord.mCalls) {
      if (call.mTenant == kLimitedTenant && !Runs(call).empty()) {
        bool plain =
          call.mKind == SoakKind::Order || call.mKind == SoakKind::Read;
        spent.emplace_back(Runs(call).front().mAt,
                           plain ? kPlainTokens : kStreamTokens);
      }
    }
    std::sort(spent.begin(), spent.end());
    double most = (kLimitedRate * static_cast<double>(kWindow.count()) / 1000 +
                   kLimitedBurst) *
                  kOverage;
    double inWindow = 0;
    size_t first = 0;
    for (const auto& [at, tokens] : spent) {
      inWindow += tokens;
      while (spent[first].first + kWindow < at) {
        inWindow -= spent[first++].second;
      }
      if (inWindow > most) {
        mBroken.push_back("over the limit: " + std::to_string(inWindow) +
                          " tokens in a window, " + std::to_string(most) +
                          " allowed");
        return;
      }
    }
  }
  void Recovered()
  {
    int sent = 0;
    int served = 0;
    for (const SoakCall& call : mRecord.mCalls) {
      if (call.mTenant != kLimitedTenant &&
          call.mSent >= mRecord.mFaultFreeFrom && call.mEnded != TimePoint()) {
        ++sent;
        served += call.mWhole && call.mStatus == 200 ? 1 : 0;
      }
    }
    if (served < kLeastServed * sent || sent == 0) {
      mBroken.push_back("not recovered: " + std::to_string(served) + " of " +
                        std::to_string(sent) + " served");
    }
  }

  const SoakRecord& mRecord;
  std::vector<std::string> mBroken;
};

} // namespace

std::vector<std::string>
SoakViolations(const SoakRecord& aRecord)
{
  return Checks(aRecord).All();
}

} // namespace caraway
