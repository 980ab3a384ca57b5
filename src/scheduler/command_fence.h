// Fencing for one worker's agent: decides which heartbeats are current, and whether the worker is known to
// hear its owner. Does no I/O and reads no clock.
//
// Messages between a controller and a worker may be delayed for minutes or delivered twice, a worker may
// restart, and a former owner of the shard may still be sending. Three orders resolve this:
//
//   fencing token        Assigned by the owner; a worker rejects commands whose token is below the highest
//                        that it has seen. The high bits are the shard's epoch, the low bits a generation
//                        that the owner increments.
//   worker incarnation   Assigned by the worker: incremented when the worker's lease expires, upon which it
//                        kills all its tasks. A direct command names the incarnation it is meant for.
//   sequence number      Assigned by the worker: counts its heartbeats within an incarnation.
//
// Direct commands start no task (invariant 3), so one that arrives late can only stop what is to be stopped
// anyway. A worker that may not hear its owner, or a new agent process, has to show a higher token before it
// gets new work:
//
//                    requireAcknowledgement()
//     +-----------------------------------------------+
//     |                                               v
//   acknowledged                            awaiting acknowledgement
//     ^                                               |
//     +-----------------------------------------------+
//        a heartbeat carries a token above the one at that time, or the incarnation has ended
//
// The invariant numbers refer to docs/DESIGN.md.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "base/fencing_token.h"
#include "base/types.h"
#include "wire/workers.h"

namespace cherryloft {

// Position of a heartbeat in the order in which one agent process sends them; later ones compare greater.
struct HeartbeatPosition {
  Incarnation incarnation;
  SequenceNumber sequence;
  friend auto operator<=>(const HeartbeatPosition&, const HeartbeatPosition&) = default;
  friend bool operator==(const HeartbeatPosition&, const HeartbeatPosition&) = default;
};

[[nodiscard]] HeartbeatPosition positionOf(const wire::WorkerHeartbeat& heartbeat);

class CommandFence {
 public:
  // `baseToken`: the lowest token that no previous owner has used for the machine. `generations`: how many
  // tokens from there on are the owner's.
  explicit CommandFence(FencingToken baseToken = {}, std::uint64_t generations = kTokenGenerations)
      : baseToken_(baseToken), generations_(generations) {}

  // The token to put into commands and heartbeat answers.
  [[nodiscard]] FencingToken token() const { return FencingToken{baseToken_.value + tokenGeneration_}; }
  // Position of the last accepted heartbeat.
  [[nodiscard]] HeartbeatPosition latestPosition() const { return latestPosition_; }
  [[nodiscard]] Incarnation incarnation() const { return latestPosition_.incarnation; }
  // The incarnation that commands name until a heartbeat has been accepted.
  [[nodiscard]] Incarnation expectedIncarnation() const { return expectedIncarnation_; }

  // Whether the worker has shown that it received the token that it was last required to acknowledge.
  [[nodiscard]] bool acknowledged() const {
    return !unacknowledgedToken_ || highestTokenSeen_ > *unacknowledgedToken_;
  }

  // The tokens of the epoch are used up: the owner needs a new epoch before it can raise the token again.
  [[nodiscard]] bool tokensExhausted() const { return tokenGeneration_ + 1 >= generations_; }

  // --- classifying heartbeats ---

  // The worker has seen a token of this owner, so the heartbeat is not from before the takeover
  // (invariant 12).
  [[nodiscard]] bool carriesOwnToken(const wire::WorkerHeartbeat& heartbeat) const;
  // Another owner has taken over the machine (invariant 5).
  [[nodiscard]] bool supersededBy(const wire::WorkerHeartbeat& heartbeat) const;
  // Its token is lower than one the worker has already acknowledged: it is a duplicate of an earlier
  // heartbeat, or the worker restarted.
  [[nodiscard]] bool carriesLowerToken(const wire::WorkerHeartbeat& heartbeat) const;
  // May update the shard state; any other heartbeat is delayed or a duplicate (invariants 4 and 12).
  [[nodiscard]] bool isNewer(const wire::WorkerHeartbeat& heartbeat) const;
  // The worker has killed and discarded all tasks of the last accepted incarnation.
  [[nodiscard]] bool startsNewIncarnation(const wire::WorkerHeartbeat& heartbeat) const;
  // The worker's lease for that incarnation is known to have expired.
  [[nodiscard]] bool isExpired(Incarnation incarnation) const { return incarnation <= expiredIncarnation_; }

  // --- state changes ---

  // Called when the machine's record or the shard's epoch names a token; ignores one that is not higher.
  void raiseBaseToken(FencingToken token);
  // Records the incarnation named by a possibly stale heartbeat; the next command is addressed to it.
  void raiseExpectedIncarnation(Incarnation incarnation);
  // Records a heartbeat for which isNewer() holds.
  void accept(const wire::WorkerHeartbeat& heartbeat);
  // Raises the token, and requires the worker to acknowledge one above the former.
  void requireAcknowledgement();
  // The incarnation that had to acknowledge has ended (invariant 2).
  void clearRequiredAcknowledgement() { unacknowledgedToken_.reset(); }
  // The worker's lease has expired: further heartbeats of the current incarnation are ignored.
  void expireIncarnation();
  // A new agent process, whose counters start at one again, answered a probe; `answer` is accepted next.
  // Heartbeats of the old process, and direct starts by an owner of a former version, may still arrive, so
  // the new one has to acknowledge a higher token.
  void resetForRestartedWorker(const wire::WorkerHeartbeat& answer);

 private:
  FencingToken baseToken_;
  std::uint64_t generations_;
  std::uint64_t tokenGeneration_ = 0;
  FencingToken highestTokenSeen_;                    // highest token carried by an accepted heartbeat
  std::optional<FencingToken> unacknowledgedToken_;  // the worker has to acknowledge a higher one
  HeartbeatPosition latestPosition_;
  Incarnation expiredIncarnation_;
  Incarnation expectedIncarnation_{1};  // workers number incarnations from 1
};

}  // namespace cherryloft
