// Keep-alive proxying between two controllers (invariant 15). A controller that is partitioned from a shard's
// owner together with workers of that shard may answer their heartbeats on the owner's behalf, so that their
// leases stay alive. It sends no commands except stops of cancelled tasks (invariant 16), and only for as
// long as the owner itself could answer after losing its lease. The owner, or the next owner of the shard,
// computes the leases of those workers from the latest time at which the proxy may have answered.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/types.h"
#include "mesh/messages.h"

namespace cherryloft {

// Whether heartbeats were recently received directly from the peer, see Peers::receivesFrom.
enum class PeerContact : std::uint8_t { Receiving, NotReceiving };

// The proxying state that one controller keeps for one peer, in both roles: as a proxy for shards that the
// peer owns, and as an owner whose workers the peer may answer. It does no I/O and reads no clock; times are
// by this controller's steady clock unless noted otherwise.
class KeepAliveProxyState {
 public:
  // grace: how long an owner continues to answer after its lease ended (Settings::grace).
  // maxProxyTime: how long a proxy may answer after a heartbeat of the owner
  // (Settings::maxCancellationStaleness).
  KeepAliveProxyState(Time startedAt, Duration grace, Duration maxProxyTime)
      : startedAt_(startedAt),
        grace_(grace),
        maxProxyTime_(maxProxyTime),
        lastReportedInactiveAt_(startedAt) {}

  // Fills in the proxying fields of a heartbeat to the peer. Call it for every heartbeat sent: with Receiving
  // the heartbeat reports that this controller is not proxying for the peer.
  void fillHeartbeat(mesh::PeerHeartbeat& heartbeat, PeerContact contact, Time now);
  // Processes a heartbeat from the peer. Returns false, and ignores it, if a newer one was received before.
  bool acceptHeartbeat(const mesh::PeerHeartbeat& heartbeat, Time now);

  // As a proxy: whether this controller may answer a worker of the shard that holds a token of the epoch.
  // knownUpTo: the revision up to which this controller has seen all job changes; it must cover every
  // cancellation that the owner had committed by its latest heartbeat.
  [[nodiscard]] bool mayAnswer(ShardId shard, Epoch epoch, Version knownUpTo, PeerContact contact,
                               Time now) const;
  // As a proxy: records that a worker was answered on the peer's behalf.
  void recordAnswer(Time now) { lastAnswerAt_ = now; }

  // As an owner: the latest time, up to now, at which the peer may have answered a worker of this controller.
  [[nodiscard]] Time latestPossibleAnswer(Time now) const;

 private:
  // The peer's report on a shard that it owns.
  struct ReportedOwnership {
    Epoch epoch;
    Version lastCancellation;
  };

  Time startedAt_;
  Duration grace_;
  Duration maxProxyTime_;
  std::uint64_t peerIncarnation_ = 0;  // of the peer's process; increases with each restart
  std::int64_t peerSentAtMs_ = 0;      // send time of the latest accepted heartbeat, by the peer's clock

  // As a proxy.
  Time lastReportedInactiveAt_{};  // when the peer was last told that we are not proxying for it
  std::map<ShardId, ReportedOwnership> peerShards_;
  Time mayProxyUntil_{};  // latest time for answers on the peer's behalf
  std::optional<Time> lastAnswerAt_;

  // As an owner.
  Time peerInactiveAfter_{};   // the peer was not proxying for us at some time after this
  Time peerAnsweredUntil_{};   // latest answer on our behalf, reported or assumed
  Time peerMayAnswerUntil_{};  // the peer does not answer on our behalf after this
};

}  // namespace cherryloft
