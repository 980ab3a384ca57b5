// Peers: what this controller says to and hears from the others. Heartbeats between controllers, requests
// with a deadline, one hop through a third controller around a cut link, and the keep-alive proxying that
// follows from who hears whom (invariant 15).
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

// The place of a controller in the settings, the same at all of them.
using PeerNumber = std::uint32_t;

// One per controller, on the controller's thread. Settings and runtime must outlive it. Numbers of peers must
// be below Settings::size().
class Peers {
 public:
  struct Callbacks {
    // A message came, from that controller, that is neither a heartbeat nor an answer.
    std::function<void(PeerNumber from, const mesh::Payload&)> received;
    // What to say of ourselves in a heartbeat; the fields that Peers knows are filled in here.
    std::function<mesh::PeerHeartbeat()> heartbeat;
  };
  // Told the answer, or null if none came within the deadline. Called exactly once.
  using AnswerHandler = std::function<void(const mesh::Answer*)>;

  Peers(const Settings& settings, Runtime& runtime, Callbacks callbacks);

  // Sends the first heartbeats; they go on until the end.
  void start();
  // Takes in a frame from the mesh. One for another controller is passed on.
  void handleFrame(const mesh::Frame& frame);

  // Messages may be lost without notice. A peer that is not heard is sent to through one that hears it.
  void send(PeerNumber to, mesh::Payload payload);
  // Does nothing if that controller is this one or is not in the settings.
  void send(const ControllerId& to, mesh::Payload payload);
  void broadcast(const mesh::Payload& payload);
  // Sends a request that is answered with mesh::Answer; its id is set here.
  template <class Request>
  void ask(const ControllerId& to, Request request, Duration deadline, AnswerHandler done) {
    request.id = expectAnswer(deadline, std::move(done));
    send(to, std::move(request));
  }

  // Whether heartbeats of that peer come to us directly.
  [[nodiscard]] bool hears(PeerNumber peer) const;
  [[nodiscard]] bool receivesFromAny() const;
  // When its latest heartbeat came; Time{} if none ever did.
  [[nodiscard]] Time lastHeartbeatAt(PeerNumber peer) const { return peers_[peer].lastHeartbeatAt; }
  // Some peer that is heard holds its lease: the state service is there for others.
  [[nodiscard]] bool anyPeerHoldsLease() const;
  // It is heard, or a peer that is heard hears it.
  [[nodiscard]] bool reaches(PeerNumber peer) const;
  [[nodiscard]] bool reaches(const ControllerId& peer) const { return reaches(numberOf(peer)); }

  // Whether a worker of a shard of that owner's, with a token of that epoch, may be answered in its name,
  // when we know every change of jobs up to that revision (invariant 15).
  [[nodiscard]] bool mayProxyFor(PeerNumber owner, ShardId shard, Epoch epoch, Version knownUpTo) const;
  // A worker's heartbeat was answered in that owner's name.
  void recordProxyAnswerFor(PeerNumber owner) { peers_[owner].proxyLink.recordAnswer(runtime_.now()); }
  // The latest moment at which any peer may have answered a worker in our name (invariant 15).
  [[nodiscard]] Time latestPossibleProxyAnswer() const;

  [[nodiscard]] PeerNumber self() const { return self_; }
  [[nodiscard]] PeerNumber numberOf(const ControllerId& controller) const {
    return settings_.preferredShard(controller).value;
  }

 private:
  struct Peer {
    Time lastHeartbeatAt{};
    mesh::PeerHeartbeat heartbeat;  // the latest
    Time reconnectedAt{};           // when our connection to it was last given up
    KeepAliveProxyState proxyLink;
  };
  [[nodiscard]] PeerContact contactWith(PeerNumber peer) const;
  // A peer that is heard and hears that one.
  [[nodiscard]] std::optional<PeerNumber> hopTo(PeerNumber to) const;
  std::uint64_t expectAnswer(Duration deadline, AnswerHandler done);
  // Ends the wait for that answer; an answer nobody waits for any more is dropped.
  void finishRequest(std::uint64_t id, const mesh::Answer* answer);
  void sendHeartbeats();
  void reconnectIfUnheard(PeerNumber peer, Time now);
  void handleHeartbeat(PeerNumber from, const mesh::PeerHeartbeat& heartbeat);

  const Settings& settings_;
  Runtime& runtime_;
  Callbacks callbacks_;
  PeerNumber self_;
  std::uint64_t life_;       // of this process, later ones higher
  std::vector<Peer> peers_;  // by number; the one of ourselves stays unused
  std::map<std::uint64_t, AnswerHandler> pendingRequests_;
  std::uint64_t lastRequestId_ = 0;
};

}  // namespace cherryloft
