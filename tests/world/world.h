// Simulates a whole deployment in virtual time: the controllers are real code, everything else is a test
// double.
#pragma once

#include <array>
#include <memory>

#include "controller/controller.h"
#include "world/cloud.h"
#include "world/state_service.h"

namespace world {

struct Deployment {
  std::uint64_t seed = 1;
  unsigned controllers = 3;
  std::vector<std::string> zones{"a", "b"};
  unsigned teams = 3;
  double guaranteed = 24, limit = 88;
  bool guest = false;  // adds a team "team-guest" with neither guarantee nor limit
  double heartbeatIntervalS = 3, workerLeaseS = 36, cancelDeadlineS = 61, gangStartTimeoutS = 45,
         gangPeerTimeoutS = 4;
  double rps = 200, writeRps = 80, valueKb = 16, txnOps = 24;
  // Limits that the state service announces; they take effect with the event "state-limits".
  std::optional<double> nextValueKb, nextTxnOps, nextWriteRps;
  // Controllers start as an older version that ignores announced limits, until they are upgraded.
  bool startsOnPreviousVersion = false;
  double drift = 0.0005;
  std::uint64_t tokenGenerations = cherryloft::kTokenGenerations;
  std::vector<CloudType> types;
  std::string settingsJson(unsigned node, bool announcesLimits = true) const;
};

// One controller process; a crash loses all its in-memory state.
class ControllerProcess {
 public:
  ControllerProcess(Clock& clock, Network& net, const Deployment& d, unsigned number,
                    std::function<void(std::uint32_t, const cherryloft::mesh::Frame&, unsigned)> mesh);
  ~ControllerProcess();
  void start();
  void crash(Ms backAfter);
  // Like crash(), but the process restarts as the current version.
  void upgrade(Ms backAfter);
  // The process stops while its clock runs on and its sockets fill; on resuming, sockets are read before
  // timers run, as in the event loop.
  void freeze(Ms until);
  void frame(const cherryloft::mesh::Frame& f);
  const cherryloft::Controller* controller() const { return controller_.get(); }

 private:
  class SimulatedRuntime;
  enum class Source : std::uint8_t { Sockets, Timers };
  void dispatch(Source s, std::function<void()> f);
  void resume();
  Clock& clock_;
  Network& net_;
  unsigned number_;
  double drift_;
  std::function<void(std::uint32_t, const cherryloft::mesh::Frame&, unsigned)> mesh_;
  cherryloft::Settings settings_, upgradedSettings_;
  std::unique_ptr<SimulatedRuntime> runtime_;
  std::unique_ptr<cherryloft::Controller> controller_;
  std::uint64_t incarnation_ = 0;
  Ms frozenUntil_ = 0;
  std::array<std::vector<std::function<void()>>, 2> deferred_;
};

class World {
 public:
  explicit World(const Deployment& d);
  void run(Ms until) { clock.run(until); }
  // The controller that a request goes to; if unset, the load balancer picks one.
  using Node = std::optional<unsigned>;

  struct JobObservation {
    std::string id;
    Ms acceptedAt = -1;
    int refused = 0;
    std::string status;
    Ms finalAt = -1;
    Ms cancelledAt = -1;
    bool hiddenFromChecker = false;  // answers about it are not passed to the checker
  };
  // A user who submits with retries, polls until the job ends and occasionally afterwards.
  void submit(const std::string& id, const JobBehavior& behavior);
  // The JSON body of its submission.
  static std::string submissionJson(const JobBehavior& behavior);
  void cancel(const std::string& id);
  // Cancels the job as soon as its submission has been accepted.
  void cancelOnceAccepted(const std::string& id);
  void queryOnce(const std::string& id);
  void resubmitInvalid(const std::string& id);
  // A submission that must be rejected: `kind` is too-large, unknown-team, unknown-zone, over-limit,
  // unspreadable, missing-field, invalid-field or not-json; for the two field kinds, `field` names the field,
  // or a random one is taken.
  void submitInvalid(const std::string& id, const std::string& kind, std::string field);
  // Repeats the full submission of a known job.
  void resubmit(const std::string& id, Node node = {});
  void poll(const std::string& id, bool again = true, Node node = {});
  // Until then one query about the job per interval, to each controller in turn, beginning with that one.
  void pollContinuously(const std::string& id, Ms interval, Ms until, unsigned node = 0);
  // The user action after the job's last task ends, at a random time within `within`.
  void onCompletion(const std::string& id, const std::string& what, Ms within) {
    completionActions_[id].push_back({what, within});
  }
  // Until then users poll intensively (intensive_polling.cpp): right after learning that a job is accepted,
  // done or cancelled, and right after its last task ended, they query all controllers repeatedly and
  // resubmit the job. That share of the accepted jobs is cancelled at once.
  void startIntensivePolling(double cancelledShare, Ms until) { intensivePolling_ = {cancelledShare, until}; }
  // Until then reports of the matching machines are recorded (report_replay.cpp). Whenever a controller
  // becomes leader, one old report of each machine is delivered to every controller.
  void recordReports(const std::string& machines, Ms until);
  std::size_t replayedReports() const { return replayedReports_; }
  // A job that the checker believes to be accepted although no controller has received it.
  void injectUnsentJob(const JobBehavior& behavior);
  void checkHealth(unsigned n);
  // Calls with the number of the current leader, or of the last known one while the state service is down.
  void withLeader(std::function<void(unsigned)> f);
  JobObservation& observation(const std::string& id) { return observations[id]; }

  Deployment deployment;
  Clock clock;
  Trace eventTrace;
  Network net;
  cherryloft::Settings settings;
  Checker checker;
  JobBehaviors behaviors;
  StateService stateService;
  Cloud cloud;
  std::vector<std::unique_ptr<ControllerProcess>> controllers;
  std::map<std::string, JobObservation> observations;
  std::string zoneOf(
      const std::string& endpoint) const;  // of a controller or machine; empty for anything else
  Ms maxCancelLatency = 0;                 // longest time until a cancellation was answered
  std::map<unsigned, int> upStatus;        // last health check status of each controller

 private:
  void request(HttpRequest r, Ms deadline, HttpCallback done, Node node = {});
  void trySubmit(const std::string& id, std::string body);
  void jobCompleted(const std::string& id);
  void tryCancel(const std::string& id);
  void runPeriodicChecks();
  void pollIntensively(const std::string& id);
  void pollOrResubmit(const std::string& id, unsigned node, bool resubmits);
  void onAccepted(const std::string& id);
  void replayReports();

  struct CompletionAction {
    std::string what;
    Ms within;
  };
  struct IntensivePolling {
    double cancelledShare = 0;  // share of the accepted jobs
    Ms until = -1;
  };
  struct RecordedReport {
    Ms sentAt = 0;
    HttpRequest request;
  };
  std::map<std::string, std::vector<CompletionAction>> completionActions_;
  IntensivePolling intensivePolling_;
  std::map<std::string, std::vector<RecordedReport>> recordedReports_;  // by machine, oldest first
  std::size_t replayedReports_ = 0;
  unsigned leader_ = 0;
  AnswerSource answerSource_;  // of the response that is being handled
};

}  // namespace world
