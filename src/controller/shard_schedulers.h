// The schedulers of the shards that this controller owns.
#pragma once

#include <map>
#include <memory>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {

// Owns them. Pointers that it lends are good until the next replace() or remove() of that shard, so they are
// used at once and never kept.
class ShardSchedulers {
 public:
  template <class Message>
  using Handler = void (ShardScheduler::*)(const Message&);

  // Null if the shard is not ours.
  [[nodiscard]] ShardScheduler* find(ShardId shard) const {
    auto entry = schedulers_.find(shard);
    return entry == schedulers_.end() ? nullptr : entry->second.get();
  }

  // Takes the scheduler in, in place of a former one of the same shard.
  ShardScheduler& replace(ShardId shard, std::unique_ptr<ShardScheduler> scheduler) {
    auto& entry = schedulers_[shard];
    entry = std::move(scheduler);
    return *entry;
  }
  void remove(ShardId shard) { schedulers_.erase(shard); }

  // Calls visit(ShardScheduler&) for each, in order of shards. visit must neither add nor remove one.
  template <class Visit>
  void forEach(Visit visit) const {
    for (const auto& [_, scheduler] : schedulers_) visit(*scheduler);
  }

  void jobChanged(const JobId& id) const {
    forEach([&id](ShardScheduler& scheduler) { scheduler.jobChanged(id); });
  }
  void machineChanged(const MachineId& id) const {
    forEach([&id](ShardScheduler& scheduler) { scheduler.machineChanged(id); });
  }

  // Hands a message to the scheduler of the shard; drops it if the shard is not ours.
  template <class Message>
  void deliver(ShardId shard, const Message& message, Handler<Message> handler) const {
    if (ShardScheduler* scheduler = find(shard)) (scheduler->*handler)(message);
  }
  // To the schedulers of all shards but the one that asks: another shard's owner may be this controller.
  template <class Message>
  void deliverToOthers(ShardId asking, const Message& message, Handler<Message> handler) const {
    for (const auto& [shard, scheduler] : schedulers_)
      if (shard != asking) (scheduler.get()->*handler)(message);
  }

 private:
  std::map<ShardId, std::unique_ptr<ShardScheduler>> schedulers_;
};

}  // namespace cherryloft
