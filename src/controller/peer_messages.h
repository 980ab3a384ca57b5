// Dispatches messages from other controllers to local components: one overload per message type.
#pragma once

#include "autoscaler/autoscaler.h"
#include "cluster/cluster_view.h"
#include "cluster/peers.h"
#include "controller/machine_probes.h"
#include "controller/shard_schedulers.h"
#include "controller/user_api.h"
#include "controller/worker_endpoint.h"

namespace cherryloft {

// Stateless; all references must outlive it. Messages may be delayed, duplicated or lost: no guarantee may
// depend on their delivery.
class PeerMessageDispatcher {
 public:
  struct Receivers {
    ClusterView& view;
    Peers& peers;
    Autoscaler& autoscaler;
    UserApi& userApi;
    WorkerEndpoint& workerEndpoint;
    const MachineProbes& machineProbes;
    const ShardSchedulers& schedulers;
  };
  explicit PeerMessageDispatcher(Receivers receivers) : receivers_(receivers) {}

  // Answers to requests go to the controller that sent them.
  void dispatch(PeerNumber from, const mesh::Payload& payload);

 private:
  // Heartbeats and answers are handled by Peers.
  void handle(PeerNumber, const mesh::PeerHeartbeat&) {}
  void handle(PeerNumber, const mesh::Answer&) {}
  void handle(PeerNumber from, const mesh::JobRequest& request);
  void handle(PeerNumber from, const mesh::RelayedHeartbeat& relayed);
  void handle(PeerNumber from, const mesh::ProbeRequest& request);
  void handle(PeerNumber from, const mesh::UnrecordedMachineSeen& seen);
  void handle(PeerNumber from, const mesh::ShardLoad& load);
  void handle(PeerNumber from, const mesh::MachineDirective& directive);
  void handle(PeerNumber from, const mesh::JobEnded& ended);
  void handle(PeerNumber from, const mesh::CapacityRequest& request);
  void handle(PeerNumber from, const mesh::CapacityOffer& offer);
  void handle(PeerNumber from, const mesh::TaskCapacityRequest& request);
  void handle(PeerNumber from, const mesh::TaskCapacityOffer& offer);

  Receivers receivers_;
};

}  // namespace cherryloft
