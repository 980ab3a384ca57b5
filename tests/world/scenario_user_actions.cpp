// User events.
#include "world/scenario_actions.h"
#include "world/scenario_setup.h"

namespace world {
namespace {

using Context = const ActionContext&;

// submit JOB options...
void submit(Context context) {
  auto behavior = parseJob(context.line.jobId(3), context.line.optionsFrom(4));
  context.world.submit(behavior.spec.id.value, behavior);
}

// submit-many FIRST COUNT options...
void submitMany(Context context) {
  auto first = context.line.count(3);
  auto options = context.line.optionsFrom(5);
  for (unsigned i = 0; i < context.line.number(4); ++i) {
    auto behavior = parseJob(jobIdOf(first + i), options);
    context.world.submit(behavior.spec.id.value, behavior);
  }
}

// submit-invalid JOB kind=KIND field=FIELD
void submitInvalid(Context context) {
  auto options = context.line.optionsFrom(4);
  context.world.submitInvalid(context.line.jobId(3), options.text("kind"), options.text("field"));
}

// query-many FIRST COUNT
void queryMany(Context context) {
  auto first = context.line.count(3);
  for (unsigned i = 0; i < context.line.number(4); ++i) context.world.queryOnce(jobIdOf(first + i));
}

// poll-continuously JOB EVERY FOR
void pollContinuously(Context context) {
  context.world.pollContinuously(context.line.jobId(3), context.line.duration(4), context.until(5));
}

// on-completion FIRST COUNT cancel|resubmit|poll WITHIN
void onCompletion(Context context) {
  auto first = context.line.count(3);
  for (unsigned i = 0; i < context.line.number(4); ++i)
    context.world.onCompletion(jobIdOf(first + i), context.line.word(5), context.line.duration(6));
}

// submit-stream FIRST COUNT PER_SECOND options... cancel=SHARE: submits at a constant rate and cancels that
// share of the jobs while they wait or run
void submitStream(Context context) {
  constexpr double kEarliestCancelMs = 50;
  constexpr double kLatestCancelMs = 1000;  // after the run time
  auto& world = context.world;
  const auto& line = context.line;
  auto options = line.optionsFrom(6);
  double cancelled = options.number("cancel", 0);
  for (unsigned i = 0; i < line.number(4); ++i) {
    auto behavior = parseJob(jobIdOf(line.count(3) + i), options);
    auto at = static_cast<Ms>(1000 * i / line.number(5));
    world.clock.after(at, [&world, behavior] { world.submit(behavior.spec.id.value, behavior); });
    if (!world.clock.chance(cancelled)) continue;
    auto latest = static_cast<double>(behavior.runTime) + kLatestCancelMs;
    auto later = static_cast<Ms>(world.clock.uniform(kEarliestCancelMs, latest));
    world.clock.after(at + later, [&world, id = behavior.spec.id.value] { world.cancelOnceAccepted(id); });
  }
}

// cancel-many FIRST COUNT EACH WITHIN: cancels every EACH-th job, each at a random time
void cancelMany(Context context) {
  auto& world = context.world;
  const auto& line = context.line;
  auto within = static_cast<double>(line.duration(6));
  for (unsigned i = 0; i < line.number(4); i += line.count(5)) {
    auto at = static_cast<Ms>(world.clock.uniform(0, within));
    world.clock.after(at, [&world, id = jobIdOf(line.count(3) + i)] { world.cancel(id); });
  }
}

}  // namespace

const ActionTable& userActions() {
  static const ActionTable table{
      {"submit", {submit}},
      {"submit-many", {submitMany}},
      {"submit-invalid", {submitInvalid}},
      {"resubmit", {[](Context c) { c.world.resubmit(c.line.jobId(3)); }}},
      {"resubmit-invalid", {[](Context c) { c.world.resubmitInvalid(c.line.jobId(3)); }}},
      {"cancel", {[](Context c) { c.world.cancel(c.line.jobId(3)); }}},
      {"query", {[](Context c) { c.world.queryOnce(c.line.jobId(3)); }}},
      {"query-many", {queryMany}},
      {"poll-continuously", {pollContinuously}},
      {"check-health", {[](Context c) { c.world.checkHealth(c.line.count(3)); }}},
      {"on-completion", {onCompletion}},
      {"submit-stream", {submitStream}},
      {"cancel-many", {cancelMany}},
      {"intensive-polling",
       {[](Context c) { c.world.startIntensivePolling(c.line.number(3), c.until(4)); }, 4}}};
  return table;
}

}  // namespace world
