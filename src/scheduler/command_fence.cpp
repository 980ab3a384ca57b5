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

bool CommandFence::mayForget(const TaskAttempt& attempt) const {
  auto start = directStarts_.find(attempt);
  return noCommandInDoubt() && (start == directStarts_.end() || start->second < token());
}

bool CommandFence::mayStart(const TaskAttempt& attempt) const {
  for (auto start = directStarts_.lower_bound({attempt.task, Attempt{0}});
       start != directStarts_.end() && start->first.task == attempt.task; ++start)
    if (start->first.attempt != attempt.attempt && start->second >= token()) return false;
  return true;
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
  // Direct commands name the incarnation that they are meant for.
  if (startsNewIncarnation(heartbeat)) directStarts_.clear();
  latestPosition_ = positionOf(heartbeat);
  expectedIncarnation_ = heartbeat.incarnation;
  if (heartbeat.token > highestTokenSeen_) {
    highestTokenSeen_ = heartbeat.token;
    std::erase_if(directStarts_, [&](const auto& start) { return start.second < highestTokenSeen_; });
  }
  if (noCommandInDoubt()) commandInDoubt_.reset();
}

bool CommandFence::raiseToken() {
  if (tokensExhausted()) return false;
  ++tokenGeneration_;
  return true;
}

void CommandFence::advanceToken() {
  commandInDoubt_ = token();
  raiseToken();
}

void CommandFence::recordUnansweredCommand(FencingToken commandToken) {
  commandInDoubt_ = commandToken;
  raiseToken();
}

void CommandFence::expireIncarnation() {
  expiredIncarnation_ = latestPosition_.incarnation;
  commandInDoubt_.reset();
  directStarts_.clear();
}

void CommandFence::resetForRestartedWorker(const wire::WorkerHeartbeat& answer) {
  latestPosition_ = {answer.incarnation, SequenceNumber{answer.sequence.value - 1}};
  expectedIncarnation_ = answer.incarnation;
  highestTokenSeen_ = answer.token;
  expiredIncarnation_ = Incarnation{};
  advanceToken();
}

}  // namespace cherryloft
