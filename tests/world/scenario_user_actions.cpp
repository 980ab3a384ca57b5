// Events of a scenario that come from users.
#include "world/scenario_actions.h"
#include "world/scenario_setup.h"

namespace world {
namespace {

using Context = const ActionContext&;

// submit JOB options...
void submit(Context context) {
  auto nature = parseJob(context.line.jobId(3), context.line.optionsFrom(4));
  context.world.submit(nature.spec.id.value, nature);
}

// burst FIRST COUNT options...
void submitMany(Context context) {
  auto first = context.line.count(3);
  auto options = context.line.optionsFrom(5);
  for (unsigned i = 0; i < context.line.number(4); ++i) {
    auto nature = parseJob(jobIdOf(first + i), options);
    context.world.submit(nature.spec.id.value, nature);
  }
}

// submit-wrong JOB kind=KIND field=FIELD
void submitWrong(Context context) {
  auto options = context.line.optionsFrom(4);
  context.world.submitWrong(context.line.jobId(3), options.text("kind"), options.text("field"));
}

// ask-many FIRST COUNT
void askMany(Context context) {
  auto first = context.line.count(3);
  for (unsigned i = 0; i < context.line.number(4); ++i) context.world.askUnknown(jobIdOf(first + i));
}

// at-end FIRST COUNT withdraw|resubmit|poll WITHIN
void actAtEnd(Context context) {
  auto first = context.line.count(3);
  for (unsigned i = 0; i < context.line.number(4); ++i)
    context.world.atEnd(jobIdOf(first + i), context.line.word(5), context.line.duration(6));
}

}  // namespace

const ActionTable& userActions() {
  static const ActionTable table{
      {"submit", {submit}},
      {"burst", {submitMany}},
      {"submit-wrong", {submitWrong}},
      {"resubmit", {[](Context c) { c.world.resubmit(c.line.jobId(3)); }}},
      {"resubmit-broken", {[](Context c) { c.world.resubmitBroken(c.line.jobId(3)); }}},
      {"withdraw", {[](Context c) { c.world.withdraw(c.line.jobId(3)); }}},
      {"ask", {[](Context c) { c.world.askUnknown(c.line.jobId(3)); }}},
      {"ask-many", {askMany}},
      {"ask-up", {[](Context c) { c.world.askUp(c.line.count(3)); }}},
      {"at-end", {actAtEnd}}};
  return table;
}

}  // namespace world
