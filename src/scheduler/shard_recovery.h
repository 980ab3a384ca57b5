// ShardRecovery: restores a shard's state from what its former owners committed, when a controller takes over
// the shard (invariant 7).
//
// It must see everything that was committed before the takeover; later writes of a former owner fail on the
// shard's version check. So it first waits for the cluster view to catch up with jobs and machines, then
// reads the placement pages. Failed steps are retried indefinitely: a shard cannot be served without its
// state.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cluster/cluster_view.h"
#include "cluster/membership.h"
#include "kvstore/key_value_store.h"
#include "log/log.h"
#include "runtime/runtime.h"
#include "scheduler/shard_state.h"

namespace cherryloft {

class ShardRecovery {
 public:
  // All references must outlive the recovery.
  ShardRecovery(Runtime& runtime, Log log, KeyValueStore& store, const ClusterView& view,
                ShardTakeover takeover, ShardState& state);

  // Calls done with the placement pages once the cluster view is current and the pages are read.
  void start(std::function<void(const ListResult& pages)> done);
  // Time since start() was called.
  Duration sinceStart() const { return runtime_.now() - startedAt_; }

  // Applies the pages' done and placed tasks to the state, which must already hold the shard's open jobs and
  // machines. Adds cancelled jobs whose tasks may still be on machines. Logs and skips unreadable pages. The
  // caller updates the indices and the queues of waiting tasks afterwards.
  void restorePlacements(const ListResult& pages);

 private:
  // The latest attempt of a task found on the pages, and the page that holds it.
  struct LatestAttempt {
    wire::PlacementEntry entry;
    PageNumber page = kNoPage;
  };
  using LatestAttempts = std::map<TaskId, LatestAttempt>;

  void waitForView(const std::string& prefix, std::function<void()> next);
  void readPages();
  void restorePage(PageNumber number, const wire::PlacementPageRecord& page, LatestAttempts& attempts);
  Job* findOrAddCancelled(const JobId& id);
  void restoreDone(Job& job, std::uint32_t index, PageNumber page);
  void restorePlaced(const TaskId& task, const LatestAttempt& attempt);
  std::function<void()> whileAlive(std::function<void()> step) const;

  Runtime& runtime_;
  Log log_;
  KeyValueStore& store_;
  const ClusterView& view_;
  ShardTakeover takeover_;
  ShardState& state_;
  Time startedAt_{};
  std::function<void(const ListResult&)> done_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // responses may arrive after destruction
};

}  // namespace cherryloft
