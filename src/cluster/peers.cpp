#include "cluster/peers.h"

#include <algorithm>

namespace cherryloft {
namespace {

constexpr Duration kHeartbeatInterval{400};
// Time after its last heartbeat for which a peer counts as received from: four intervals plus transit time.
constexpr Duration kHeartbeatTimeout{1'700};
// Minimum interval between reconnects to a silent peer.
constexpr Duration kReconnectInterval{2'500};
// Request ids start at the process start time shifted left by this many bits, so that late answers to an
// earlier process never match a request of this one.
constexpr unsigned kRequestCountBits = 20;

}  // namespace

Peers::Peers(const Settings& settings, Runtime& runtime, Callbacks callbacks)
    : settings_(settings),
      runtime_(runtime),
      callbacks_(std::move(callbacks)),
      self_(settings.preferredShard(settings.controller).value),
      incarnation_(static_cast<std::uint64_t>(runtime.wall().value)),
      lastRequestId_(incarnation_ << kRequestCountBits) {
  KeepAliveProxyState proxyState(runtime.now(), settings.grace(), settings.maxCancellationStaleness());
  peers_.assign(settings.size(), Peer{{}, {}, {}, proxyState});
}

void Peers::start() { sendHeartbeats(); }

// --- reachability ---

bool Peers::receivesFrom(PeerNumber peer) const {
  auto receivedAt = peers_[peer].lastHeartbeatAt;
  return receivedAt != Time{} && runtime_.now() - receivedAt < kHeartbeatTimeout;
}

bool Peers::receivesFromAny() const {
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer)
    if (peer != self_ && receivesFrom(peer)) return true;
  return false;
}

bool Peers::anyPeerHoldsLease() const {
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer)
    if (peer != self_ && receivesFrom(peer) && peers_[peer].heartbeat.leaseRemainingMs > 0) return true;
  return false;
}

bool Peers::canReach(PeerNumber peer) const { return receivesFrom(peer) || relayTo(peer); }

std::optional<PeerNumber> Peers::relayTo(PeerNumber to) const {
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer) {
    if (peer == self_ || peer == to || !receivesFrom(peer)) continue;
    if (peers_[peer].heartbeat.hears >> to & 1U) return peer;
  }
  return std::nullopt;
}

PeerContact Peers::contactWith(PeerNumber peer) const {
  return receivesFrom(peer) ? PeerContact::Receiving : PeerContact::NotReceiving;
}

// --- keep-alive proxying ---

bool Peers::mayProxyFor(PeerNumber owner, ShardId shard, Epoch epoch, Version knownUpTo) const {
  return peers_[owner].proxyState.mayAnswer(shard, epoch, knownUpTo, contactWith(owner), runtime_.now());
}

Time Peers::latestPossibleProxyAnswer() const {
  Time latest{};
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer)
    if (peer != self_)
      latest = std::max(latest, peers_[peer].proxyState.latestPossibleAnswer(runtime_.now()));
  return latest;
}

// --- sending ---

void Peers::sendHeartbeats() {
  runtime_.after(kHeartbeatInterval, [this] { sendHeartbeats(); });
  auto now = runtime_.now();
  auto heartbeat = callbacks_.heartbeat();
  heartbeat.processIncarnation = incarnation_;
  heartbeat.hears = 0;
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer)
    if (peer != self_ && receivesFrom(peer)) heartbeat.hears |= 1U << peer;
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer) {
    if (peer == self_) continue;
    reconnectIfSilent(peer, now);
    peers_[peer].proxyState.fillHeartbeat(heartbeat, contactWith(peer), now);
    runtime_.mesh(peer, {self_, peer, heartbeat});
  }
}

// Data queued in a stalled connection would arrive late and delay newer messages.
void Peers::reconnectIfSilent(PeerNumber peer, Time now) {
  if (receivesFrom(peer) || now - peers_[peer].reconnectedAt <= kReconnectInterval) return;
  peers_[peer].reconnectedAt = now;
  runtime_.resetPeerConnection(peer);
}

void Peers::send(PeerNumber to, mesh::Payload payload) {
  mesh::Frame frame{self_, to, std::move(payload)};
  auto relay = receivesFrom(to) ? std::nullopt : relayTo(to);
  runtime_.mesh(relay.value_or(to), frame);
}

void Peers::send(const ControllerId& to, mesh::Payload payload) {
  auto peer = numberOf(to);
  if (peer < peers_.size() && peer != self_) send(peer, std::move(payload));
}

void Peers::broadcast(const mesh::Payload& payload) {
  for (PeerNumber peer = 0; peer < peers_.size(); ++peer)
    if (peer != self_) send(peer, payload);
}

std::uint64_t Peers::registerRequest(Duration deadline, AnswerHandler done) {
  auto id = ++lastRequestId_;
  pendingRequests_[id] = std::move(done);
  runtime_.after(deadline, [this, id] { finishRequest(id, nullptr); });
  return id;
}

// --- receiving ---

void Peers::handleFrame(const mesh::Frame& frame) {
  if (frame.from >= peers_.size() || frame.to >= peers_.size() || frame.from == self_) return;
  if (frame.to != self_)
    return runtime_.mesh(frame.to, frame);  // relayed through this controller, at most once
  if (const auto* heartbeat = std::get_if<mesh::PeerHeartbeat>(&frame.payload))
    handleHeartbeat(frame.from, *heartbeat);
  else if (const auto* answer = std::get_if<mesh::Answer>(&frame.payload))
    finishRequest(answer->id, answer);
  else
    callbacks_.received(frame.from, frame.payload);
}

void Peers::handleHeartbeat(PeerNumber from, const mesh::PeerHeartbeat& heartbeat) {
  auto& peer = peers_[from];
  bool newest = peer.proxyState.acceptHeartbeat(heartbeat, runtime_.now());
  if (!newest) return;  // delayed in transit and overtaken by a newer one
  peer.lastHeartbeatAt = runtime_.now();
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
