// What messages from other controllers bring about here: one overload for each kind of message.
#pragma once

#include "autoscaler/autoscaler.h"
#include "cluster/cluster_view.h"
#include "cluster/peers.h"
#include "controller/machine_probes.h"
#include "controller/shard_schedulers.h"
#include "controller/user_api.h"
#include "controller/worker_endpoint.h"

namespace cherryloft {

// Stateless; all references must outlive it. Messages may come late, twice or never: no bound depends on
// them.
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

  // Requests are answered to the controller that they came from.
  void dispatch(PeerNumber from, const mesh::Payload& payload);

 private:
  // Heartbeats and answers end in Peers.
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
