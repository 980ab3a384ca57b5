// Fault events of machines.
#include <algorithm>

#include "world/scenario_actions.h"
#include "world/scenario_endpoints.h"

namespace world {
namespace {

using Context = const ActionContext&;

// The machine named by word 3; empty if there is none.
std::string machineArgument(Context context) { return machineNamed(context.world, context.line.word(3)); }

// VERB FIRST COUNT: a range of the machines that are up.
std::vector<std::string> machineArguments(Context context) {
  return machinesUp(context.world, static_cast<std::size_t>(context.line.number(3)),
                    static_cast<std::size_t>(context.line.number(4)));
}

// reboot MACHINE FOR
void reboot(Context context) {
  auto machine = machineArgument(context);
  if (!machine.empty()) context.world.cloud.reboot(machine, context.line.duration(4));
}

// lose-tasks MACHINE
void loseTasks(Context context) {
  if (auto* worker = context.world.cloud.worker(machineArgument(context))) worker->loseTasks();
}

// reclaim MACHINE NOTICE
void reclaim(Context context) {
  auto machine = machineArgument(context);
  if (!machine.empty()) context.world.cloud.reclaim(machine, context.line.duration(4));
}

// die MACHINE
void die(Context context) {
  auto machine = machineArgument(context);
  if (!machine.empty()) context.world.cloud.failMachine(machine);
}

// die-many FIRST COUNT
void dieMany(Context context) {
  for (const auto& machine : machineArguments(context)) context.world.cloud.failMachine(machine);
}

// die-scattered COUNT: spread evenly over the machines that are up
void dieScattered(Context context) {
  auto all = context.world.cloud.allUp();
  auto count = std::min(all.size(), static_cast<std::size_t>(context.line.number(3)));
  for (std::size_t i = 0; i < count; ++i) context.world.cloud.failMachine(all[i * all.size() / count]);
}

// hang MACHINE FOR
void hang(Context context) {
  if (auto* worker = context.world.cloud.worker(machineArgument(context)))
    worker->hangUntil(context.until(4));
}

// hang-many FIRST COUNT FOR
void hangMany(Context context) {
  for (const auto& machine : machineArguments(context))
    context.world.cloud.worker(machine)->hangUntil(context.until(5));
}

// faulty MACHINE: from then on every task on it fails
void failAllTasks(Context context) {
  if (auto* worker = context.world.cloud.worker(machineArgument(context))) worker->failAllTasks();
}

// fail-tasks JOB: every task of the job that runs now fails
void failTasksOfJob(Context context) { context.world.cloud.failTasksOf(context.line.jobId(3)); }

}  // namespace

const ActionTable& machineActions() {
  static const ActionTable table{
      {"reboot", {reboot, 4}},     {"lose-tasks", {loseTasks}},       {"reclaim", {reclaim}},
      {"faulty", {failAllTasks}},  {"fail-tasks", {failTasksOfJob}},  {"die", {die}},
      {"die-many", {dieMany}},     {"die-scattered", {dieScattered}}, {"hang", {hang, 4}},
      {"hang-many", {hangMany, 5}}};
  return table;
}

}  // namespace world
