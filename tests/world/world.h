// A whole deployment in virtual time: controllers of this repository, everything else stand-ins.
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
  bool guest = false;  // a team "team-guest" without guarantee or limit
  double reportS = 3, leaseS = 36, cancelS = 61, gangWaitS = 45, gangPeerS = 4;
  double rps = 200, writeRps = 80, valueKb = 16, txnOps = 24;
  // Limits of the state service that are announced, and hold from some moment on.
  std::optional<double> nextValueKb, nextTxnOps, nextWriteRps;
  // Controllers begin as a former version that reads no announced limits, until they are upgraded.
  bool startsOnPreviousVersion = false;
  double drift = 0.0005;
  std::vector<CloudType> types;
  std::string settingsJson(unsigned node, bool announcesLimits = true) const;
};

// One controller process; crashes lose everything in it.
class ControllerProcess {
 public:
  ControllerProcess(Clock& clock, Net& net, const Deployment& d, unsigned number,
                    std::function<void(std::uint32_t, const cherryloft::mesh::Frame&, unsigned)> mesh);
  ~ControllerProcess();
  void start();
  void crash(Ms backAfter);
  // The same, and it comes back as the present version.
  void upgrade(Ms backAfter);
  // The process stands still while clocks run on and its sockets fill; then sockets are read before timers
  // run, as the loop does it.
  void freeze(Ms until);
  void frame(const cherryloft::mesh::Frame& f);
  const cherryloft::Controller* controller() const { return controller_.get(); }

 private:
  class SimulatedRuntime;
  enum class Source : std::uint8_t { Sockets, Timers };
  void dispatch(Source s, std::function<void()> f);
  void resume();
  Clock& clock_;
  Net& net_;
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
  // The controller that a request goes to; without one the load balancer chooses.
  using Node = std::optional<unsigned>;

  struct JobObservation {
    std::string id;
    Ms acceptedAt = -1;
    int refused = 0;
    std::string status;
    Ms finalAt = -1;
    Ms cancelledAt = -1;
    bool hiddenFromChecker = false;  // answers about it are kept from the checker
  };
  // A user who submits and retries, then polls until the end and now and then after it.
  void submit(const std::string& id, const JobBehavior& behavior);
  // The body a user would send for it.
  static std::string submissionJson(const JobBehavior& behavior);
  void cancel(const std::string& id);
  // The same once its user has heard that it is accepted.
  void cancelOnceAccepted(const std::string& id);
  void queryOnce(const std::string& id);
  void resubmitInvalid(const std::string& id);
  // A submission that must be refused: `kind` is nofit, noteam, nozone, overlimit, apart, nofield, badfield
  // or notjson; of a field, `field` or any one.
  void submitInvalid(const std::string& id, const std::string& kind, std::string field);
  // The whole submission of a known job once more.
  void resubmit(const std::string& id, Node node = {});
  void poll(const std::string& id, bool again = true, Node node = {});
  // What the user does at the very end of the job's last task, up to so long after it.
  void onCompletion(const std::string& id, const std::string& what, Ms within) {
    completionActions_[id].push_back({what, within});
  }
  // Until then users look closely (close_looks.cpp): right after they heard that a job is accepted, done or
  // cancelled, and right after its last task ended, they ask at all controllers again and again and repeat
  // the submission. That share of the accepted jobs is cancelled at once.
  void startIntensivePolling(double cancelledShare, Ms until) { intensivePolling_ = {cancelledShare, until}; }
  // Until then reports of the machines that match are kept (old_reports.cpp). Whenever a controller begins to
  // lead, one old report of each machine reaches every controller.
  void recordReports(const std::string& machines, Ms until);
  std::size_t replayedReports() const { return replayedReports_; }
  // A job that the checker takes for accepted though no controller has heard of it.
  void injectUnsentJob(const JobBehavior& behavior);
  void checkHealth(unsigned n);
  // With the number of the controller that leads or, while the state service is away, of the last one known.
  void withLeader(std::function<void(unsigned)> f);
  JobObservation& observation(const std::string& id) { return observations[id]; }

  Deployment deployment;
  Clock clock;
  Trace eventTrace;
  Net net;
  cherryloft::Settings settings;
  Checker checker;
  JobBehaviors behaviors;
  StateService stateService;
  Cloud cloud;
  std::vector<std::unique_ptr<ControllerProcess>> controllers;
  std::map<std::string, JobObservation> observations;
  std::string zoneOf(const std::string& party) const;  // of a controller or machine; none of all others
  Ms maxCancelLatency = 0;           // how long a cancellation waited for its answer at most
  std::map<unsigned, int> upStatus;  // the last answer of each controller to a health check

 private:
  void request(HttpRequest r, Ms deadline, HttpDone done, Node node = {});
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
    double cancelledShare = 0;  // the share of the accepted jobs
    Ms until = -1;
  };
  struct RecordedReport {
    Ms sentAt = 0;
    HttpRequest request;
  };
  std::map<std::string, std::vector<CompletionAction>> completionActions_;
  IntensivePolling intensivePolling_;
  std::map<std::string, std::vector<RecordedReport>> recordedReports_;  // by machine, in order
  std::size_t replayedReports_ = 0;
  unsigned leader_ = 0;
  AnswerSource answerSource_;  // of the answer that is being heard
};

}  // namespace world
