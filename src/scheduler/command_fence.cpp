#include "scheduler/command_fence.h"

#include <algorithm>

namespace cherryloft {

HeartbeatPosition positionOf(const wire::WorkerHeartbeat& heartbeat) {
  return {heartbeat.incarnation, heartbeat.sequence};
}

bool CommandFence::carriesOwnToken(const wire::WorkerHeartbeat& heartbeat) const {
  return heartbeat.token >= baseToken_;
}

bool CommandFence::supersededBy(const wire::WorkerHeartbeat& heartbeat) const {
  return heartbeat.token > token();
}

bool CommandFence::carriesLowerToken(const wire::WorkerHeartbeat& heartbeat) const {
  return heartbeat.token < highestTokenSeen_;
}

bool CommandFence::isNewer(const wire::WorkerHeartbeat& heartbeat) const {
  return positionOf(heartbeat) > latestPosition_ && !isExpired(heartbeat.incarnation) &&
         !carriesLowerToken(heartbeat);
}

bool CommandFence::startsNewIncarnation(const wire::WorkerHeartbeat& heartbeat) const {
  bool hasAcceptedHeartbeat = latestPosition_.incarnation.value > 0;
  return hasAcceptedHeartbeat && heartbeat.incarnation > latestPosition_.incarnation;
}

void CommandFence::raiseBaseToken(FencingToken token) {
  if (token <= baseToken_) return;
  baseToken_ = token;
  tokenGeneration_ = 0;
}

void CommandFence::raiseExpectedIncarnation(Incarnation incarnation) {
  if (isExpired(incarnation)) return;
  expectedIncarnation_ = std::max(expectedIncarnation_, incarnation);
}

void CommandFence::accept(const wire::WorkerHeartbeat& heartbeat) {
  latestPosition_ = positionOf(heartbeat);
  // Direct commands name the incarnation that they are meant for.
  expectedIncarnation_ = heartbeat.incarnation;
  highestTokenSeen_ = std::max(highestTokenSeen_, heartbeat.token);
  if (acknowledged()) unacknowledgedToken_.reset();
}

void CommandFence::requireAcknowledgement() {
  unacknowledgedToken_ = token();
  if (!tokensExhausted()) ++tokenGeneration_;
}

void CommandFence::expireIncarnation() {
  expiredIncarnation_ = latestPosition_.incarnation;
  unacknowledgedToken_.reset();
}

void CommandFence::resetForRestartedWorker(const wire::WorkerHeartbeat& answer) {
  latestPosition_ = {answer.incarnation, SequenceNumber{answer.sequence.value - 1}};
  expectedIncarnation_ = answer.incarnation;
  highestTokenSeen_ = answer.token;
  expiredIncarnation_ = Incarnation{};
  requireAcknowledgement();
}

}  // namespace cherryloft
