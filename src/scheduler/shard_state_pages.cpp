// ShardState: composition of the placement pages that are written to the state service.
#include <algorithm>
#include <utility>

#include "scheduler/shard_state.h"

namespace cherryloft {

void ShardState::detachFromPage(Task& task) {
  if (task.page == kNoPage) return;
  auto& live = pages_.at(task.page).live;
  live -= std::min<std::size_t>(live, 1);
  task.page = kNoPage;
}

void ShardState::attachToPage(const TaskId& task, PageNumber page) {
  auto& state = jobs_.at(task.job).tasks[task.index];
  detachFromPage(state);
  state.page = page;
  pages_.at(page).members.push_back(task);
  ++pages_.at(page).live;
}

// Whether the page holds the task's latest state and that state is still needed: a placement until the task
// is known to be gone (invariant 1), a completion until the job is over.
bool ShardState::isCurrentOn(const TaskId& id, PageNumber page) {
  Job* owner = job(id.job);
  if (!owner || owner->tasks[id.index].page != page) return false;
  auto state = owner->tasks[id.index].state;
  return state == TaskState::Placed || (state == TaskState::Done && owner->status == JobStatus::Open);
}

// False if the task was completed, lost or written since it was queued.
bool ShardState::needsWriting(const TaskId& id) {
  Job* owner = job(id.job);
  if (!owner) return false;
  const auto& task = owner->tasks[id.index];
  if (task.writeInFlight) return false;
  // The completion of a whole job is stored in the job's own record.
  if (task.state == TaskState::Done)
    return owner->status == JobStatus::Open && !task.doneCommitted && !owner->finished();
  return task.state == TaskState::Placed && !task.machine->placements.at(id).committed;
}

bool ShardState::addToPage(PageUpdate& update, std::size_t& bytes, const TaskId& id) {
  const auto& task = job(id.job)->tasks[id.index];
  std::optional<wire::PlacementEntry> entry;
  if (task.state == TaskState::Placed)
    entry = {id.index, task.machine->placements.at(id).attempt, task.machine->id};
  std::size_t addedBytes = entry ? wire::maxBytesOf(*entry) : wire::maxBytesOfDoneTask(id.index);
  if (update.record.jobs.count(id.job) == 0) addedBytes += wire::maxBytesOfJob(id.job);
  if (bytes + addedBytes > settings_.maxValueBytes) return false;
  bytes += addedBytes;
  auto& placements = update.record.jobs[id.job];
  if (entry)
    placements.placed.push_back(std::move(*entry));
  else
    placements.done.push_back(id.index);
  update.members.push_back(id);
  return true;
}

std::optional<PageUpdate> ShardState::composePage(std::deque<TaskId>& unwritten,
                                                  std::set<PageNumber>& taken) {
  while (!unwritten.empty() && !needsWriting(unwritten.front())) unwritten.pop_front();
  if (unwritten.empty()) return std::nullopt;

  PageUpdate update;
  update.number = pages_.selectForWrite(taken);
  taken.insert(update.number);
  std::size_t bytes = wire::kEmptyPageBytes;
  auto& page = pages_.at(update.number);
  // The current entries of a page that was written under a larger size limit may no longer fit. Such a page
  // is left unchanged (invariant 20).
  for (const auto& id : page.members)
    if (isCurrentOn(id, update.number) && !addToPage(update, bytes, id)) return std::nullopt;
  auto keptMembers = update.members.size();
  addUnwritten(update, bytes, unwritten);
  page.members = update.members;
  page.live = update.members.size();
  for (auto& [_, placements] : update.record.jobs) std::sort(placements.done.begin(), placements.done.end());
  if (update.members.size() == keptMembers) return std::nullopt;  // no room for new entries
  return update;
}

void ShardState::addUnwritten(PageUpdate& update, std::size_t& bytes, std::deque<TaskId>& unwritten) {
  while (!unwritten.empty()) {
    auto id = unwritten.front();
    if (needsWriting(id)) {
      if (!addToPage(update, bytes, id)) return;
      auto& task = job(id.job)->tasks[id.index];
      detachFromPage(task);
      task.page = update.number;
      task.writeInFlight = true;
    }
    unwritten.pop_front();
  }
}

}  // namespace cherryloft
