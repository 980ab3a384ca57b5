#include "cluster/peers.h"

#include <algorithm>

namespace cherryloft {
namespace {

constexpr Duration kHeartbeatInterval{400};
// A peer counts as heard for so long: four intervals, and a little for the way.
constexpr Duration kHeardFor{1'700};
// An unheard peer's connection is given up no more often than this.
constexpr Duration kReconnectInterval{2'500};
// Ids of requests begin at the start time of the process shifted by so many bits, so that late answers to an
// earlier process match none of ours.
constexpr unsigned kRequestCountBits = 20;

}  // namespace

Peers::Peers(const Settings& settings, Runtime& runtime, Callbacks callbacks)
    : settings_(settings),
      runtime_(runtime),
      callbacks_(std::move(callbacks)),
      self_(settings.preferredShard(settings.controller).value),
      life_(static_cast<std::uint64_t>(runtime.wall().value)),
      lastRequestId_(life_ << kRequestCountBits) {
  KeepAliveProxyLink link(runtime.now(), settings.grace(), settings.maxCancellationStaleness());
  peers_.assign(settings.size(), Peer{{}, {}, {}, link});
}

void Peers::start() { sendHeartbeats(); }

// --- who hears whom ---

bool Peers::hears(PeerNumber peer) const {
  auto heardAt = peers_[peer].lastHeardAt;
  return heardAt != Time{} && runtime_.now() - heardAt < kHeardFor;
}

bool Peers::hearsAny() const {
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer)
    if (peer != self_ && hears(peer)) return true;
  return false;
}

bool Peers::anyPeerHoldsLease() const {
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer)
    if (peer != self_ && hears(peer) && peers_[peer].heartbeat.leaseRemainingMs > 0) return true;
  return false;
}

bool Peers::reaches(PeerNumber peer) const { return hears(peer) || hopTo(peer); }

std::optional<PeerNumber> Peers::hopTo(PeerNumber to) const {
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer) {
    if (peer == self_ || peer == to || !hears(peer)) continue;
    if (peers_[peer].heartbeat.hears >> to & 1U) return peer;
  }
  return std::nullopt;
}

PeerContact Peers::contactWith(PeerNumber peer) const {
  return hears(peer) ? PeerContact::Heard : PeerContact::NotHeard;
}

// --- keep-alive proxying ---

bool Peers::mayAnswerFor(PeerNumber owner, ShardId shard, Epoch epoch, Version knownUpTo) const {
  return peers_[owner].proxyLink.mayAnswer(shard, epoch, knownUpTo, contactWith(owner), runtime_.now());
}

Time Peers::mayHaveBeenAnsweredForUntil() const {
  Time latest{};
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer)
    if (peer != self_) latest = std::max(latest, peers_[peer].proxyLink.mayHaveAnsweredUntil(runtime_.now()));
  return latest;
}

// --- sending ---

void Peers::sendHeartbeats() {
  runtime_.after(kHeartbeatInterval, [this] { sendHeartbeats(); });
  auto now = runtime_.now();
  auto heartbeat = callbacks_.heartbeat();
  heartbeat.processIncarnation = life_;
  heartbeat.hears = 0;
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer)
    if (peer != self_ && hears(peer)) heartbeat.hears |= 1U << peer;
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer) {
    if (peer == self_) continue;
    reconnectIfUnheard(peer, now);
    peers_[peer].proxyLink.fillHeartbeat(heartbeat, contactWith(peer), now);
    runtime_.mesh(peer, {self_, peer, heartbeat});
  }
}

// What lies in a stuck connection would arrive late and in the way of what is new.
void Peers::reconnectIfUnheard(PeerNumber peer, Time now) {
  if (hears(peer) || now - peers_[peer].reconnectedAt <= kReconnectInterval) return;
  peers_[peer].reconnectedAt = now;
  runtime_.remesh(peer);
}

void Peers::send(PeerNumber to, mesh::Payload payload) {
  mesh::Frame frame{self_, to, std::move(payload)};
  auto hop = hears(to) ? std::nullopt : hopTo(to);
  runtime_.mesh(hop.value_or(to), frame);
}

void Peers::send(const ControllerId& to, mesh::Payload payload) {
  auto peer = numberOf(to);
  if (peer < peers_.size() && peer != self_) send(peer, std::move(payload));
}

void Peers::sendAll(const mesh::Payload& payload) {
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer)
    if (peer != self_) send(peer, payload);
}

std::uint64_t Peers::expectAnswer(Duration deadline, AnswerHandler done) {
  auto id = ++lastRequestId_;
  pendingRequests_[id] = std::move(done);
  runtime_.after(deadline, [this, id] { finishRequest(id, nullptr); });
  return id;
}

// --- receiving ---

void Peers::handleFrame(const mesh::Frame& frame) {
  if (frame.from >= peers_.size() || frame.to >= peers_.size() || frame.from == self_) return;
  if (frame.to != self_)
    return runtime_.mesh(frame.to, frame);  // we are the one hop: it is not passed on again
  if (const auto* heartbeat = std::get_if<mesh::PeerHeartbeat>(&frame.payload))
    handleHeartbeat(frame.from, *heartbeat);
  else if (const auto* answer = std::get_if<mesh::Answer>(&frame.payload))
    finishRequest(answer->id, answer);
  else
    callbacks_.received(frame.from, frame.payload);
}

void Peers::handleHeartbeat(PeerNumber from, const mesh::PeerHeartbeat& heartbeat) {
  auto& peer = peers_[from];
  bool newest = peer.proxyLink.acceptHeartbeat(heartbeat, runtime_.now());
  if (!newest) return;  // held back on its way, and passed by a later one
  peer.lastHeardAt = runtime_.now();
  peer.heartbeat = heartbeat;
}

void Peers::finishRequest(std::uint64_t id, const mesh::Answer* answer) {
  auto pending = pendingRequests_.find(id);
  if (pending == pendingRequests_.end()) return;
  auto done = std::move(pending->second);
  pendingRequests_.erase(pending);
  done(answer);
}

}  // namespace cherryloft
