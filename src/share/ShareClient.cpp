#include "share/ShareClient.h"

#include <algorithm>
#include <thread>

#include "base/EraseIf.h"
#include "base/Incarnation.h"
#include "base/Log.h"
#include "share/ShareCodec.h"

namespace caraway {

namespace {

// A holder that didn't reply isn't asked again for this time. Otherwise every
// request short of tokens would wait for it.
constexpr Millis kUnresponsiveFor{ 1000 };
// Pause of a request whose tenant's holders are all silent, doubled after each
// attempt, and interval of the probes that all such requests together send to
// one holder.
constexpr Millis kSilentPause{ 20 };
constexpr Millis kProbeInterval{ 60 };
constexpr Millis kTableRereadInterval{ 2000 };
constexpr Millis kTableTimeout{ 200 };
constexpr Millis kMinRetry{ 50 };
// Absorbs rounding errors of floating-point sums.
constexpr double kTokenEpsilon = 1e-6;

} // namespace

ShareClient::ShareClient(ShareSettings aSettings,
                         std::vector<std::string> aZones,
                         ShareManager& aManager,
                         PeerClient& aPeers,
                         Members& aMembers,
                         const Clock& aClock)
  : mSettings(std::move(aSettings))
  , mZones(std::move(aZones))
  , mManager(aManager)
  , mPeers(aPeers)
  , mMembers(aMembers)
  , mClock(aClock)
{
  auto ownZone = std::find(mZones.begin(), mZones.end(), mSettings.mZone);
  if (ownZone != mZones.end()) {
    std::rotate(mZones.begin(), ownZone, ownZone + 1);
  }
}

bool
ShareClient::IsUnresponsive(const std::string& aIncarnation)
{
  std::lock_guard<std::mutex> lock(mLock);
  auto found = mSilentHolders.find(aIncarnation);
  return found != mSilentHolders.end() && mClock.Now() < found->second.mUntil;
}

size_t
ShareClient::SilentHolders() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mSilentHolders.size();
}

void
ShareClient::MarkUnresponsive(const std::string& aIncarnation)
{
  std::lock_guard<std::mutex> lock(mLock);
  TimePoint now = mClock.Now();
  // Holders that have ended never answer again.
  EraseIf(mSilentHolders,
          [now](const auto& aHolder) { return now >= aHolder.second.mUntil; });
  mSilentHolders[aIncarnation].mUntil = now + kUnresponsiveFor;
}

// Reads another zone's table from any of its instances. A stale table only
// costs a request, since a slot's tokens are granted by its holder alone.
void
ShareClient::RefreshTable(const std::string& aZone)
{
  {
    std::lock_guard<std::mutex> lock(mLock);
    TimePoint& read = mReadAt[aZone];
    if (read != TimePoint{} && mClock.Now() - read < kTableRereadInterval) {
      return;
    }
    read = mClock.Now();
  }
  for (const InstanceInfo& peer : mMembers.AvailableInstancesIn(aZone)) {
    auto peerReply = Outcome([&] {
      return mPeers.Call(peer.mPeerAddress,
                         "share.table",
                         Json::Value(Json::objectValue),
                         kTableTimeout);
    });
    if (auto* json = std::get_if<Json::Value>(&peerReply)) {
      UpdateTable(aZone, *json);
      return;
    }
    mMembers.RecordUnansweredCall(peer.mPeerAddress);
  }
}

void
ShareClient::UpdateTable(const std::string& aZone, const Json::Value& aTable)
{
  int64_t version = aTable["version"].asInt64();
  if (aZone == mSettings.mZone) {
    mManager.UpdateTable(aTable["table"], version);
    return;
  }
  std::lock_guard<std::mutex> lock(mLock);
  KnownTable& known = mTables[aZone];
  if (version > known.mVersion) {
    known = { ShareTableParse(aTable["table"]), version };
  }
}

std::string
ShareClient::HolderIn(const std::string& aZone, int aSlot)
{
  if (aZone == mSettings.mZone) {
    return mManager.HolderOf(aSlot);
  }
  for (int i = 0; i < 2; ++i) {
    {
      std::lock_guard<std::mutex> lock(mLock);
      auto table = mTables.find(aZone);
      if (table != mTables.end()) {
        return table->second.mTable.mSlots[aSlot].mHolder;
      }
    }
    if (i == 0) {
      RefreshTable(aZone);
    }
  }
  return "";
}

ShareClient::TakeReply
ShareClient::TakeFromSlot(const std::string& aZone,
                          const std::string& aTenant,
                          int aSlot,
                          double aTokens)
{
  TakeReply reply;
  // Twice, since a former holder replies with the table that names the new one.
  for (int i = 0; i < 2; ++i) {
    if (TakeFromHolder(aZone, aTenant, aSlot, aTokens, reply)) {
      break;
    }
  }
  return reply;
}

