// Plays one case: controllers as processes, everything else as stand-ins in this process.
//   lab CASE FOLDER RECORD RUN-COMMAND      (TROUBLE=0 in the environment: without the disruption)
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "cluster.h"

using namespace lab;

namespace {

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

struct Run {
  Env& env;
  Cluster& cluster;
  bool trouble;
  int result = kCouldNotRun;
  void end(int status, const std::string& why) {
    result = status;
    env.note(std::string("RESULT ") + (status == kHeld ? "held" : status == kBroken ? "broken" : "could not run") + ": " + why);
    env.loop.stop();
  }
};

// The deployment of the three merged calculators. Machines are up within two seconds here.
Deployment swanreach() {
  Deployment d;
  d.timing = {3, 45, 75, 45, 4};
  d.zones = {"kalgoorlie", "perth-east", "perth-west", "bunbury"};
  d.types = {{"wren", 8, 3, 1800, 16, 0.48, 0.13, 30}, {"galah", 16, 3, 1800, 64, 1.1, 0.31, 35},
             {"karri", 32, 2, 1800, 128, 2.18, 0.61, 20}};
  d.limits = {184, 184, 184, 184, 184, 184};
  d.rps = 150;
  d.writeRps = 50;
  d.valueKb = 4;
  d.txnOps = 12;
  d.listLagS = 8;
  return d;
}

Json service(const std::string& id, unsigned team, unsigned replicas, double cores, double ramGb) {
  auto spec = Cluster::spec(id, team, replicas, cores);
  spec["shape"] = "service";
  spec["rank"] = "prod";
  spec["jobclass"] = "quote-live";
  spec["ram_gb"] = ramGb;
  spec["expect_s"] = 0.0;
  return spec;
}

Worker* holderOf(Cluster& c, const std::string& job) {
  for (auto* worker : c.cloud.workers())
    if (worker->holds(job, 0)) return worker;
  return nullptr;
}

// A machine stops. On it ran a service that needs much memory for its CPUs and an array with large tasks.
void mixed(Run& run) {
  auto& c = run.cluster;
  auto& env = run.env;
  const std::string memory = "wk-000001", large = "wk-000002", later = "wk-000003";
  c.addJob(service(memory, 0, 1, 1, 12), 0);
  auto spec = Cluster::spec(large, 0, 1, 12);
  spec["jobclass"] = "amort-tables";
  spec["ram_gb"] = 12.0;
  spec["expect_s"] = 600.0;
  c.addJob(spec, 600000);
  c.addJob(service(later, 0, 1, 1, 1.7), 0);
  env.after(5000, [&c, memory] { c.submit(memory, -1, [&c, memory] { c.poll(memory, 5000); }); });
  env.after(11000, [&c, large] { c.submit(large, -1, [&c, large] { c.poll(large, 5000); }); });
  env.after(20000, [&run, &c, &env, memory, large] {
    auto* worker = holderOf(c, memory);
    if (!worker || !holderOf(c, large)) return run.end(kCouldNotRun, "the two jobs do not run");
    if (!run.trouble) return;
    env.note("machine " + worker->machine().id + " stops with all that is on it");
    c.cloud.kill(worker->machine().id);
  });
  env.after(25000, [&c, later] { c.submit(later, -1, [&c, later] { c.poll(later, 5000); }); });
  env.after(113000, [&run, &c, memory, large, later] {
    std::string waiting;
    for (const auto& id : {memory, large, later})
      if (!holderOf(c, id)) waiting += id + " ";
    if (waiting.empty()) return run.end(kHeld, "all three jobs run");
    run.end(kBroken, waiting + "accepted and not cancelled, do not run 93 s after a machine stopped, and the cloud has machines");
  });
}

// A spot machine is taken without notice, and the platform gives its address to a machine that comes up a second later.
void address(Run& run) {
  auto& c = run.cluster;
  auto& env = run.env;
  struct Plan {
    unsigned high = 0, low = 0;  // teams whose shards have the highest and the lowest epoch
    std::string taken, fresh;
  };
  auto plan = std::make_shared<Plan>();
  const std::string first = "wk-000001", second = "wk-000002", third = "wk-000003";
  env.after(5000, [&run, &c, plan, first, second, third] {
    std::map<std::uint64_t, unsigned> byEpoch;
    for (unsigned shard = 0; shard < 3; ++shard) {
      auto owner = c.state.value("share/" + std::to_string(shard));
      if (!owner.is_object()) return run.end(kCouldNotRun, "a shard has no owner yet");
      byEpoch[owner.value("ep", std::uint64_t{0})] = shard;
    }
    plan->low = byEpoch.begin()->second;
    plan->high = byEpoch.rbegin()->second;
    auto spec = Cluster::spec(first, plan->high, 1, 1);
    spec["lendable"] = true;
    spec["expect_s"] = 600.0;
    c.addJob(spec, 600000);
    c.addJob(service(second, plan->low, 1, 1, 1.7), 0);
    spec = Cluster::spec(third, plan->high, 1, 1);
    spec["lendable"] = true;
    spec["expect_s"] = 60.0;
    c.addJob(spec, 60000);
    c.submit(first, -1, [&c, first] { c.poll(first, 5000); });
  });
  // The second job makes the cloud boot a machine. The first one's machine is taken just after one of its reports.
  env.after(15000, [&run, &c, &env, plan, first, second, third] {
    auto* worker = holderOf(c, first);
    if (!worker || !worker->machine().spot) return run.end(kCouldNotRun, "the first job does not run on a spot machine");
    plan->taken = worker->machine().id;
    c.cloud.rented = [&run, &c, &env, plan, third](const std::string& id) {
      if (!plan->fresh.empty() || c.cloud.hosts.at(id).info.spot) {
        env.after(1500, [&c, id] { c.cloud.up(id); });
        return;
      }
      plan->fresh = id;
      auto boot = std::make_shared<std::function<void(Ms)>>();
      auto* taken = c.cloud.hosts.at(plan->taken).worker.get();
      *boot = [&run, &c, &env, plan, id, boot, taken, third](Ms before) {
        if (taken->lastAnswered() == before) {
          env.after(20, [boot, before] { (*boot)(before); });
          return;
        }
        if (run.trouble) {
          env.note("the cloud takes " + plan->taken + " without notice; " + id + " gets its address " + taken->address());
          c.cloud.addresses[id] = taken->listensOn();
          c.cloud.reclaim(plan->taken, 0);
          env.after(200, [taken] { taken->releaseAddress(); });
        }
        env.after(1000, [&c, id] { c.cloud.up(id); });
        env.after(1600, [&c, third] { c.submit(third, -1, [&c, third] { c.poll(third, 5000); }); });
      };
      (*boot)(taken->lastAnswered());
    };
    c.submit(second, -1, [&c, second] { c.poll(second, 5000); });
  });
  env.after(90000, [&run, &c, plan] {
    if (plan->fresh.empty()) return run.end(kCouldNotRun, "no machine was rented for the second job");
    if (c.checker.broken.empty()) return run.end(kHeld, "no rule was broken");
    run.end(kBroken, c.checker.broken.front());
  });
}

// A machine stops, and the cloud has none left. Eight of its jobs allow its type only; the ninth fits a machine of
// another shard that has room.
void queue(Run& run) {
  auto& c = run.cluster;
  auto& env = run.env;
  const std::string other = "wk-000001", flexible = "wk-000020";
  unsigned bound = 8;
  if (auto* number = std::getenv("BOUND_JOBS")) bound = static_cast<unsigned>(std::atoi(number));
  c.cloud.rentedAtMost = 2;
  auto spec = service(other, 1, 1, 2, 3);
  spec["flavours"] = {"galah"};
  c.addJob(spec, 0);
  c.addJob(service(flexible, 0, 1, 2, 3), 0);
  for (unsigned i = 0; i < bound; ++i) {
    auto id = "wk-00001" + std::to_string(i);
    spec = service(id, 0, 1, 2, 3);
    spec["flavours"] = {"karri"};
    c.addJob(spec, 0);
    env.after(4000 + 20 * i, [&c, id] { c.submit(id, -1, [&c, id] { c.poll(id, 5000); }); });
  }
  env.after(4500, [&c, other] { c.submit(other, -1, [&c, other] { c.poll(other, 5000); }); });
  env.after(8500, [&c, flexible] { c.submit(flexible, -1, [&c, flexible] { c.poll(flexible, 5000); }); });
  env.after(12000, [&run, &c, &env, other, flexible] {
    auto* worker = holderOf(c, flexible);
    if (!worker || !holderOf(c, other) || worker->machine().type != "karri")
      return run.end(kCouldNotRun, "the jobs do not run as planned");
    if (!run.trouble) return;
    env.note("machine " + worker->machine().id + " stops with all that is on it");
    c.cloud.kill(worker->machine().id);
  });
  env.after(117000, [&run, &c, other, flexible] {
    auto* room = holderOf(c, other);
    if (!room) return run.end(kCouldNotRun, "the other machine does not run its job");
    if (auto* worker = holderOf(c, flexible)) return run.end(kHeld, flexible + " runs on " + worker->machine().id);
    run.end(kBroken, flexible + " has waited for over 90 s, and " + room->machine().id + " has room for it, " +
                         std::to_string(static_cast<int>(room->machine().cores) - 2) + " CPUs");
  });
}

// Small tasks come several times as often, and one machine holds so many that its reports exceed 64 KiB.
void swarm(Run& run) {
  auto& c = run.cluster;
  auto& env = run.env;
  const std::string quote = "wk-000001";
  auto spec = service(quote, 0, 1, 1, 1.7);
  spec["flavours"] = {"karri"};
  c.addJob(spec, 0);
  env.after(5000, [&c, quote] { c.submit(quote, -1, [&c, quote] { c.poll(quote, 5000); }); });
  unsigned jobs = run.trouble ? 3 : 1;
  for (unsigned i = 0; i < jobs; ++i) {
    auto id = "wk-00001" + std::to_string(i);
    spec = Cluster::spec(id, 0, 500, 0.02);
    spec["ram_gb"] = 0.05;
    spec["jobclass"] = "lead-pings";
    spec["flavours"] = {"karri"};
    spec["expect_s"] = 55.0;
    c.addJob(spec, 55000);
    env.after(9000 + 1000 * i, [&c, id] { c.submit(id, -1, [&c, id] { c.poll(id, 5000); }); });
  }
  env.after(8900, [&run, &c, quote] {
    if (!holderOf(c, quote)) run.end(kCouldNotRun, "the service does not run");
  });
  env.after(113000, [&run, &c, &env] {
    std::size_t lost = 0;
    for (auto* worker : c.cloud.workers()) {
      env.note(worker->machine().id + ": largest report " + std::to_string(worker->largestReport) + " bytes, reports refused " +
               std::to_string(worker->refusedReports) + ", leases over with tasks " + std::to_string(worker->leasesLost));
      lost += worker->leasesLost;
    }
    unsigned open = 0;
    for (const auto& [id, job] : c.checker.jobs) open += !job.service && job.toldDone < 0;
    if (lost > 0 && open > 0)
      return run.end(kBroken, "a machine that reached every node lost its lease; its tasks were killed, " +
                                  std::to_string(open) + " accepted jobs of 55 s are not done");
    if (open > 0) return run.end(kCouldNotRun, std::to_string(open) + " jobs are not done, and no lease was lost");
    run.end(kHeld, "all jobs are done, no lease was lost");
  });
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return kCouldNotRun;
  std::string name = argv[1], folder = argv[2];
  FILE* record = std::fopen(argv[3], "w");
  if (!record) return kCouldNotRun;
  std::filesystem::create_directories(folder);
  std::vector<std::string> words;
  std::istringstream in(argv[4]);
  for (std::string word; in >> word;) words.push_back(word);
  auto wanted = std::getenv("TROUBLE");
  bool trouble = !(wanted && std::string(wanted) == "0");
  Env env(std::random_device{}(), record);
  auto d = swanreach();
  if (name == "swarm") d.atStart = 3, std::swap(d.types[0], d.types[2]);
  Cluster cluster(env, d, words, folder, "info");
  Run run{env, cluster, trouble};
  env.note("case " + name + (trouble ? "" : " without the disruption"));
  for (unsigned i = 0; i < d.size; ++i) cluster.startProcess(i);
  cluster.probeHealth();
  cluster.notePolls = true;
  if (name == "mixed")
    mixed(run);
  else if (name == "address")
    address(run);
  else if (name == "queue")
    queue(run);
  else if (name == "swarm")
    swarm(run);
  else
    return kCouldNotRun;
  env.after(118000, [&run] { run.end(kCouldNotRun, "no result in time"); });
  env.loop.run();
  for (const auto& rule : cluster.checker.broken)
    if (rule == "ended_by_itself") run.result = kCouldNotRun;
  std::cout << name << (trouble ? "" : " TROUBLE=0") << ": exit " << run.result << std::endl;
  return run.result;
}
