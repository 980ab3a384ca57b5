// What tells the present of one worker's agent from its past: which heartbeats count, and which commands may
// still arrive. No I/O and no clock of its own.
//
// Messages between a controller and a worker may be delayed for minutes or delivered twice, a worker may
// resetForRestartedWorker, and a former owner of the shard may still be talking to it. Three orders sort that
// out:
//
//   fencing token        Chosen by the owner; a worker obeys no token below the highest that it has seen. The
//                        shard's epoch is in its high bits, a generation that the owner advances in the low
//                        ones.
//   incarnation          Chosen by the worker: it rises when the worker's lease runs out, whereupon the
//   worker
//                        kills all its tasks. A direct command names the incarnation that it is meant for.
//   sequence number      Chosen by the worker: counts its heartbeats within an incarnation.
//
// Life of a command's token:
//
//        recordUnansweredCommand(), advanceToken()
//     +-----------------------------------------------+
//     |                                               v
//   noCommandInDoubt                            commandInDoubt
//     ^                                               |
//     +-----------------------------------------------+
//        a heartbeat shows a token above the one in doubt; or the incarnation that the command named is over
//
// The numbered invariants are those of docs/DESIGN.md.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "base/types.h"
#include "wire/workers.h"

namespace cherryloft {

// The place of a heartbeat among all those of one agent process; later ones compare greater.
struct HeartbeatPosition {
  Incarnation incarnation;
  SequenceNumber sequence;
  friend auto operator<=>(const HeartbeatPosition&, const HeartbeatPosition&) = default;
  friend bool operator==(const HeartbeatPosition&, const HeartbeatPosition&) = default;
};

[[nodiscard]] HeartbeatPosition positionOf(const wire::WorkerHeartbeat& heartbeat);

class CommandFence {
 public:
  // `baseToken`: the lowest token that no owner before this one has used for the machine.
  explicit CommandFence(FencingToken baseToken = {}) : baseToken_(baseToken) {}

  // The token that commands and answers carry now.
  [[nodiscard]] FencingToken token() const { return FencingToken{baseToken_.value + tokenGeneration_}; }
  // The latestPosition heartbeat that was accepted.
  [[nodiscard]] HeartbeatPosition latestPosition() const { return latestPosition_; }
  [[nodiscard]] Incarnation incarnation() const { return latestPosition_.incarnation; }
  // The incarnation that commands name as long as no heartbeat has been accepted.
  [[nodiscard]] Incarnation expectedIncarnation() const { return expectedIncarnation_; }

  // No command sent so far can take effect any more but those whose effect is known (invariant 3).
  [[nodiscard]] bool noCommandInDoubt() const {
    return !commandInDoubt_ || highestTokenSeen_ > *commandInDoubt_;
  }

  // --- judging heartbeats ---

  // The worker has seen a token of this owner, so the heartbeat is of the present (invariant 12).
  [[nodiscard]] bool carriesOwnToken(const wire::WorkerHeartbeat& heartbeat) const;
  // Another owner has the right to the machine by now (invariant 5).
  [[nodiscard]] bool supersededBy(const wire::WorkerHeartbeat& heartbeat) const;
  // It shows a lower token than the worker has shown: a copy of an earlier heartbeat, or the worker
  // restarted.
  [[nodiscard]] bool carriesLowerToken(const wire::WorkerHeartbeat& heartbeat) const;
  // It may change what is known; anything else is late or a copy (invariants 4 and 12).
  [[nodiscard]] bool isNewer(const wire::WorkerHeartbeat& heartbeat) const;
  // The worker has killed and forgotten everything of the incarnation that was accepted last.
  [[nodiscard]] bool startsNewIncarnation(const wire::WorkerHeartbeat& heartbeat) const;
  // The worker's lease for that incarnation is known to have run out.
  [[nodiscard]] bool isExpired(Incarnation incarnation) const { return incarnation <= expiredIncarnation_; }

  // --- what moves the fence ---

  // The machine's record or the shard's epoch names a higher token; lower ones change nothing.
  void raiseBaseToken(FencingToken token);
  // A heartbeat that may be old names an incarnation: the next command tries it.
  void raiseExpectedIncarnation(Incarnation incarnation);
  // Takes over a heartbeat that isNewer().
  void accept(const wire::WorkerHeartbeat& heartbeat);
  // Everything sent under the present token loses its effect once the worker has seen the next one.
  void advanceToken();
  // A command that was sent under that token got no answer: it may be executed minutes later.
  void recordUnansweredCommand(FencingToken sentWith);
  // The incarnation that the command in doubt named is over, and the command with it (invariant 2).
  void clearCommandInDoubt() { commandInDoubt_.reset(); }
  // The worker's lease has run out: nothing it says of the present incarnation counts any more.
  void expireIncarnation();
  // A new agent process, which counts from one again, answered a question: `answer` is to be accepted next.
  // Starts on their way to the old process may reach the new one, so the token is advanced (invariant 3).
  void resetForRestartedWorker(const wire::WorkerHeartbeat& answer);

 private:
  FencingToken baseToken_;
  std::uint64_t tokenGeneration_ = 0;
  FencingToken highestTokenSeen_;  // the highest token that an accepted heartbeat showed
  // Direct commands up to this token may still arrive, until the worker has shown a higher one.
  std::optional<FencingToken> commandInDoubt_;
  HeartbeatPosition latestPosition_;
  Incarnation expiredIncarnation_;
  Incarnation expectedIncarnation_{1};  // workers count incarnations from one
};

}  // namespace cherryloft
