// The user API: submissions, polls and cancellations. Any controller answers any user for any job
// (invariant 9): from its view once the job is over, else through the owner of the job's shard, else by a
// strong read of the job's record.
#pragma once

#include <functional>
#include <string>

#include "cluster/cluster_view.h"
#include "cluster/peers.h"
#include "controller/user_answer.h"
#include "kvstore/key_value_store.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {

// Holds no state of its own but what the requests under way carry along. All references must outlive it;
// every responder is called once.
class UserApi {
 public:
  struct Callbacks {
    // The scheduler of that shard if we own it, or null. Used at once, never kept.
    std::function<ShardScheduler*(ShardId)> scheduler;
    // Whether our lease is valid this very moment (invariant 6).
    std::function<bool()> holdsLease;
    // A record was read or written here.
    std::function<void(const wire::KeyChange&)> recordSeen;
    // The owner answered that a job is over.
    std::function<void(const JobId&, JobStatus)> jobEnded;
  };
  UserApi(const Settings& settings, Runtime& runtime, KeyValueStore& store, const ClusterView& view,
          Peers& peers, Callbacks callbacks);

  // body: the description of a job. A job that was accepted before is answered with its state.
  void submit(const std::string& body, UserResponder done);
  void poll(const JobId& id, UserResponder done);
  // Answered once the cancellation, or another end, is committed (invariant 8).
  void cancel(const JobId& id, UserResponder done);
  // A peer asks us as the owner of the job's shard; NotTheOwner says that we can't tell.
  void answerPeer(const mesh::JobRequest& request, UserResponder done);

 private:
  [[nodiscard]] const JobEntry* find(const JobId& id) const;
  void create(JobSpec spec, UserResponder done);
  void handleCreateResult(const wire::KeyChange& created, const JobId& id, const TransactionResult& result,
                          const UserResponder& done);
  void reject(const JobId& id, JobRejected rejected, UserResponder done);
  void strongRead(const JobId& id, UserResponder done);
  [[nodiscard]] UserAnswer answerOfStrongRead(const JobId& id, const GetResult& result);
  [[nodiscard]] UserAnswer relayedAnswer(const JobId& id, const mesh::Answer& answer);
  void cancelKnown(const JobId& id, ShardId shard, UserResponder done);
  void cancelHere(const JobId& id, ShardScheduler& scheduler, UserResponder done);
  void cancelAtOwner(const JobId& id, ShardId shard, UserResponder done);

  const Settings& settings_;
  Runtime& runtime_;
  KeyValueStore& store_;
  const ClusterView& view_;
  Peers& peers_;
  Callbacks callbacks_;
};

}  // namespace cherryloft
