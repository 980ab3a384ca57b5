// Events of a scenario that plant a violation for the checker to find, or ask it something.
#include "world/scenario_actions.h"
#include "world/scenario_parties.h"
#include "world/scenario_setup.h"

namespace world {
namespace {

using Context = const ActionContext&;

constexpr unsigned kOtherTask = 99;  // one that the job does not have

// plant-start JOB MACHINE [other]
void plantStart(Context context) {
  auto* worker = context.world.cloud.worker(machineNamed(context.world, context.line.word(4)));
  bool other = context.line.size() > 5;
  if (worker) worker->plant(context.line.jobId(3), other ? kOtherTask : 0);
}

// plant-told JOB STATUS
void plantTold(Context context) {
  Said said{context.now(), context.now(), 0};
  context.world.checker.told(context.line.jobId(3), context.line.word(4), said);
}

// plant-stubborn MACHINE
void plantStubborn(Context context) {
  auto* worker = context.world.cloud.worker(machineNamed(context.world, context.line.word(3)));
  if (worker) worker->plantStubborn();
}

// plant-unsent JOB options...
void plantUnsent(Context context) {
  context.world.plantUnsent(parseJob(context.line.jobId(3), context.line.optionsFrom(4)));
}

// require-on JOB COUNT: so many of its tasks at least are on machines now
void requireOnMachines(Context context) {
  const auto& line = context.line;
  auto tasks = context.world.checker.tasksOn(line.jobId(3));
  if (tasks >= line.number(4)) return;
  context.complaints.push_back("job " + line.word(3) + " has " + std::to_string(tasks) +
                               " tasks on machines at " + line.word(1));
}

}  // namespace

const ActionTable& checkerActions() {
  static const ActionTable table{
      {"inject-silence", {[](Context c) { c.world.trace(c.line.jobId(3)).plantedSilence = true; }}},
      {"inject-start", {plantStart}},
      {"inject-status", {plantTold}},
      {"inject-ignored-kills", {plantStubborn}},
      {"inject-unsent-job", {plantUnsent}},
      {"inject-acceptance", {[](Context c) { c.world.checker.accepted(c.line.jobId(3)); }}},
      {"reset-reports-lost", {[](Context c) { c.world.checker.countReportsLost(); }}},
      {"require-tasks", {requireOnMachines}}};
  return table;
}

}  // namespace world
