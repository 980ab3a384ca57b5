// A machine restarts behind a slow link, and a repeat of a start command that it had carried out reaches its new worker.
#include "../rig-2/rig.h"

using namespace rig;

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  Deployment d;
  for (int i = 0; i < 6; ++i) d.teams.push_back({"prestaciones-0" + std::to_string(i), 24, 88});
  d.trackMachines();
  d.up("nodo", "centro", 3);
  d.up("nodo", "cerro", 3);
  d.start(argv[1], argv[2]);

  JobDef service{"wk-000001", "prestaciones-01", "service", "prod", 1, 2, 3.2};
  service.imageGb = 0.05;
  const std::string task = service.id + "/0";
  std::string first, second;
  bool repeated = false;
  d.clock.at(3000, [&] { d.submit(service, 0); });
  auto machineOf = [&]() -> std::string {
    const auto& machines = d.checker.on[task];
    return machines.size() == 1 ? *machines.begin() : "";
  };
  std::function<void()> step = [&] {
    d.clock.after(100, step);
    if (first.empty()) {
      first = machineOf();
      // The task fails there and is started on another machine.
      if (!first.empty()) d.clock.after(3000, [&] { d.workers[first]->failTask(task); });
      return;
    }
    if (!second.empty() || machineOf().empty() || machineOf() == first) return;
    if (d.workers[first]->knows(task)) return;  // not told to forget it yet
    second = machineOf();
    d.clock.after(3000, [&] {
      auto& worker = *d.workers[first];
      repeated = !worker.answeredStarts.empty() && machineOf() == second;
      if (!repeated || !d.trouble) return;
      d.clock.note("machine " + first + " restarts within 0.3 s");
      worker.restart(300);
      worker.reportDelay = 400;
      d.clock.after(370, [&, body = worker.answeredStarts.front()] {
        d.clock.note("a repeat of a command that was carried out and answered: " + body);
        d.client.call(cherryloft::parseAddress(worker.address()), {"POST", "/commands", body, false}, Duration{2000},
                      [](const HttpResult&) {});
      });
    });
  };
  step();
  return d.finish(30'000, "ran_twice", [&] { return repeated; });
}
