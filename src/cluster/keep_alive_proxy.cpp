#include "cluster/keep_alive_proxy.h"

#include <algorithm>

namespace cherryloft {
namespace {

// Between a proxy's last statement that it answers nobody and its first answer: long enough for the owner to
// notice that heartbeats are missing before any lease could end a moment too early in its shard state.
constexpr Duration kDisclaimerValidity{5'000};
// What the two clocks may drift apart within that time.
constexpr Duration kDrift{100};

std::int64_t toMs(Time time) { return time.time_since_epoch().count(); }
Time fromMs(std::int64_t ms) { return Time{Duration{ms}}; }

}  // namespace

void KeepAliveProxyLink::fillHeartbeat(mesh::PeerHeartbeat& heartbeat, PeerContact contact, Time now) {
  heartbeat.at = toMs(now);
  heartbeat.echoedAt = peerSentAtMs_;
  heartbeat.proxy = contact == PeerContact::NotHeard;
  heartbeat.lastProxyAnswerAgoMs = lastAnswerAt_ ? (now - *lastAnswerAt_).count() : -1;
  if (contact == PeerContact::Heard) lastDisclaimedAt_ = now;
}

bool KeepAliveProxyLink::acceptHeartbeat(const mesh::PeerHeartbeat& heartbeat, Time now) {
  bool outdated = heartbeat.processIncarnation < peerLife_ ||
                  (heartbeat.processIncarnation == peerLife_ && heartbeat.at <= peerSentAtMs_);
  if (outdated) return false;
  // A process that ended did not tell of its last answers.
  if (heartbeat.processIncarnation > peerLife_ && peerLife_ > 0)
    answeredUntil_ = std::max(answeredUntil_, std::min(now, mayAnswerUntil_));
  peerLife_ = heartbeat.processIncarnation;
  peerSentAtMs_ = heartbeat.at;
  // It echoes a heartbeat of ours, and is younger than that one, however late it comes. One from before our
  // start may be by another clock.
  bool echoesOurs = heartbeat.echoedAt >= toMs(started_) && heartbeat.echoedAt <= toMs(now);
  if (echoesOurs && !heartbeat.proxy) disclaimedAt_ = std::max(disclaimedAt_, fromMs(heartbeat.echoedAt));
  if (heartbeat.lastProxyAnswerAgoMs >= 0)
    answeredUntil_ = std::max(answeredUntil_, now - Duration{heartbeat.lastProxyAnswerAgoMs});
  mayAnswerUntil_ = now + maxProxyTime_;
  peerShards_.clear();
  allowedUntil_ = Time{};
  if (echoesOurs && heartbeat.leaseRemainingMs > 0) {
    allowedUntil_ =
        fromMs(heartbeat.echoedAt) + std::min(Duration{heartbeat.leaseRemainingMs} + grace_, maxProxyTime_);
    for (const auto& owned : heartbeat.owns)
      peerShards_[ShardId{owned.shard}] = {Epoch{owned.epoch}, Version{owned.cancelled}};
  }
  return true;
}

bool KeepAliveProxyLink::mayAnswer(ShardId shard, Epoch epoch, Version knownUpTo, PeerContact contact,
                                   Time now) const {
  if (contact == PeerContact::Heard || now >= allowedUntil_) return false;
  if (now - lastDisclaimedAt_ < kDisclaimerValidity + kDrift) return false;
  auto statement = peerShards_.find(shard);
  if (statement == peerShards_.end()) return false;
  return statement->second.epoch == epoch && statement->second.lastCancellation <= knownUpTo;
}

Time KeepAliveProxyLink::mayHaveAnsweredUntil(Time now) const {
  if (now - disclaimedAt_ < kDisclaimerValidity) return answeredUntil_;
  return std::max(answeredUntil_, std::min(now, mayAnswerUntil_));
}

}  // namespace cherryloft
