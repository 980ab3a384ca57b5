// A job moves from one shard to another while the state service answers late and its user asks about it.
#include "../rig-2/rig.h"

using namespace rig;

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  Deployment d;
  for (int i = 0; i < 6; ++i) d.teams.push_back({"prestaciones-0" + std::to_string(i), 24, 88});
  d.trackMachines();
  d.up("nodo", "centro", 2);
  d.up("nodo", "cerro", 1);
  // While the spell lasts, each answer comes a few hundred milliseconds late: a transaction is carried out late,
  // reads and news are on their way for longer.
  Ms slowFrom = 1'000'000, slowUntil = 0;
  d.state.lateness = [&](unsigned, const HttpRequest& r) -> StateService::Lateness {
    if (!d.trouble || d.clock.now() < slowFrom || d.clock.now() > slowUntil) return {};
    if (r.target == "/txn") return {300, 0};
    if (r.target.rfind("/follow", 0) == 0) return {0, 400};
    if (r.target.rfind("/keys", 0) == 0) return {0, 350};
    return {0, 300};
  };
  d.start(argv[1], argv[2]);

  // Teams 0 and 3 belong to shard 0, 1 to shard 1, 2 to shard 2. Each shard gets one machine; shard 0's is full.
  JobDef full{"wk-000001", "prestaciones-03", "service", "prod", 4, 4, 4};
  JobDef one{"wk-000002", "prestaciones-01", "service", "prod", 1, 2, 4};
  JobDef two{"wk-000003", "prestaciones-02", "service", "prod", 1, 2, 4};
  JobDef moving{"wk-000010", "prestaciones-00", "sweep", "normal", 4, 2, 4, 45};
  d.clock.at(3000, [&] {
    d.submit(full, 0);
    d.submit(one, 1);
    d.submit(two, 2);
  });
  bool submitted = false, freed = false, movedOnce = false;
  std::function<void()> step = [&] {
    d.clock.after(250, step);
    bool settled = d.checker.running(full.id) == 4 && d.checker.running(one.id) == 1 && d.checker.running(two.id) == 1;
    if (!submitted && settled) {
      submitted = true;
      slowFrom = d.clock.now() + 15'000;
      slowUntil = slowFrom + 35'000;
      d.submit(moving, 1);
    }
    if (submitted && !freed && d.checker.running(moving.id) == 4) {
      freed = movedOnce = true;
      // Its place in shard 0 becomes free.
      d.clock.after(1500, [&] { d.cancel(full.id, 0); });
    }
  };
  step();
  // Its user asks at all nodes, again and again.
  unsigned asked = 0;
  std::function<void()> poll = [&] {
    d.clock.after(80, poll);
    if (submitted && d.clock.now() > slowFrom && !freed)
      d.ask(asked++ % 3, "GET", "/v1/jobs/" + moving.id, "", 2000, [](int, const Json&) {});
  };
  poll();
  return d.finish(60'000, "ran_twice", [&] { return movedOnce; });
}
