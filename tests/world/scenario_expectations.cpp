#include "world/scenario_expectations.h"

#include <algorithm>
#include <map>
#include <stdexcept>

namespace world {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kAnyTimeS = 1e9;

double secondsOf(Ms ms) { return static_cast<double>(ms) / kMsPerSecond; }

// Evaluates one expectation and records its failures.
struct Check {
  World& world;
  const Line& line;
  std::vector<std::string>& failures;

  void fail(const std::string& why) const { failures.push_back(line.text() + "- but " + why); }
  void compare(double actual, const std::string& comparison, double bound) const;
  // Whether it happened, no later than `byS`.
  static bool inTime(Ms at, double byS) { return at >= 0 && secondsOf(at) <= byS; }
};

void Check::compare(double actual, const std::string& comparison, double bound) const {
  bool met = (comparison == "==" && actual == bound) || (comparison == "<=" && actual <= bound) ||
             (comparison == ">=" && actual >= bound);
  if (!met) fail("actual value is " + std::to_string(actual));
}

// Calls `each` with the number of each job of the range at word 2 and the index of the word after it.
template <class Each>
void forEachJob(const Check& check, Each each) {
  auto range = check.line.jobRange(2);
  for (auto number = range.first; number <= range.last; ++number) each(number, range.next);
}

// expect done|aborted 1 [to 5] [by 100]
void checkStatus(const Check& check) {
  const auto& status = check.line.word(1);
  forEachJob(check, [&](unsigned number, std::size_t next) {
    bool bounded = check.line.size() > next && check.line.word(next) == "by";
    double byS = bounded ? check.line.number(next + 1) : kAnyTimeS;
    const auto& trace = check.world.observation(jobIdOf(number));
    bool cancelled = status == "aborted" && trace.cancelledAt >= 0;
    Ms end = cancelled ? trace.cancelledAt : trace.finalAt;
    if (trace.status == status && Check::inTime(end, byS)) return;
    check.fail("job " + std::to_string(number) + " is " +
               (trace.status.empty() ? "not seen in any answer" : trace.status) + ", at " +
               std::to_string(end) + " ms");
  });
}

// expect finished 1 [to 5] by 100: done or cancelled
void checkFinished(const Check& check) {
  forEachJob(check, [&](unsigned number, std::size_t next) {
    Ms end = check.world.observation(jobIdOf(number)).finalAt;
    if (!Check::inTime(end, check.line.number(next + 1)))
      check.fail("job " + std::to_string(number) + " finished at " + std::to_string(end) + " ms");
  });
}

// expect started 1 [to 5] by 30
void checkStarted(const Check& check) {
  forEachJob(check, [&](unsigned number, std::size_t next) {
    Ms started = check.world.checker.firstStartAt(jobIdOf(number));
    if (!Check::inTime(started, check.line.number(next + 1)))
      check.fail("job " + std::to_string(number) + " started at " + std::to_string(started) + " ms");
  });
}

// expect accepted JOB by 100
void checkAccepted(const Check& check) {
  Ms accepted = check.world.observation(check.line.jobId(2)).acceptedAt;
  if (!Check::inTime(accepted, check.line.number(4)))
    check.fail("accepted at " + std::to_string(accepted) + " ms");
}

// expect refused JOB STATUS
void checkRefused(const Check& check) {
  check.compare(check.world.observation(check.line.jobId(2)).refused, "==", check.line.number(3));
}

// expect up CONTROLLER STATUS
void checkUp(const Check& check) {
  check.compare(check.world.upStatus[check.line.count(2)], "==", check.line.number(3));
}

// expect on JOB <=|==|>= NUMBER: machines that have a task of the job now
void checkMachinesOfJob(const Check& check) {
  auto machines = check.world.checker.machinesRunning(check.line.jobId(2)).size();
  check.compare(static_cast<double>(machines), check.line.word(3), check.line.number(4));
}

// expect starts JOB <=|==|>= NUMBER
void checkStartsOfJob(const Check& check) {
  check.compare(check.world.checker.startsOf(check.line.jobId(2)), check.line.word(3), check.line.number(4));
}

// expect cancelled-between SECONDS SECONDS <=|==|>= NUMBER: cancellations confirmed in that interval
void checkCancelledBetween(const Check& check) {
  Ms from = check.line.duration(2), to = check.line.duration(3);
  auto confirmed = std::count_if(
      check.world.observations.begin(), check.world.observations.end(),
      [&](const auto& trace) { return trace.second.cancelledAt >= from && trace.second.cancelledAt < to; });
  check.compare(static_cast<double>(confirmed), check.line.word(4), check.line.number(5));
}

double sumOfCounts(const World& world, std::size_t cherryloft::ShardCounters::*count) {
  double sum = 0;
  for (const auto& controller : world.controllers)
    if (controller->controller()) sum += static_cast<double>(controller->controller()->counts().*count);
  return sum;
}

double perStart(const World& world, double sum) {
  return sum / std::max(sumOfCounts(world, &cherryloft::ShardCounters::starts), 1.0);
}

using Measure = double (*)(const World&);

// expect NAME <=|==|>= NUMBER
const std::map<std::string, Measure>& measures() {
  static const std::map<std::string, Measure> table{
      {"starts-after-cancel", [](const World& w) -> double { return w.checker.startsAfterCancel(); }},
      {"machines", [](const World& w) { return static_cast<double>(w.cloud.machineCount()); }},
      {"rented", [](const World& w) { return static_cast<double>(w.cloud.totalRented()); }},
      {"leases-expired", [](const World& w) -> double { return w.checker.leasesExpired(); }},
      {"reports-lost", [](const World& w) -> double { return w.checker.reportsLost(); }},
      {"max-cancel-latency", [](const World& w) { return secondsOf(w.maxCancelLatency); }},
      {"store-throttled", [](const World& w) { return static_cast<double>(w.stateService.throttled()); }},
      {"store-oversized", [](const World& w) { return static_cast<double>(w.stateService.oversized()); }},
      {"gang-starts", [](const World& w) -> double { return w.cloud.gangs().starts; }},
      {"gang-checkpoints", [](const World& w) -> double { return w.cloud.gangs().checkpoints; }},
      {"gang-lost-checkpoints", [](const World& w) -> double { return w.cloud.gangs().lostCheckpoints; }},
      {"gang-assembly-timeouts", [](const World& w) -> double { return w.cloud.gangs().assemblyTimeouts; }},
      {"gang-starts-after-done", [](const World& w) -> double { return w.cloud.gangs().startsAfterDone; }},
      {"peak-cloud-rps", [](const World& w) { return static_cast<double>(w.cloud.peakRequestRate()); }},
      {"writes", [](const World& w) { return static_cast<double>(w.stateService.writes()); }},
      {"epochs", [](const World& w) { return static_cast<double>(w.stateService.epochs()); }},
      {"largest-value", [](const World& w) { return static_cast<double>(w.stateService.largestValue()); }},
      {"responses-lost",
       [](const World& w) { return static_cast<double>(w.stateService.responsesDropped()); }},
      {"repeated-requests", [](const World& w) { return static_cast<double>(w.net.repeated()); }},
      {"replayed-reports", [](const World& w) { return static_cast<double>(w.replayedReports()); }},
      {"fenced-commands", [](const World& w) -> double { return w.checker.fencedCommands(); }},
      {"token-raises",
       [](const World& w) { return sumOfCounts(w, &cherryloft::ShardCounters::tokenRaises); }},
      {"attempts-reappeared",
       [](const World& w) { return sumOfCounts(w, &cherryloft::ShardCounters::attemptsReappeared); }},
      {"quarantined", [](const World& w) { return sumOfCounts(w, &cherryloft::ShardCounters::quarantined); }},
      {"examined-per-start",
       [](const World& w) {
         return perStart(w, sumOfCounts(w, &cherryloft::ShardCounters::machinesExamined));
       }},
      {"writes-per-start",
       [](const World& w) { return perStart(w, static_cast<double>(w.stateService.writes())); }}};
  return table;
}

// Expectations with a syntax of their own.
const std::map<std::string, void (*)(const Check&)>& checks() {
  static const std::map<std::string, void (*)(const Check&)> table{
      {"violated", [](const Check&) {}},  // checked in Scenario::checkRules
      {"done", checkStatus},
      {"aborted", checkStatus},
      {"finished", checkFinished},
      {"started", checkStarted},
      {"accepted", checkAccepted},
      {"refused", checkRefused},
      {"up", checkUp},
      {"on", checkMachinesOfJob},
      {"starts", checkStartsOfJob},
      {"cancelled-between", checkCancelledBetween}};
  return table;
}

}  // namespace

void checkExpectation(World& world, const Line& line, std::vector<std::string>& failures) {
  const auto& what = line.word(1);
  Check check{world, line, failures};
  if (auto it = measures().find(what); it != measures().end())
    return check.compare(it->second(world), line.word(2), line.number(3));
  auto it = checks().find(what);
  if (it == checks().end()) throw std::runtime_error("unknown expectation '" + what + "'");
  it->second(check);
}

std::string expectedViolation(const Line& line) { return line.word(1) == "violated" ? line.word(2) : ""; }

}  // namespace world
