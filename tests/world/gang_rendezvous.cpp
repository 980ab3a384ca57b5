#include "world/gang_rendezvous.h"

#include <algorithm>
#include <vector>

#include "world/cloud.h"

namespace world {
namespace {
constexpr Ms kCheckInterval = 200;
}  // namespace

void GangRendezvous::memberReady(Worker& worker, const JobBehavior& behavior, std::uint32_t index,
                                 std::uint64_t attempt) {
  const auto& job = behavior.spec.id.value;
  GangKey key{job, attempt};
  if (done_[job]) {
    ++counts_.startsAfterDone;
    return worker.endMember(job, index, attempt, "done");
  }
  auto& gang = gangs_[key];
  gang.behavior = &behavior;
  gang.members[index] = {&worker};
  clock_.after(assemblyTimeout_, [this, key, index, who = &worker] {
    auto it = gangs_.find(key);
    if (it == gangs_.end() || it->second.startedAt >= 0) return;
    auto member = it->second.members.find(index);
    if (member == it->second.members.end() || member->second.worker != who) return;
    ++counts_.assemblyTimeouts;
    who->endMember(key.first, index, key.second, "alone");
  });
  if (gang.startedAt < 0 && gang.members.size() == behavior.spec.tasks) start(key);
}

void GangRendezvous::start(const GangKey& key) {
  auto& gang = gangs_.at(key);
  gang.startedAt = clock_.now();
  gang.progressBefore = savedProgress_[key.first];
  ++counts_.starts;
  for (auto& [index, member] : gang.members) member.worker->memberStarted(key.first, index, key.second);
  clock_.after(kCheckInterval, [this, key] { checkProgress(key); });
}

Ms GangRendezvous::progress(const Gang& gang) const {
  auto until = gang.firstNotifiedAt >= 0 ? gang.firstNotifiedAt : clock_.now();
  return gang.progressBefore + until - gang.startedAt;
}

// A member on a machine that hangs counts as lost.
void GangRendezvous::checkProgress(const GangKey& key) {
  auto it = gangs_.find(key);
  if (it == gangs_.end() || it->second.ended) return;
  auto& gang = it->second;
  bool hangs = std::any_of(gang.members.begin(), gang.members.end(),
                           [](const auto& m) { return m.second.worker->isHung(); });
  if (hangs) return memberLost(key);
  if (gang.firstNotifiedAt < 0 && progress(gang) >= gang.behavior->runTime) return finish(key);
  clock_.after(kCheckInterval, [this, key] { checkProgress(key); });
}

void GangRendezvous::finish(const GangKey& key) {
  done_[key.first] = true;
  endMembers(key, "done");
}

// Progress is rounded down to a multiple of the checkpoint interval.
void GangRendezvous::keepLastCheckpoint(const GangKey& key) {
  auto& gang = gangs_.at(key);
  auto interval = static_cast<Ms>(gang.behavior->spec.checkpointIntervalSeconds * 1000);
  auto& saved = savedProgress_[key.first];
  if (interval > 0) saved = std::max(saved, progress(gang) / interval * interval);
}

void GangRendezvous::memberLost(const GangKey& key) {
  auto& gang = gangs_.at(key);
  gang.ended = true;
  keepLastCheckpoint(key);
  auto within = static_cast<Ms>(clock_.uniform(0, static_cast<double>(peerTimeout_)));
  clock_.after(within, [this, key] { endMembers(key, "peers"); });
}

void GangRendezvous::memberLeft(const std::string& job, std::uint32_t index, std::uint64_t attempt,
                                const Worker& worker) {
  auto it = gangs_.find({job, attempt});
  if (it == gangs_.end()) return;
  auto& gang = it->second;
  auto member = gang.members.find(index);
  if (member == gang.members.end() || member->second.worker != &worker) return;
  gang.members.erase(member);
  if (gang.startedAt < 0 || gang.ended) return;
  if (gang.firstNotifiedAt >= 0) ++counts_.lostCheckpoints;
  memberLost(it->first);
}

void GangRendezvous::memberNotified(const std::string& job, std::uint32_t index, std::uint64_t attempt) {
  GangKey key{job, attempt};
  auto it = gangs_.find(key);
  if (it == gangs_.end() || it->second.ended) return;
  auto& gang = it->second;
  if (auto member = gang.members.find(index); member != gang.members.end()) member->second.notified = true;
  if (gang.firstNotifiedAt >= 0) return;
  gang.firstNotifiedAt = clock_.now();
  auto saveTime = static_cast<Ms>(gang.behavior->spec.checkpointSeconds * 1000);
  clock_.after(std::max(peerTimeout_, saveTime), [this, key] { completeStop(key); });
}

// The save succeeds only if all members were notified in time.
void GangRendezvous::completeStop(const GangKey& key) {
  auto it = gangs_.find(key);
  if (it == gangs_.end() || it->second.ended) return;
  auto& gang = it->second;
  bool all =
      std::all_of(gang.members.begin(), gang.members.end(), [](const auto& m) { return m.second.notified; });
  if (!all) {
    ++counts_.lostCheckpoints;
    return memberLost(key);
  }
  ++counts_.checkpoints;
  savedProgress_[key.first] = progress(gang);
  endMembers(key, "halted");
}

void GangRendezvous::endMembers(const GangKey& key, const std::string& cause) {
  auto it = gangs_.find(key);
  if (it == gangs_.end()) return;
  it->second.ended = true;
  auto members = std::move(it->second.members);
  gangs_.erase(it);
  for (auto& [index, member] : members) member.worker->endMember(key.first, index, key.second, cause);
}

}  // namespace world
