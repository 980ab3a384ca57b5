// ShardRecovery: reads what a shard's former owners committed, when a controller takes the shard over
// (invariant 7).
//
// All that was committed before the takeover must be seen; what a former owner sends later fails on the
// shard's version. So first the cluster view catches up with jobs and machines, then the pages of placements
// are read. Steps that fail are repeated for ever: a shard without its state is of no use.
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

  // Calls done with the pages once they are read and the cluster view shows all that was committed.
  void start(std::function<void(const ListResult& pages)> done);
  // How long ago that was.
  Duration sinceStart() const { return runtime_.now() - startedAt_; }

  // Enters into the state what the pages tell of done and placed tasks. The shard's open jobs and machines
  // must be there already; cancelled jobs of which tasks may still be on machines are added. Unreadable pages
  // are logged and left alone. Indices and queues of waiting tasks are the caller's to bring up to date.
  void restorePlacements(const ListResult& pages);

 private:
  // The latest attempt of a task that the pages tell, and the page that does.
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
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // answers may come after the recovery's end
};

}  // namespace cherryloft
