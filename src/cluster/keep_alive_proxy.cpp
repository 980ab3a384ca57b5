#include "cluster/keep_alive_proxy.h"

#include <algorithm>

namespace cherryloft {
namespace {

// Minimum time between a proxy's last report that it is inactive and its first answer. It lets the owner
// notice the missing heartbeats before its shard state could consider a worker's lease expired too early.
constexpr Duration kInactiveReportValidity{5'000};
// Maximum drift between the two clocks within that time.
constexpr Duration kMaxClockDrift{100};

std::int64_t toMs(Time time) { return time.time_since_epoch().count(); }
Time fromMs(std::int64_t ms) { return Time{Duration{ms}}; }

}  // namespace

void KeepAliveProxyState::fillHeartbeat(mesh::PeerHeartbeat& heartbeat, PeerContact contact, Time now) {
  heartbeat.at = toMs(now);
  heartbeat.echoedAt = peerSentAtMs_;
  heartbeat.proxy = contact == PeerContact::NotReceiving;
  heartbeat.lastProxyAnswerAgoMs = lastAnswerAt_ ? (now - *lastAnswerAt_).count() : -1;
  if (contact == PeerContact::Receiving) lastReportedInactiveAt_ = now;
}

bool KeepAliveProxyState::acceptHeartbeat(const mesh::PeerHeartbeat& heartbeat, Time now) {
  bool stale = heartbeat.processIncarnation < peerIncarnation_ ||
               (heartbeat.processIncarnation == peerIncarnation_ && heartbeat.at <= peerSentAtMs_);
  if (stale) return false;
  // The previous process of the peer ended without reporting its last answers.
  if (heartbeat.processIncarnation > peerIncarnation_ && peerIncarnation_ > 0)
    peerAnsweredUntil_ = std::max(peerAnsweredUntil_, std::min(now, peerMayAnswerUntil_));
  peerIncarnation_ = heartbeat.processIncarnation;
  peerSentAtMs_ = heartbeat.at;
  // The echoed timestamp shows that the heartbeat is newer than the one of ours that it echoes, however late
  // it arrives. A timestamp from before our start is ignored, as it may be from another clock.
  bool echoesOurs = heartbeat.echoedAt >= toMs(startedAt_) && heartbeat.echoedAt <= toMs(now);
  if (echoesOurs && !heartbeat.proxy)
    peerInactiveAfter_ = std::max(peerInactiveAfter_, fromMs(heartbeat.echoedAt));
  if (heartbeat.lastProxyAnswerAgoMs >= 0)
    peerAnsweredUntil_ = std::max(peerAnsweredUntil_, now - Duration{heartbeat.lastProxyAnswerAgoMs});
  peerMayAnswerUntil_ = now + maxProxyTime_;
  peerShards_.clear();
  mayProxyUntil_ = Time{};
  if (echoesOurs && heartbeat.leaseRemainingMs > 0) {
    mayProxyUntil_ =
        fromMs(heartbeat.echoedAt) + std::min(Duration{heartbeat.leaseRemainingMs} + grace_, maxProxyTime_);
    for (const auto& owned : heartbeat.owns)
      peerShards_[ShardId{owned.shard}] = {Epoch{owned.epoch}, Version{owned.cancelled}};
  }
  return true;
}

bool KeepAliveProxyState::mayAnswer(ShardId shard, Epoch epoch, Version knownUpTo, PeerContact contact,
                                    Time now) const {
  if (contact == PeerContact::Receiving || now >= mayProxyUntil_) return false;
  if (now - lastReportedInactiveAt_ < kInactiveReportValidity + kMaxClockDrift) return false;
  auto reported = peerShards_.find(shard);
  if (reported == peerShards_.end()) return false;
  return reported->second.epoch == epoch && reported->second.lastCancellation <= knownUpTo;
}

Time KeepAliveProxyState::latestPossibleAnswer(Time now) const {
  if (now - peerInactiveAfter_ < kInactiveReportValidity) return peerAnsweredUntil_;
  return std::max(peerAnsweredUntil_, std::min(now, peerMayAnswerUntil_));
}

}  // namespace cherryloft
