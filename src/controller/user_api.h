// Api: answers users. Any controller answers for any job (invariant 9).
#pragma once

#include "cluster/cluster_view.h"
#include "cluster/peers.h"
#include "kvstore/key_value_store.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {

class Api {
 public:
  struct Outlet {
    std::function<Scheduler*(ShardId)> scheduler;        // ours for that shard, or null
    std::function<bool()> hasStore;                      // our hold is valid
    std::function<void(const wire::KeyChange&)> learnt;  // a record read or written here
    std::function<void(const JobId&, JobStatus)> ended;  // the owner's word that a job is over
  };
  Api(const Settings& settings, Io& io, Log log, StateStore& store, const Directory& dir, Peers& peers,
      Outlet out);

  void submit(const std::string& body, Responder done);
  void poll(const JobId& id, Responder done);
  void cancel(const JobId& id, Responder done);
  // A sibling asks us as the owner of the job's shard; status 0 says we can't tell.
  void asked(const mesh::JobAsk& ask, std::function<void(mesh::Answer)> done);

 private:
  const KnownJob* known(const JobId& id) const;
  void accept(JobSpec spec, Responder done);
  void refuse(const JobId& id, int status, const std::string& why, Responder done);
  void strongRead(const JobId& id, Responder done);
  HttpResponse ended(const JobId& id, const KnownJob& job) const;
  HttpResponse relayed(const JobId& id, const mesh::Answer& a);
  void cancelKnown(const JobId& id, ShardId shard, Responder done);

  const Settings& settings_;
  Io& io_;
  Log log_;
  StateStore& store_;
  const Directory& dir_;
  Peers& peers_;
  Outlet out_;
};

}  // namespace cherryloft
