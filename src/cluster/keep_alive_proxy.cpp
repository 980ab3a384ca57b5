#include "cluster/keep_alive_proxy.h"

#include <algorithm>

namespace cherryloft {
namespace {
// Between the last word that it answers nobody and a keep-alive proxy's first answer: long enough for the
// owner to notice that heartbeats are missing before any lease could end a moment too early in its shard
// state.
constexpr Duration kQuiet{5'000};
constexpr Duration kDrift{100};

std::int64_t ms(Time t) { return t.time_since_epoch().count(); }
Time time(std::int64_t ms) { return Time{Duration{ms}}; }
}  // namespace

void KeepAliveProxyLink::fill(mesh::PeerHeartbeat& p, bool hears, Time now) {
  p.at = ms(now);
  p.echo = seenAt_;
  p.proxy = !hears;
  p.answeredAgoMs = lastAnswer_ ? (now - *lastAnswer_).count() : -1;
  if (hears) lastQuiet_ = now;
}

bool KeepAliveProxyLink::came(const mesh::PeerHeartbeat& p, Time now) {
  if (p.life < life_ || (p.life == life_ && p.at <= seenAt_)) return false;
  // A process that ended did not tell of its last answers.
  if (p.life > life_ && life_ > 0) told_ = std::max(told_, std::min(now, allowance_));
  life_ = p.life;
  seenAt_ = p.at;
  // What it echoes is a word of ours, and the heartbeat younger than that word, however late it comes. A word
  // from before our start may be by another clock.
  bool echoes = p.echo >= ms(started_) && p.echo <= ms(now);
  if (echoes && !p.proxy) quietAt_ = std::max(quietAt_, time(p.echo));
  if (p.answeredAgoMs >= 0) told_ = std::max(told_, now - Duration{p.answeredAgoMs});
  allowance_ = now + most_;
  shards_.clear();
  allowedUntil_ = Time{};
  if (echoes && p.ownsForMs > 0) {
    allowedUntil_ = time(p.echo) + std::min(Duration{p.ownsForMs} + grace_, most_);
    for (const auto& s : p.owns) shards_[ShardId{s.shard}] = {Epoch{s.epoch}, Version{s.cancelled}};
  }
  return true;
}

bool KeepAliveProxyLink::mayAnswer(ShardId shard, Epoch epoch, Version seen, bool hears, Time now) const {
  if (hears || now >= allowedUntil_ || now - lastQuiet_ < kQuiet + kDrift) return false;
  auto it = shards_.find(shard);
  return it != shards_.end() && it->second.epoch == epoch && it->second.cancelled <= seen;
}

Time KeepAliveProxyLink::mayHaveAnswered(Time now) const {
  if (now - quietAt_ < kQuiet) return told_;
  return std::max(told_, std::min(now, allowance_));
}

}  // namespace cherryloft
