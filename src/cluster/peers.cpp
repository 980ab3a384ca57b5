#include "cluster/peers.h"

#include <algorithm>

namespace cherryloft {
namespace {
constexpr Duration kHeartbeatInterval{400};
constexpr Duration kHeard{1'700};
constexpr Duration kRemesh{2'500};
}  // namespace

Peers::Peers(const Settings& settings, Runtime& runtime, Callbacks out)
    : settings_(settings),
      runtime_(runtime),
      callbacks_(std::move(out)),
      self_(settings.preferredShard(settings.controller).value),
      life_(static_cast<std::uint64_t>(runtime.wall().value)) {
  KeepAliveProxyLink link(runtime.now(), settings.grace(), settings.blindFor());
  neighbours_.assign(settings.size(), Neighbour{{}, {}, {}, link});
  // Answers to asks of an earlier process must not match ours.
  askCount_ = life_ << 20;
}

void Peers::start() { sendHeartbeats(); }

bool Peers::hears(std::uint32_t n) const {
  const auto& x = neighbours_[n];
  return x.heard != Time{} && runtime_.now() - x.heard < kHeard;
}

bool Peers::hearsAny() const {
  for (std::uint32_t n = 0; n < neighbours_.size(); ++n)
    if (n != self_ && hears(n)) return true;
  return false;
}

bool Peers::someoneHasStore() const {
  for (std::uint32_t n = 0; n < neighbours_.size(); ++n)
    if (n != self_ && hears(n) && neighbours_[n].heartbeat.ownsForMs > 0) return true;
  return false;
}

void Peers::sendHeartbeats() {
  runtime_.after(kHeartbeatInterval, [this] { sendHeartbeats(); });
  auto now = runtime_.now();
  auto heartbeat = callbacks_.heartbeat();
  heartbeat.life = life_;
  heartbeat.hears = 0;
  for (std::uint32_t n = 0; n < neighbours_.size(); ++n)
    if (n != self_ && hears(n)) heartbeat.hears |= 1U << n;
  for (std::uint32_t n = 0; n < neighbours_.size(); ++n) {
    if (n == self_) continue;
    // What lies in a held connection would arrive late and in the way of what is new.
    if (!hears(n) && now - neighbours_[n].remeshed > kRemesh) {
      neighbours_[n].remeshed = now;
      runtime_.remesh(n);
    }
    neighbours_[n].link.fill(heartbeat, hears(n), now);
    runtime_.mesh(n, {self_, n, heartbeat});
  }
}

std::optional<std::uint32_t> Peers::via(std::uint32_t to) const {
  for (std::uint32_t n = 0; n < neighbours_.size(); ++n)
    if (n != self_ && n != to && hears(n) && (neighbours_[n].heartbeat.hears >> to & 1U)) return n;
  return std::nullopt;
}

bool Peers::reaches(std::uint32_t n) const { return hears(n) || via(n); }

bool Peers::mayAnswerFor(std::uint32_t n, ShardId shard, Epoch epoch, Version seen) const {
  return neighbours_[n].link.mayAnswer(shard, epoch, seen, hears(n), runtime_.now());
}

Time Peers::answeredElsewhere() const {
  Time latest{};
  for (std::uint32_t n = 0; n < neighbours_.size(); ++n)
    if (n != self_) latest = std::max(latest, neighbours_[n].link.mayHaveAnswered(runtime_.now()));
  return latest;
}

void Peers::send(std::uint32_t to, mesh::Payload p) {
  mesh::Frame f{self_, to, std::move(p)};
  if (!hears(to))
    if (auto n = via(to)) return runtime_.mesh(*n, f);
  runtime_.mesh(to, f);
}

void Peers::send(const ControllerId& to, mesh::Payload p) {
  auto n = numberOf(to);
  if (n < neighbours_.size() && n != self_) send(n, std::move(p));
}

void Peers::sendAll(const mesh::Payload& p) {
  for (std::uint32_t n = 0; n < neighbours_.size(); ++n)
    if (n != self_) send(n, p);
}

std::uint64_t Peers::expect(Duration deadline, Answered done) {
  auto id = ++askCount_;
  asks_[id] = std::move(done);
  runtime_.after(deadline, [this, id] {
    auto it = asks_.find(id);
    if (it == asks_.end()) return;
    auto f = std::move(it->second);
    asks_.erase(it);
    f(nullptr);
  });
  return id;
}

void Peers::frame(const mesh::Frame& f) {
  if (f.from >= neighbours_.size() || f.to >= neighbours_.size() || f.from == self_) return;
  if (f.to != self_) return runtime_.mesh(f.to, f);  // the one hop; the next stop is the last
  if (const auto* heartbeat = std::get_if<mesh::PeerHeartbeat>(&f.payload)) {
    auto& n = neighbours_[f.from];
    if (!n.link.came(*heartbeat, runtime_.now())) return;  // held back, and passed by a later one
    n.heard = runtime_.now();
    n.heartbeat = *heartbeat;
  } else if (const auto* answer = std::get_if<mesh::Answer>(&f.payload)) {
    auto it = asks_.find(answer->id);
    if (it == asks_.end()) return;
    auto done = std::move(it->second);
    asks_.erase(it);
    done(answer);
  } else {
    callbacks_.received(f.from, f.payload);
  }
}

}  // namespace cherryloft
