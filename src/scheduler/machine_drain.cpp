// What becomes of the scheduler's machines: the leader's wishes, and drained.
#include <algorithm>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {

void ShardScheduler::handleDirective(const mesh::MachineDirective& w) {
  Machine* h = state_.machine(MachineId{w.machine});
  if (!loaded_ || !owns() || !h || h->decommissioning) return;
  switch (w.kind) {
    case mesh::MachineDirective::Keep:
      h->draining = false;
      state_.reindex(*h);
      return requestRound(true);
    case mesh::MachineDirective::MoveAfterDrain:
      if (h->replicaCores > 0) return;
      h->decommissioning = true;
      h->moveTarget = static_cast<std::int32_t>(w.toShard);
      state_.reindex(*h);
      return;
    case mesh::MachineDirective::Drain:
      h->draining = true;
      state_.reindex(*h);
      return;
    default:
      if (!h->placements.empty()) return;
      // A faulty machine is idle all the time, and must not go from shard to shard before it is known for
      // one.
      if (w.kind == mesh::MachineDirective::Move && failures_.undecidedAbout(h->id, runtime_.now())) return;
      h->decommissioning = true;
      h->moveTarget = w.kind == mesh::MachineDirective::Move ? static_cast<std::int32_t>(w.toShard) : -1;
      state_.reindex(*h);
  }
}

// The machine's replicas, if all of them could move to machines that have their image and so be back at once.
std::optional<std::vector<TaskId>> ShardScheduler::movableReplicas(const Machine& h) const {
  std::map<std::uint32_t, Resources> room;               // less what moves there
  std::map<std::pair<const Job*, Zone>, unsigned> come;  // replicas that move into a zone
  std::vector<TaskId> move;
  for (const auto& [task, p] : h.placements) {
    const auto& spec = *p.job->spec;
    if (spec.kind != JobKind::Service) continue;
    unsigned looked = 0;
    Machine* to = nullptr;
    for (const auto& [no, x] : *p.job->holders) {
      if (x == &h || !x->open() || ++looked > settings_.tuning.sampleSize) continue;
      auto free = room.try_emplace(no, x->free()).first->second;
      // Within its zone it changes nothing for the zones' rules; elsewhere they must allow one more.
      bool zoneFits =
          x->zone() == h.zone() || constraints_.allowsZone(*p.job, x->zone(), come[{p.job, x->zone()}]);
      if (!spec.each.fitsIn(free) || !constraints_.allowsMachineKind(*p.job, *x) || !zoneFits) continue;
      to = x;
      break;
    }
    if (!to) return std::nullopt;
    room[to->no] -= spec.each;
    if (to->zone() != h.zone()) ++come[{p.job, to->zone()}];
    move.push_back(task);
  }
  return move;
}

// A machine that is to empty itself: arrays end by themselves, then replicas are moved.
void ShardScheduler::progressDrain(Machine& h) {
  if (!h.draining || h.decommissioning || h.placements.empty())
    return;  // once empty, the leader says where it goes
  for (const auto& [_, p] : h.placements)
    if (p.job->spec->kind != JobKind::Service || !p.wanted) return;
  auto move = movableReplicas(h);
  if (!move) {
    h.draining = false;
    state_.reindex(h);
    return;
  }
  log_->info("moving {} replicas off {}", move->size(), h.id.value);
  for (const auto& task : *move)
    if (auto it = h.placements.find(task); it != h.placements.end()) stop(h, task, it->second);
  sendCommands(h);
}

// Nothing of ours can still act on it.
bool ShardScheduler::mayLeave(const Machine& h) const {
  return h.moveTarget && h.placements.empty() && h.noCommandInDoubt() && !h.commandInFlight;
}

}  // namespace cherryloft
