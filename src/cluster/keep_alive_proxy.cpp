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

void KeepAliveProxyState::fillHeartbeat(mesh::PeerHeartbeat& heartbeat, PeerContact contact, Time now) {
  heartbeat.at = toMs(now);
  heartbeat.echo = peerSentAtMs_;
  heartbeat.proxy = contact == PeerContact::NotReceiving;
  heartbeat.answeredAgoMs = lastAnswerAt_ ? (now - *lastAnswerAt_).count() : -1;
  if (contact == PeerContact::Receiving) lastDisclaimedAt_ = now;
}

bool KeepAliveProxyState::acceptHeartbeat(const mesh::PeerHeartbeat& heartbeat, Time now) {
  bool outdated =
      heartbeat.life < peerLife_ || (heartbeat.life == peerLife_ && heartbeat.at <= peerSentAtMs_);
  if (outdated) return false;
  // A process that ended did not tell of its last answers.
  if (heartbeat.life > peerLife_ && peerLife_ > 0)
    answeredUntil_ = std::max(answeredUntil_, std::min(now, mayAnswerUntil_));
  peerLife_ = heartbeat.life;
  peerSentAtMs_ = heartbeat.at;
  // It echoes a heartbeat of ours, and is younger than that one, however late it comes. One from before our
  // start may be by another clock.
  bool echoesOurs = heartbeat.echo >= toMs(started_) && heartbeat.echo <= toMs(now);
  if (echoesOurs && !heartbeat.proxy) disclaimedAt_ = std::max(disclaimedAt_, fromMs(heartbeat.echo));
  if (heartbeat.answeredAgoMs >= 0)
    answeredUntil_ = std::max(answeredUntil_, now - Duration{heartbeat.answeredAgoMs});
  mayAnswerUntil_ = now + maxProxyTime_;
  peerShards_.clear();
  allowedUntil_ = Time{};
  if (echoesOurs && heartbeat.ownsForMs > 0) {
    allowedUntil_ = fromMs(heartbeat.echo) + std::min(Duration{heartbeat.ownsForMs} + grace_, maxProxyTime_);
    for (const auto& owned : heartbeat.owns)
      peerShards_[ShardId{owned.shard}] = {Epoch{owned.epoch}, Version{owned.cancelled}};
  }
  return true;
}

bool KeepAliveProxyState::mayAnswer(ShardId shard, Epoch epoch, Version knownUpTo, PeerContact contact,
                                    Time now) const {
  if (contact == PeerContact::Receiving || now >= allowedUntil_) return false;
  if (now - lastDisclaimedAt_ < kDisclaimerValidity + kDrift) return false;
  auto statement = peerShards_.find(shard);
  if (statement == peerShards_.end()) return false;
  return statement->second.epoch == epoch && statement->second.lastCancellation <= knownUpTo;
}

Time KeepAliveProxyState::latestPossibleAnswer(Time now) const {
  if (now - disclaimedAt_ < kDisclaimerValidity) return answeredUntil_;
  return std::max(answeredUntil_, std::min(now, mayAnswerUntil_));
}

}  // namespace cherryloft
