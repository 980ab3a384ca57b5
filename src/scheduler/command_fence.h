// Fencing for one worker's agent: decides which heartbeats are current, and which commands may still take
// effect. Does no I/O and reads no clock.
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
// States of the fence with respect to unacknowledged commands:
//
//        recordUnansweredCommand(), advanceToken()
//     +-----------------------------------------------+
//     |                                               v
//   noCommandInDoubt                            commandInDoubt
//     ^                                               |
//     +-----------------------------------------------+
//        a heartbeat carries a token above the one in doubt, or the incarnation that the command named has
//        ended
//
// A direct command that was carried out and answered may be delivered once more, too. As long as the worker
// holds the attempts that it started, in any state, the copy does nothing; once they are forgotten, it starts
// them again unless the worker has seen a higher token. So the fence records under which token an attempt was
// started directly, until the worker has seen a higher one; it may be forgotten only under a higher one.
//
// The invariant numbers refer to docs/DESIGN.md.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

#include "base/fencing_token.h"
#include "base/types.h"
#include "scheduler/task_attempt.h"
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

  // True if every command sent so far either has a known effect or can no longer take effect (invariant 3).
  [[nodiscard]] bool noCommandInDoubt() const {
    return !commandInDoubt_ || highestTokenSeen_ > *commandInDoubt_;
  }

  // Whether the worker may still accept a direct command that starts the attempt, or a copy of one (invariant
  // 3). It does nothing as long as the worker holds the attempt.
  [[nodiscard]] bool directStartMayArrive(const TaskAttempt& attempt) const {
    return directStarts_.count(attempt) > 0;
  }
  // Whether a command under the current token may make the worker forget the exited attempt: after it, no
  // direct command can start the attempt again.
  [[nodiscard]] bool mayForget(const TaskAttempt& attempt) const;
  // Whether a command under the current token may start the task: it may make the worker drop an exited
  // attempt of the same task, which no direct command may start again afterwards either.
  [[nodiscard]] bool mayStart(const TaskAttempt& attempt) const;
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
  // A direct command under the current token starts the attempt.
  void recordDirectStart(const TaskAttempt& attempt) { directStarts_[attempt] = token(); }
  // The only direct command that starts the attempt was certainly not sent.
  void eraseUnsentStart(const TaskAttempt& attempt) { directStarts_.erase(attempt); }
  // Raises the token, so that all exited attempts may be forgotten under it. Unlike after advanceToken(),
  // nothing is in doubt: the command to forget carries the new token itself. Returns false, without effect,
  // if the tokens are exhausted.
  bool raiseToken();
  // Commands sent under the current token have no effect once the worker has seen the next token.
  void advanceToken();
  // A command sent under that token was not answered: it may still be executed minutes later.
  void recordUnansweredCommand(FencingToken commandToken);
  // The incarnation named by the command in doubt has ended, so the command has no effect (invariant 2).
  void clearCommandInDoubt() { commandInDoubt_.reset(); }
  // The worker's lease has expired: further heartbeats of the current incarnation are ignored.
  void expireIncarnation();
  // A new agent process, whose counters start at one again, answered a probe; `answer` is accepted next.
  // Start commands in flight to the old process may reach the new one, so the token is advanced
  // (invariant 3).
  void resetForRestartedWorker(const wire::WorkerHeartbeat& answer);

 private:
  FencingToken baseToken_;
  std::uint64_t generations_;
  std::uint64_t tokenGeneration_ = 0;
  // Attempts that direct commands started in the current incarnation, with the latest token of such a
  // command, unless the worker has seen a higher one.
  std::map<TaskAttempt, FencingToken> directStarts_;
  FencingToken highestTokenSeen_;  // highest token carried by an accepted heartbeat
  // Direct commands with tokens up to this one may still arrive, until the worker acknowledges a higher one.
  std::optional<FencingToken> commandInDoubt_;
  HeartbeatPosition latestPosition_;
  Incarnation expiredIncarnation_;
  Incarnation expectedIncarnation_{1};  // workers number incarnations from 1
};

}  // namespace cherryloft