bool
ShareClient::TakeFromHolder(const std::string& aZone,
                            const std::string& aTenant,
                            int aSlot,
                            double aTokens,
                            TakeReply& aReply)
{
  if (aZone == mSettings.mZone) {
    if (auto taken = mManager.Take(aTenant, aSlot, aTokens)) {
      ++mCounts.mLocal;
      aReply = { true, taken->mGrant, taken->mRetryAfter };
      return true;
    }
  }
  std::string holder = HolderIn(aZone, aSlot);
  if (holder.empty() || IsUnresponsive(holder)) {
    return true;
  }
  ++mCounts.mPeerTakes;
  Json::Value params;
  params["tenant"] = aTenant;
  params["slot"] = aSlot;
  params["tokens"] = aTokens;
  std::string address = IncarnationAddress(holder);
  auto peerReply = Outcome([&] {
    return mPeers.Call(address, "share.take", params, mSettings.mTakeTimeout);
  });
  auto* json = std::get_if<Json::Value>(&peerReply);
  if (!json) {
    MarkUnresponsive(holder);
    return true;
  }
  if (!(*json)["holder"].asBool()) {
    UpdateTable(aZone, (*json)["now"]);
    return HolderIn(aZone, aSlot) == holder;
  }
  aReply.mAnswered = true;
  aReply.mGrant.mAddress = address;
  aReply.mGrant.mHolder = (*json)["self"].asString();
  aReply.mGrant.mSlot = aSlot;
  aReply.mGrant.mTokens = (*json)["tokens"].asDouble();
  aReply.mGrant.mTakenAt = (*json)["at"].asInt64();
  aReply.mRetryAfter = Millis((*json)["retry"].asInt64());
  return true;
}

// Own zone first. Of the two halves, first the one held here, else alternating,
// so that both get the same number of requests.
std::vector<ShareClient::SlotRef>
ShareClient::SlotsToAsk(const std::string& aTenant)
{
  std::array<int, kShareHalves> slots = ShareSlotsOf(aTenant);
  bool second = mManager.Holds(slots[1]) ||
                (!mManager.Holds(slots[0]) && mNextHalf++ % kShareHalves == 1);
  if (second) {
    std::swap(slots[0], slots[1]);
  }
  std::vector<SlotRef> slotRefs;
  for (const std::string& zone : mZones) {
    for (int slot : slots) {
      slotRefs.push_back({ zone, slot });
    }
  }
  return slotRefs;
}

// A busy machine or a holder that is stopped for a moment answers later than
// one request to it may last. Refusing at once would lose callers that have
// seconds left.
Result<ShareTicket>
ShareClient::Take(const Tenant& aTenant, double aTokens, TimePoint aUntil)
{
  ++mCounts.mTakes;
  for (Millis pause = kSilentPause;; pause *= 2) {
    auto taken = Outcome([&] { return TakeOnce(aTenant, aTokens); });
    auto* failure = std::get_if<Failure>(&taken);
    if (!failure) {
      return std::get<ShareTicket>(std::move(taken));
    }
    bool silent = failure->mKind == ErrorKind::RateUnavailable;
    if (!silent || !AwaitHolder(aTenant.mName, pause, aUntil)) {
      return Fail(*failure);
    }
  }
}

// Waits for aPause and then for a holder of the tenant's share that answers.
// Returns false if there is none before aUntil.
bool
ShareClient::AwaitHolder(const std::string& aTenant,
                         Millis aPause,
                         TimePoint aUntil)
{
  for (Millis pause = aPause; mClock.Now() + pause < aUntil;
       pause = kSilentPause) {
    std::this_thread::sleep_for(pause);
    for (const SlotRef& slotRef : SlotsToAsk(aTenant)) {
      std::string holder = HolderIn(slotRef.mZone, slotRef.mSlot);
      bool ownZone = slotRef.mZone == mSettings.mZone;
      if (ownZone && mManager.Holds(slotRef.mSlot)) {
        if (mManager.MaySpend(slotRef.mSlot)) {
          return true;
        }
      } else if (!holder.empty() && Responds(slotRef.mZone, holder)) {
        return true;
      }
    }
  }
  LogInfo("share_holders_silent", { { "tenant", aTenant } });
  return false;
}

