#include "controller/peer_messages.h"

namespace cherryloft {

void PeerMessageDispatcher::dispatch(PeerNumber from, const mesh::Payload& payload) {
  std::visit([this, from](const auto& message) { handle(from, message); }, payload);
}

void PeerMessageDispatcher::handle(PeerNumber from, const mesh::JobRequest& request) {
  auto answer = [&peers = receivers_.peers, from, id = request.id](const UserResponse& result) {
    peers.send(from, toPeerAnswer(id, result));
  };
  receivers_.userApi.handlePeerRequest(request, answer);
}

void PeerMessageDispatcher::handle(PeerNumber from, const mesh::RelayedHeartbeat& relayed) {
  receivers_.peers.send(from, receivers_.workerEndpoint.handleRelayed(relayed));
}

void PeerMessageDispatcher::handle(PeerNumber from, const mesh::ProbeRequest& request) {
  auto answer = [&peers = receivers_.peers, from, id = request.id](const HttpResult& result) {
    peers.send(from, mesh::Answer{id, result.response.status, result.response.body});
  };
  receivers_.machineProbes.probeDirectly(request.address, answer);
}

void PeerMessageDispatcher::handle(PeerNumber, const mesh::UnrecordedMachineSeen& seen) {
  if (auto heartbeat = wire::parseHeartbeat(seen.body))
    receivers_.autoscaler.handleUnrecordedMachine(*heartbeat);
}

void PeerMessageDispatcher::handle(PeerNumber, const mesh::ShardLoad& load) {
  receivers_.autoscaler.handleShardLoad(load);
}

void PeerMessageDispatcher::handle(PeerNumber, const mesh::MachineDirective& directive) {
  receivers_.schedulers.deliver(ShardId{directive.shard}, directive, &ShardScheduler::handleDirective);
}

void PeerMessageDispatcher::handle(PeerNumber, const mesh::JobEnded& ended) {
  JobId id{ended.job};
  auto status = ended.done ? JobStatus::Done : JobStatus::Cancelled;
  receivers_.view.jobEnded(id, status, Version{ended.version});
  receivers_.schedulers.jobChanged(id);
}

void PeerMessageDispatcher::handle(PeerNumber, const mesh::CapacityRequest& request) {
  receivers_.schedulers.deliverToOthers(ShardId{request.shard}, request,
                                        &ShardScheduler::handleCapacityRequest);
}

void PeerMessageDispatcher::handle(PeerNumber, const mesh::CapacityOffer& offer) {
  receivers_.schedulers.deliver(ShardId{offer.toShard}, offer, &ShardScheduler::handleCapacityOffer);
}

void PeerMessageDispatcher::handle(PeerNumber, const mesh::TaskCapacityRequest& request) {
  receivers_.schedulers.deliverToOthers(ShardId{request.shard}, request,
                                        &ShardScheduler::handleTaskCapacityRequest);
}

void PeerMessageDispatcher::handle(PeerNumber, const mesh::TaskCapacityOffer& offer) {
  receivers_.schedulers.deliver(ShardId{offer.toShard}, offer, &ShardScheduler::handleTaskCapacityOffer);
}

}  // namespace cherryloft
