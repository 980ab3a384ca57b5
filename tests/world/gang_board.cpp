#include "world/gang_board.h"

#include <algorithm>
#include <vector>

#include "world/cloud.h"

namespace world {
namespace {
constexpr Ms kReviewEvery = 200;
}  // namespace

void GangBoard::gather(Worker& worker, const JobBehavior& nature, std::uint32_t index,
                       std::uint64_t attempt) {
  const auto& job = nature.spec.id.value;
  Name name{job, attempt};
  if (done_[job]) {
    ++counts_.startsDone;
    return worker.endMember(job, index, attempt, "done");
  }
  auto& gang = gangs_[name];
  gang.nature = &nature;
  gang.members[index] = {&worker};
  clock_.after(wait_, [this, name, index, who = &worker] {
    auto it = gangs_.find(name);
    if (it == gangs_.end() || it->second.startedAt >= 0) return;
    auto member = it->second.members.find(index);
    if (member == it->second.members.end() || member->second.worker != who) return;
    ++counts_.gaveUp;
    who->endMember(name.first, index, name.second, "alone");
  });
  if (gang.startedAt < 0 && gang.members.size() == nature.spec.tasks) start(name);
}

void GangBoard::start(const Name& name) {
  auto& gang = gangs_.at(name);
  gang.startedAt = clock_.now();
  gang.progressBefore = kept_[name.first];
  ++counts_.starts;
  for (auto& [index, member] : gang.members) member.worker->memberRuns(name.first, index, name.second);
  clock_.after(kReviewEvery, [this, name] { review(name); });
}

Ms GangBoard::progress(const Gang& gang) const {
  auto until = gang.firstToldAt >= 0 ? gang.firstToldAt : clock_.now();
  return gang.progressBefore + until - gang.startedAt;
}

// A machine that hangs counts as a lost member.
void GangBoard::review(const Name& name) {
  auto it = gangs_.find(name);
  if (it == gangs_.end() || it->second.over) return;
  auto& gang = it->second;
  bool hangs = std::any_of(gang.members.begin(), gang.members.end(),
                           [](const auto& m) { return m.second.worker->hangs(); });
  if (hangs) return taskLost(name);
  if (gang.firstToldAt < 0 && progress(gang) >= gang.nature->run) return finish(name);
  clock_.after(kReviewEvery, [this, name] { review(name); });
}

void GangBoard::finish(const Name& name) {
  done_[name.first] = true;
  endAll(name, "done");
}

// Progress falls back to a multiple of the checkpoint interval.
void GangBoard::fallBack(const Name& name) {
  auto& gang = gangs_.at(name);
  auto every = static_cast<Ms>(gang.nature->spec.checkpointIntervalSeconds * 1000);
  auto& kept = kept_[name.first];
  if (every > 0) kept = std::max(kept, progress(gang) / every * every);
}

void GangBoard::taskLost(const Name& name) {
  auto& gang = gangs_.at(name);
  gang.over = true;
  fallBack(name);
  auto within = static_cast<Ms>(clock_.uniform(0, static_cast<double>(peer_)));
  clock_.after(within, [this, name] { endAll(name, "peers"); });
}

void GangBoard::left(const std::string& job, std::uint32_t index, std::uint64_t attempt,
                     const Worker& worker) {
  auto it = gangs_.find({job, attempt});
  if (it == gangs_.end()) return;
  auto& gang = it->second;
  auto member = gang.members.find(index);
  if (member == gang.members.end() || member->second.worker != &worker) return;
  gang.members.erase(member);
  if (gang.startedAt < 0 || gang.over) return;
  if (gang.firstToldAt >= 0) ++counts_.lostSaves;
  taskLost(it->first);
}

void GangBoard::told(const std::string& job, std::uint32_t index, std::uint64_t attempt) {
  Name name{job, attempt};
  auto it = gangs_.find(name);
  if (it == gangs_.end() || it->second.over) return;
  auto& gang = it->second;
  if (auto member = gang.members.find(index); member != gang.members.end()) member->second.told = true;
  if (gang.firstToldAt >= 0) return;
  gang.firstToldAt = clock_.now();
  auto saveMs = static_cast<Ms>(gang.nature->spec.checkpointSeconds * 1000);
  clock_.after(std::max(peer_, saveMs), [this, name] { settleStop(name); });
}

// All were told in time, or the save fails.
void GangBoard::settleStop(const Name& name) {
  auto it = gangs_.find(name);
  if (it == gangs_.end() || it->second.over) return;
  auto& gang = it->second;
  bool all =
      std::all_of(gang.members.begin(), gang.members.end(), [](const auto& m) { return m.second.told; });
  if (!all) {
    ++counts_.lostSaves;
    return taskLost(name);
  }
  ++counts_.saves;
  kept_[name.first] = progress(gang);
  endAll(name, "halted");
}

void GangBoard::endAll(const Name& name, const std::string& cause) {
  auto it = gangs_.find(name);
  if (it == gangs_.end()) return;
  it->second.over = true;
  auto members = std::move(it->second.members);
  gangs_.erase(it);
  for (auto& [index, member] : members) member.worker->endMember(name.first, index, name.second, cause);
}

}  // namespace world
