// Peers: communication between this controller and the others. Sends heartbeats and requests with deadlines,
// relays frames through a third controller when a link is down, and tracks keep-alive proxying, which depends
// on the reachability of the peers (invariant 15).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "cluster/keep_alive_proxy.h"
#include "config/settings.h"
#include "runtime/runtime.h"

namespace cherryloft {

// The index of a controller in the settings, which is the same on all controllers.
using PeerNumber = std::uint32_t;

// One instance per controller, used on the controller's thread only. Settings and runtime must outlive it.
// Peer numbers must be below Settings::size().
class Peers {
 public:
  struct Callbacks {
    // Called for a message that is neither a heartbeat nor an answer.
    std::function<void(PeerNumber from, const mesh::Payload&)> received;
    // Returns this controller's next heartbeat; Peers fills in the fields that it maintains itself.
    std::function<mesh::PeerHeartbeat()> heartbeat;
  };
  // Called exactly once: with the answer, or with null if none arrived before the deadline.
  using AnswerHandler = std::function<void(const mesh::Answer*)>;

  Peers(const Settings& settings, Runtime& runtime, Callbacks callbacks);

  // Starts sending heartbeats periodically.
  void start();
  // Processes a frame from the mesh. A frame for another controller is forwarded.
  void handleFrame(const mesh::Frame& frame);

  // Sends a message, which may be lost without notice. If no heartbeats arrive from the peer, the message is
  // relayed through a third controller that receives them.
  void send(PeerNumber to, mesh::Payload payload);
  // Does nothing if `to` is this controller or is not in the settings.
  void send(const ControllerId& to, mesh::Payload payload);
  void broadcast(const mesh::Payload& payload);
  // Sends a request that is answered with mesh::Answer; sets its id.
  template <class Request>
  void sendRequest(const ControllerId& to, Request request, Duration deadline, AnswerHandler done) {
    request.id = registerRequest(deadline, std::move(done));
    send(to, std::move(request));
  }

  // Whether heartbeats are being received directly from the peer.
  [[nodiscard]] bool receivesFrom(PeerNumber peer) const;
  [[nodiscard]] bool receivesFromAny() const;
  // When the peer's latest heartbeat arrived; Time{} if none did yet.
  [[nodiscard]] Time lastHeartbeatAt(PeerNumber peer) const { return peers_[peer].lastHeartbeatAt; }
  // Whether a peer from which heartbeats are received holds its lease, i.e. the state service is available to
  // it.
  [[nodiscard]] bool anyPeerHoldsLease() const;
  // Whether the peer can be reached directly or through a relay.
  [[nodiscard]] bool canReach(PeerNumber peer) const;
  [[nodiscard]] bool canReach(const ControllerId& peer) const { return canReach(numberOf(peer)); }

  // Whether a worker of the owner's shard that holds a token of that epoch may be answered on the owner's
  // behalf, given that all job changes up to `knownUpTo` have been seen (invariant 15).
  [[nodiscard]] bool mayProxyFor(PeerNumber owner, ShardId shard, Epoch epoch, Version knownUpTo) const;
  // Records that a worker's heartbeat was answered on the owner's behalf.
  void recordProxyAnswerFor(PeerNumber owner) { peers_[owner].proxyState.recordAnswer(runtime_.now()); }
  // The latest time at which any peer may have answered a worker on this controller's behalf (invariant 15).
  [[nodiscard]] Time latestPossibleProxyAnswer() const;

  [[nodiscard]] PeerNumber self() const { return self_; }
  [[nodiscard]] PeerNumber numberOf(const ControllerId& controller) const {
    return settings_.preferredShard(controller).value;
  }

 private:
  struct Peer {
    Time lastHeartbeatAt{};
    mesh::PeerHeartbeat heartbeat;  // the latest one received
    Time reconnectedAt{};           // when the connection to it was last reset
    KeepAliveProxyState proxyState;
  };
  [[nodiscard]] PeerContact contactWith(PeerNumber peer) const;
  // A peer from which heartbeats are received and which itself receives those of `to`.
  [[nodiscard]] std::optional<PeerNumber> relayTo(PeerNumber to) const;
  std::uint64_t registerRequest(Duration deadline, AnswerHandler done);
  // Completes the pending request; an answer without a pending request is dropped.
  void finishRequest(std::uint64_t id, const mesh::Answer* answer);
  void sendHeartbeats();
  void reconnectIfSilent(PeerNumber peer, Time now);
  void handleHeartbeat(PeerNumber from, const mesh::PeerHeartbeat& heartbeat);

  const Settings& settings_;
  Runtime& runtime_;
  Callbacks callbacks_;
  PeerNumber self_;
  std::uint64_t incarnation_;  // of this process; increases with each restart
  std::vector<Peer> peers_;    // by number; the entry of this controller is unused
  std::map<std::uint64_t, AnswerHandler> pendingRequests_;
  std::uint64_t lastRequestId_ = 0;
};

}  // namespace cherryloft