// A silent holder is probed by a call that takes nothing. Requests for tokens
// would pile up at one that is stopped, and it would debit each of them when it
// continues, long after those who sent them have given up.
bool
ShareClient::Responds(const std::string& aZone, const std::string& aHolder)
{
  {
    std::lock_guard<std::mutex> lock(mLock);
    TimePoint now = mClock.Now();
    auto found = mSilentHolders.find(aHolder);
    if (found == mSilentHolders.end() || now >= found->second.mUntil) {
      return true;
    }
    if (now - found->second.mProbedAt < kProbeInterval) {
      return false;
    }
    found->second.mProbedAt = now;
  }
  auto reply = Outcome([&] {
    return mPeers.Call(IncarnationAddress(aHolder),
                       "share.table",
                       Json::Value(Json::objectValue),
                       mSettings.mGrantLifetime);
  });
  auto* json = std::get_if<Json::Value>(&reply);
  if (!json) {
    return false;
  }
  UpdateTable(aZone, *json);
  std::lock_guard<std::mutex> lock(mLock);
  mSilentHolders.erase(aHolder);
  return true;
}

Result<ShareTicket>
ShareClient::TakeOnce(const Tenant& aTenant, double aTokens)
{
  double maxTokens =
    ShareSlotBurst(aTenant, mSettings) * mSettings.mZones * kShareHalves;
  if (aTokens > maxTokens) {
    return Fail(ErrorKind::CostAboveBurst,
                "request costs " + std::to_string(aTokens) + " tokens; " +
                  std::to_string(maxTokens) + " is the most admitted at once");
  }
  TimePoint begun{}; // start of the first request that brought tokens
  ShareTicket ticket;
  ticket.mTenant = aTenant.mName;
  double missing = aTokens;
  bool anyHolder = false;
  for (const SlotRef& slotRef : SlotsToAsk(aTenant.mName)) {
    // Another reply might come too late for the tokens already taken.
    TimePoint started = mClock.Now();
    bool late =
      !ticket.mGrants.empty() && started - begun > mSettings.mGrantLifetime / 2;
    if (missing <= kTokenEpsilon || late) {
      break;
    }
    TakeReply reply =
      TakeFromSlot(slotRef.mZone, aTenant.mName, slotRef.mSlot, missing);
    anyHolder = anyHolder || reply.mAnswered;
    if (reply.mGrant.mTokens > 0) {
      begun = ticket.mGrants.empty() ? started : begun;
      missing -= reply.mGrant.mTokens;
      ticket.mGrants.push_back(reply.mGrant);
    }
  }
  // The tokens were debited no earlier than begun, and the request is admitted
  // with this check.
  bool inTime = mClock.Now() - begun <= mSettings.mGrantLifetime;
  if (missing <= kTokenEpsilon && inTime) {
    if (ticket.mGrants.size() > 1) {
      ++mCounts.mBorrowed;
    }
    return ticket;
  }
  Settle(ticket, 0);
  if (missing <= kTokenEpsilon) {
    ++mCounts.mGatheredTooSlowly;
    return Fail(
      ErrorKind::RateUnavailable,
      "share holders replied too slowly; tokens expired before admission");
  }
  if (!anyHolder) {
    return Fail(ErrorKind::RateUnavailable,
                "no holder of the tenant's share answers");
  }
  Failure failure =
    FailureOf(ErrorKind::RateExceeded,
              "tenant " + aTenant.mName + " exceeds its rate limit");
  if (aTenant.mRate > 0) {
    Millis retry(static_cast<int64_t>(missing / aTenant.mRate * 1000));
    failure.mRetryAfter = std::max(kMinRetry, retry);
  }
  return Fail(failure);
}

void
ShareClient::Settle(const ShareTicket& aTicket, double aUsed)
{
  double used = aUsed;
  for (const ShareGrant& grant : aTicket.mGrants) {
    double usedHere = std::min(used, grant.mTokens);
    used -= usedHere;
    ShareGrant refund = grant;
    refund.mTokens = grant.mTokens - usedHere;
    if (refund.mTokens <= kTokenEpsilon) {
      continue;
    }
    if (refund.mAddress.empty()) {
      mManager.Refund(aTicket.mTenant, refund);
      continue;
    }
    Json::Value params;
    params["tenant"] = aTicket.mTenant;
    params["holder"] = refund.mHolder;
    params["slot"] = refund.mSlot;
    params["tokens"] = refund.mTokens;
    params["at"] = Json::Int64(refund.mTakenAt);
    // Not resent: a refund that arrives twice would create tokens, while a lost
    // one only loses them.
    constexpr bool kResend = false;
    Outcome([&] {
      return mPeers.Call(
        refund.mAddress, "share.give", params, mSettings.mTakeTimeout, kResend);
    });
  }
}

} // namespace caraway
