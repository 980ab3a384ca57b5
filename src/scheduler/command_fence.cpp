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
  expectedIncarnation_ = heartbeat.incarnation;
  highestTokenSeen_ = std::max(highestTokenSeen_, heartbeat.token);
  if (noCommandInDoubt()) commandInDoubt_.reset();
}

void CommandFence::advanceToken() {
  commandInDoubt_ = token();
  ++tokenGeneration_;
}

void CommandFence::recordUnansweredCommand(FencingToken commandToken) {
  commandInDoubt_ = commandToken;
  ++tokenGeneration_;
}

void CommandFence::expireIncarnation() {
  expiredIncarnation_ = latestPosition_.incarnation;
  commandInDoubt_.reset();
}

void CommandFence::resetForRestartedWorker(const wire::WorkerHeartbeat& answer) {
  latestPosition_ = {answer.incarnation, SequenceNumber{answer.sequence.value - 1}};
  expectedIncarnation_ = answer.incarnation;
  highestTokenSeen_ = answer.token;
  expiredIncarnation_ = Incarnation{};
  advanceToken();
}

}  // namespace cherryloft
