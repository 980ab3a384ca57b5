// The user API: submissions, polls and cancellations. Every controller answers requests for every job
// (invariant 9): from its view if the job has ended, else through the owner of the job's shard, else by a
// strong read of the job's record.
#pragma once

#include <functional>
#include <string>

#include "cluster/cluster_view.h"
#include "cluster/peers.h"
#include "controller/user_response.h"
#include "kvstore/key_value_store.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {

// Stateless apart from the requests in progress. All references must outlive it; every responder is called
// once.
class UserApi {
 public:
  struct Callbacks {
    // The scheduler of that shard, or null if we don't own it. The pointer is used immediately and not
    // stored.
    std::function<ShardScheduler*(ShardId)> scheduler;
    // Whether our lease is valid at this moment (invariant 6).
    std::function<bool()> holdsLease;
    // Called with each record that was read here.
    std::function<void(const wire::KeyChange&)> recordObserved;
    // Called when the owner reported that a job has ended.
    std::function<void(const JobId&, JobStatus)> jobEnded;
  };
  UserApi(const Settings& settings, Runtime& runtime, KeyValueStore& store, const ClusterView& view,
          Peers& peers, Callbacks callbacks);

  // body: the description of a job. For a job that was accepted earlier the response is its state.
  void submit(const std::string& body, UserResponder done);
  void poll(const JobId& id, UserResponder done);
  // Responds once the cancellation, or another end of the job, is committed (invariant 8).
  void cancel(const JobId& id, UserResponder done);
  // Handles the request of a peer that takes us for the owner of the job's shard; NotOwner if we can't
  // answer.
  void handlePeerRequest(const mesh::JobRequest& request, UserResponder done);

 private:
  [[nodiscard]] const JobEntry* findJob(const JobId& id) const;
  void create(JobSpec spec, UserResponder done);
  void handleCreateResult(const JobId& id, const TransactionResult& result, const UserResponder& done);
  void reject(const JobId& id, JobRejected rejected, UserResponder done);
  void strongRead(const JobId& id, UserResponder done);
  [[nodiscard]] UserResponse strongReadResponse(const JobId& id, const GetResult& result);
  [[nodiscard]] UserResponse applyOwnerAnswer(const JobId& id, const mesh::Answer& answer);
  void cancelKnown(const JobId& id, ShardId shard, UserResponder done);
  void cancelLocally(const JobId& id, ShardScheduler& scheduler, UserResponder done);
  void cancelAtOwner(const JobId& id, ShardId shard, UserResponder done);

  const Settings& settings_;
  Runtime& runtime_;
  KeyValueStore& store_;
  const ClusterView& view_;
  Peers& peers_;
  Callbacks callbacks_;
};

}  // namespace cherryloft
