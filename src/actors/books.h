// A share's picture: its jobs, its machines and what may be where. No I/O and no clock of its own.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "actors/directory.h"
#include "net/server.h"
#include "wire/workers.h"

namespace cherryloft {

struct Host;

enum class TaskState : std::uint8_t { Waiting, Placed, Done };

struct Task {
  TaskState state = TaskState::Waiting;
  bool doneCommitted = false;
  Host* host = nullptr;  // while placed
};

struct Job {
  JobId id;
  std::shared_ptr<const JobSpec> spec;
  Stamp stamp;
  WallTime submitted;
  std::uint32_t chunk = 1;
  JobStatus status = JobStatus::Open;  // as committed
  bool abortAsked = false;
  std::vector<std::function<void(JobStatus)>> withdrawers;
  std::vector<Task> tasks;
  std::deque<std::uint32_t> waiting;
  std::uint32_t done = 0, placed = 0, running = 0;
  std::map<std::uint32_t, Stamp> chunks;  // run/ keys that exist
  std::set<HostId> failedOn;
  unsigned failures = 0;  // in a row
  Time notBefore{};
  Time anyStartUntil{};  // till then it does not wait for room on machines that have its image

  bool open() const { return status == JobStatus::Open && !abortAsked; }
  Resources unfinished() const { return spec->each * static_cast<double>(tasks.size() - done); }
};

// A task that may be on a machine (invariant 1: from its commit on; counted even before).
struct Placement {
  Job* job = nullptr;
  Attempt attempt;
  bool committed = false;
  bool wanted = true;     // false: it is to be stopped
  bool restored = false;  // read from the store: a former owner may have sent its start
  bool sent = false;      // we sent its start
  bool shown = false;     // a report of this tenure showed it
  wire::TaskPhase phase = wire::TaskPhase::Fetching;
  Serial checkInStart;  // the last check-in whose answer carried its start
  Time placedAt{};
  Time runningSince{};
  Time stopSent{};
};

// The images a machine is taken to cache: the most recently used ones.
class ImageCache {
 public:
  explicit ImageCache(double capacityGb = 0) : capacity_(capacityGb) {}
  bool has(const ImageId& image) const;
  void touch(const ImageId& image, double gb);
  void clear() { recent_.clear(); }

 private:
  double capacity_;
  std::list<std::pair<ImageId, double>> recent_;  // latest first
};

struct Host {
  HostId id;
  KnownHost known;
  Resources size, used;
  double fetchGbPerS = 0;
  std::map<TaskId, Placement> placements;
  ImageCache images;

  bool heard = false;  // a report with our token came (invariant 7)
  Tenure tenure, expiredTenure;
  Serial serial;
  Time lastHeard{};
  Time aliveUntil{};  // beyond this its worker has ended its tenure (invariant 2)
  Token base;         // the lowest token that is ours
  std::uint64_t raises = 0;
  Token seen;                      // highest token the worker reported
  std::optional<Token> unsettled;  // direct commands up to this token may still arrive (invariant 3)
  bool directBusy = false, directAgain = false;
  Time directNotBefore{};
  std::vector<wire::ReportedTask> reported;
  std::optional<Time> reclaimAt;

  bool emptying = false;  // takes no more work, and goes when it is empty unless room gets short
  bool leaving = false;   // takes no more work: to be given up
  bool recordBusy = false;
  std::optional<std::int32_t> giveTo;  // share, or -1 for the cloud
  std::set<JobId> failedJobs;
  Time idleSince{};

  Token token() const { return Token{base.value + raises}; }
  bool settled() const { return !unsettled || seen > *unsettled; }
  bool spot() const { return known.record.spot; }
  const Zone& zone() const { return known.record.zone; }
  Resources free() const { return size - used; }
  // Room that stopping tasks will leave.
  Resources leavingRoom() const;
};

class Books {
 public:
  explicit Books(const Settings& settings) : settings_(settings) {}

  Job& addJob(const JobId& id, const KnownJob& known);
  void removeJob(const JobId& id);
  Job* job(const JobId& id);
  std::map<JobId, Job>& jobs() { return jobs_; }
  const std::map<JobId, Job>& jobs() const { return jobs_; }

  Host& addHost(const HostId& id, const KnownHost& known, const MachineType* type, Time now);
  void removeHost(const HostId& id);
  Host* host(const HostId& id);
  std::map<HostId, Host>& hosts() { return hosts_; }
  const std::map<HostId, Host>& hosts() const { return hosts_; }

  Placement& place(Job& job, std::uint32_t index, Host& host, Attempt attempt, Time now);
  // The task is known gone; it waits again unless its job is over.
  void gone(Host& host, const TaskId& task, Time now);
  void taskDone(Host& host, const TaskId& task, Time now);
  void setPhase(Placement& p, wire::TaskPhase phase, Time now);

  Resources teamUse(const TeamId& team) const;
  // Whether one more task keeps its team within the limit.
  bool withinLimit(const Job& job) const;
  // Tasks of the job by zone, as the placement rules count them.
  std::map<Zone, unsigned> zonesOf(const Job& job) const;
  wire::RunRecord runRecord(const Job& job, std::uint32_t chunk) const;

 private:
  void release(Host& host, std::map<TaskId, Placement>::iterator it, Time now);

  const Settings& settings_;
  std::map<JobId, Job> jobs_;
  std::map<HostId, Host> hosts_;
  std::unordered_map<TeamId, Resources> use_;
};

}  // namespace cherryloft
