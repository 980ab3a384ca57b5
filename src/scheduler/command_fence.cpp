#include "scheduler/command_fence.h"

#include <algorithm>

namespace cherryloft {

HeartbeatPosition positionOf(const wire::WorkerHeartbeat& heartbeat) {
  return {heartbeat.incarnation, heartbeat.sequence};
}

bool CommandFence::showsOwnToken(const wire::WorkerHeartbeat& heartbeat) const {
  return heartbeat.token >= lowestOwnToken_;
}

bool CommandFence::supersededBy(const wire::WorkerHeartbeat& heartbeat) const {
  return heartbeat.token > token();
}

bool CommandFence::showsLowerToken(const wire::WorkerHeartbeat& heartbeat) const {
  return heartbeat.token < highestTokenSeen_;
}

bool CommandFence::isNewer(const wire::WorkerHeartbeat& heartbeat) const {
  return positionOf(heartbeat) > latest_ && !isExpired(heartbeat.incarnation) && !showsLowerToken(heartbeat);
}

bool CommandFence::startsIncarnation(const wire::WorkerHeartbeat& heartbeat) const {
  bool anyAccepted = latest_.incarnation.value > 0;
  return anyAccepted && heartbeat.incarnation > latest_.incarnation;
}

void CommandFence::raiseLowestOwnToken(FencingToken token) {
  if (token <= lowestOwnToken_) return;
  lowestOwnToken_ = token;
  tokenGeneration_ = 0;
}

void CommandFence::learnExpectedIncarnation(Incarnation incarnation) {
  if (isExpired(incarnation)) return;
  expectedIncarnation_ = std::max(expectedIncarnation_, incarnation);
}

void CommandFence::accept(const wire::WorkerHeartbeat& heartbeat) {
  latest_ = positionOf(heartbeat);
  expectedIncarnation_ = heartbeat.incarnation;
  highestTokenSeen_ = std::max(highestTokenSeen_, heartbeat.token);
  if (noCommandInDoubt()) commandInDoubt_.reset();
}

void CommandFence::advanceToken() {
  commandInDoubt_ = token();
  ++tokenGeneration_;
}

void CommandFence::commandUnanswered(FencingToken sentWith) {
  commandInDoubt_ = sentWith;
  ++tokenGeneration_;
}

void CommandFence::expireIncarnation() {
  expiredIncarnation_ = latest_.incarnation;
  commandInDoubt_.reset();
}

void CommandFence::restart(const wire::WorkerHeartbeat& answer) {
  latest_ = {answer.incarnation, SequenceNumber{answer.sequence.value - 1}};
  expectedIncarnation_ = answer.incarnation;
  highestTokenSeen_ = answer.token;
  expiredIncarnation_ = Incarnation{};
  advanceToken();
}

}  // namespace cherryloft
