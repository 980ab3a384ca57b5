// Keep-alive proxying between two controllers (invariant 15). A controller that is cut off from a shard's
// owner together with workers of that shard may answer their heartbeats in the owner's name, so that their
// leases live on. It sends no commands but stops of cancelled tasks (invariant 16), and only for as long as
// the owner itself might answer after losing its own lease. The owner, or whoever owns the shard next, counts
// the leases of those workers from the last moment at which the proxy may have answered.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/types.h"
#include "mesh/messages.h"

namespace cherryloft {

// Whether the peer was heard directly of late, by Peers::hears.
enum class PeerContact : std::uint8_t { Heard, NotHeard };

// What one controller knows of one peer, in both roles: as a proxy for shards that the peer owns, and as an
// owner for whose workers the peer may answer. No I/O and no clock of its own; times are of this controller's
// steady clock unless said otherwise.
class KeepAliveProxyLink {
 public:
  // grace: how long an owner goes on answering after its lease ended (Settings::grace).
  // maxProxyTime: how long a proxy may answer after a heartbeat of the owner
  // (Settings::maxCancellationStaleness).
  KeepAliveProxyLink(Time started, Duration grace, Duration maxProxyTime)
      : started_(started), grace_(grace), maxProxyTime_(maxProxyTime), lastDisclaimedAt_(started) {}

  // Fills in the fields of a heartbeat to the peer that proxying needs. Call it for every one that is sent:
  // with Heard it is a statement that we answer nobody in the peer's name.
  void fillHeartbeat(mesh::PeerHeartbeat& heartbeat, PeerContact contact, Time now);
  // Takes in a heartbeat from the peer. False if it is older than one that came before: it says nothing then.
  bool acceptHeartbeat(const mesh::PeerHeartbeat& heartbeat, Time now);

  // As a proxy: whether we may answer a worker of that shard that holds a token of that epoch. knownUpTo: the
  // revision up to which we know every change of jobs; we must know of each cancellation that the owner had
  // committed by its latest heartbeat.
  [[nodiscard]] bool mayAnswer(ShardId shard, Epoch epoch, Version knownUpTo, PeerContact contact,
                               Time now) const;
  // As a proxy: we answered a worker in the peer's name.
  void recordAnswer(Time now) { lastAnswerAt_ = now; }

  // As an owner: the latest moment until now at which the peer may have answered a worker of ours.
  [[nodiscard]] Time mayHaveAnsweredUntil(Time now) const;

 private:
  // What the peer said of a shard that it owns.
  struct OwnershipStatement {
    Epoch epoch;
    Version lastCancellation;
  };

  Time started_;
  Duration grace_;
  Duration maxProxyTime_;
  std::uint64_t peerLife_ = 0;     // of the peer's process, later ones higher
  std::int64_t peerSentAtMs_ = 0;  // by its clock, when it sent the latest heartbeat that was accepted

  // As a proxy.
  Time lastDisclaimedAt_{};  // our last statement to the peer that we answer nobody in its name
  std::map<ShardId, OwnershipStatement> peerShards_;
  Time allowedUntil_{};  // in its name
  std::optional<Time> lastAnswerAt_;

  // As an owner.
  Time disclaimedAt_{};    // at some moment since then the peer answered nobody in our name
  Time answeredUntil_{};   // it did so until then, by its own statement or at the latest
  Time mayAnswerUntil_{};  // beyond this it may not, having heard from us
};

}  // namespace cherryloft
