// The schedulers of the shards that this controller owns.
#pragma once

#include <map>
#include <memory>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {

// Owns the schedulers. A pointer it returns is valid until the next replace() or remove() of that shard, so
// use it immediately and do not store it.
class ShardSchedulers {
 public:
  template <class Message>
  using Handler = void (ShardScheduler::*)(const Message&);

  // Null if this controller does not own the shard.
  [[nodiscard]] ShardScheduler* find(ShardId shard) const {
    auto entry = schedulers_.find(shard);
    return entry == schedulers_.end() ? nullptr : entry->second.get();
  }

  // Adds the scheduler, replacing any previous one of the same shard.
  ShardScheduler& replace(ShardId shard, std::unique_ptr<ShardScheduler> scheduler) {
    auto& entry = schedulers_[shard];
    entry = std::move(scheduler);
    return *entry;
  }
  void remove(ShardId shard) { schedulers_.erase(shard); }

  // Calls visit(ShardScheduler&) for each, in shard order. visit must not add or remove schedulers.
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

  // Delivers a message to the scheduler of the shard; drops it if this controller does not own the shard.
  template <class Message>
  void deliver(ShardId shard, const Message& message, Handler<Message> handler) const {
    if (ShardScheduler* scheduler = find(shard)) (scheduler->*handler)(message);
  }
  // Delivers a message to the schedulers of all shards except the requester, as this controller may own
  // several.
  template <class Message>
  void deliverToOthers(ShardId requester, const Message& message, Handler<Message> handler) const {
    for (const auto& [shard, scheduler] : schedulers_)
      if (shard != requester) (scheduler.get()->*handler)(message);
  }

 private:
  std::map<ShardId, std::unique_ptr<ShardScheduler>> schedulers_;
};

}  // namespace cherryloft
