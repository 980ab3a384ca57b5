// Api: answers users. Any controller answers for any job (invariant 9).
#pragma once

#include "cluster/cluster_view.h"
#include "cluster/peers.h"
#include "kvstore/key_value_store.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {

class UserApi {
 public:
  struct Callbacks {
    std::function<ShardScheduler*(ShardId)> scheduler;   // ours for that shard, or null
    std::function<bool()> hasStore;                      // our lease is valid
    std::function<void(const wire::KeyChange&)> learnt;  // a record read or written here
    std::function<void(const JobId&, JobStatus)> ended;  // the owner's word that a job is over
  };
  UserApi(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store, const ClusterView& view,
          Peers& peers, Callbacks out);

  void submit(const std::string& body, Responder done);
  void poll(const JobId& id, Responder done);
  void cancel(const JobId& id, Responder done);
  // A sibling asks us as the owner of the job's shard; status 0 says we can't tell.
  void asked(const mesh::JobAsk& ask, std::function<void(mesh::Answer)> done);

 private:
  const JobEntry* known(const JobId& id) const;
  void accept(JobSpec spec, Responder done);
  void refuse(const JobId& id, int status, const std::string& why, Responder done);
  void strongRead(const JobId& id, Responder done);
  HttpResponse ended(const JobId& id, const JobEntry& job) const;
  HttpResponse relayed(const JobId& id, const mesh::Answer& a);
  void cancelKnown(const JobId& id, ShardId shard, Responder done);

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  KeyValueStore& store_;
  const ClusterView& view_;
  Peers& peers_;
  Callbacks callbacks_;
};

}  // namespace cherryloft
