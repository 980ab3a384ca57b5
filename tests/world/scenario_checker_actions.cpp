// Events that inject a violation for the checker to detect, or assert on its state.
#include "world/scenario_actions.h"
#include "world/scenario_endpoints.h"
#include "world/scenario_setup.h"

namespace world {
namespace {

using Context = const ActionContext&;

constexpr unsigned kNonexistentTask = 99;  // an index beyond the tasks of the job

// inject-direct-start JOB MACHINE: of its task 0
void injectDirectStart(Context context) {
  auto* worker = context.world.cloud.worker(context.line.word(4));
  if (worker) worker->injectDirectStart(context.line.jobId(3), 0);
}

// inject-start JOB MACHINE [other]
void injectStart(Context context) {
  auto* worker = context.world.cloud.worker(machineNamed(context.world, context.line.word(4)));
  bool other = context.line.size() > 5;
  if (worker) worker->injectTask(context.line.jobId(3), other ? kNonexistentTask : 0);
}

// inject-status JOB STATUS
void injectStatus(Context context) {
  AnswerSource source{context.now(), context.now(), 0};
  context.world.checker.statusReported(context.line.jobId(3), context.line.word(4), source);
}

// inject-ignored-kills MACHINE
void injectIgnoredKills(Context context) {
  auto* worker = context.world.cloud.worker(machineNamed(context.world, context.line.word(3)));
  if (worker) worker->ignoreKills();
}

// inject-unsent-job JOB options...
void injectUnsentJob(Context context) {
  context.world.injectUnsentJob(parseJob(context.line.jobId(3), context.line.optionsFrom(4)));
}

// require-tasks JOB COUNT: at least so many of its tasks are on machines now
void requireTasks(Context context) {
  const auto& line = context.line;
  auto tasks = context.world.checker.runningTasks(line.jobId(3));
  if (tasks >= line.number(4)) return;
  context.failures.push_back("job " + line.word(3) + " has " + std::to_string(tasks) +
                             " tasks on machines at " + line.word(1));
}

}  // namespace

const ActionTable& checkerActions() {
  static const ActionTable table{
      {"inject-silence", {[](Context c) { c.world.observation(c.line.jobId(3)).hiddenFromChecker = true; }}},
      {"inject-start", {injectStart}},
      {"inject-direct-start", {injectDirectStart}},
      {"inject-status", {injectStatus}},
      {"inject-ignored-kills", {injectIgnoredKills}},
      {"inject-unsent-job", {injectUnsentJob}},
      {"inject-acceptance", {[](Context c) { c.world.checker.accepted(c.line.jobId(3)); }}},
      {"reset-reports-lost", {[](Context c) { c.world.checker.resetReportsLost(); }}},
      {"require-tasks", {requireTasks}}};
  return table;
}

}  // namespace world
