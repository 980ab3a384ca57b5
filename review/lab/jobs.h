// What users submitted, and the rules of the protocol page, checked on what users, workers and the cloud see.
#pragma once

#include "base.h"

namespace lab {

struct JobInfo {
  Json spec;
  std::string id, team;
  unsigned tasks = 1;
  double cores = 1, ramGb = 1;
  Ms runTime = 5000;
  bool service = false, gang = false, fails = false;
  // What its user was told.
  bool accepted = false;
  Ms askedToCancel = -1, toldCancelled = -1, toldDone = -1, firstAttempt = -1, lastAnswered = -1;
  std::set<unsigned> completed;  // tasks that ended with done
  bool gangDone = false;
  bool complete() const { return completed.size() == tasks || (gang && !completed.empty()); }
};

class Checker {
 public:
  Checker(Env& env, double cancelS) : env_(env), cancelMs_(static_cast<Ms>(cancelS * 1000)) { watchCancelled(); }

  std::map<std::string, JobInfo> jobs;
  std::map<std::string, double> limits;  // cores of each team
  std::vector<std::string> broken;

  void fail(const std::string& rule, const std::string& text) {
    broken.push_back(rule);
    env_.note("BROKEN " + rule + ": " + text);
  }
  void started(const std::string& machine, const std::string& type, const std::string& zone, bool spot,
               const std::string& job, unsigned index, std::uint64_t attempt) {
    auto& info = jobs.at(job);
    auto task = job + "/" + std::to_string(index);
    env_.note("start " + task + " try " + std::to_string(attempt) + " on " + machine + " zone " + zone);
    ++starts;
    auto& places = where_[task];
    if (!places.empty() && (places.size() > 1 || *places.begin() != machine))
      fail("ran_twice", task + " starts on " + machine + " while it is on " + *places.begin());
    if (info.toldCancelled >= 0 && env_.now() > info.toldCancelled + cancelMs_)
      fail("ran_cancelled", task + " starts after its job was cancelled");
    const auto& spec = info.spec;
    bool typeAllowed = spec["flavours"].is_null() ||
                       std::count(spec["flavours"].begin(), spec["flavours"].end(), Json(type)) > 0;
    bool zoneAllowed = spec["site"].is_null() || spec["site"] == Json(zone);
    if (!typeAllowed || !zoneAllowed || (spot && !spec["lendable"].get<bool>()))
      fail("wrong_place", task + " starts on " + machine + " of type " + type + " in " + zone);
    unsigned inZone = 0;
    for (const auto& [other, place] : zoneOf_) {
      if (!other.starts_with(job + "/") || other == task) continue;
      if (spec["one_zone"].get<bool>() && place != zone) fail("wrong_place", task + " starts in another zone than " + other);
      inZone += place == zone;
    }
    if (spec["spread"].get<bool>() && inZone + 1 > (info.tasks + 1) / 2)
      fail("wrong_place", task + " is one too many in " + zone);
    places.insert(machine);
    zoneOf_[task] = zone;
    used_[info.team] += info.cores;
    if (limits.count(info.team) && used_[info.team] > limits[info.team] + 1e-6)
      fail("quota", info.team + " uses " + std::to_string(used_[info.team]));
  }
  void gone(const std::string& machine, const std::string& job, unsigned index, const std::string& why) {
    auto task = job + "/" + std::to_string(index);
    auto& places = where_[task];
    if (places.erase(machine) == 0) return;
    if (places.empty()) zoneOf_.erase(task);
    auto& info = jobs.at(job);
    used_[info.team] -= info.cores;
    if (why == "done") info.completed.insert(index);
    env_.note("end " + task + " on " + machine + ": " + why);
  }
  // An answer to a poll, a submission or a cancellation.
  void told(const std::string& job, int status, const Json& body, const std::string& what) {
    auto& info = jobs.at(job);
    auto state = body.is_object() ? body.value("status", std::string()) : std::string();
    if (status == 404 && info.accepted) fail("forgotten", job + " gets 404 to a " + what);
    if ((status == 400 || status == 422) && info.accepted) fail("forgotten", job + " gets " + std::to_string(status));
    if (status != 200 && status != 201) return;
    info.lastAnswered = env_.now();
    if (state == "done" && !info.complete())
      fail("not_done", job + " is called done with " + std::to_string(info.completed.size()) + " tasks complete");
    if (state == "aborted" && info.askedToCancel < 0) fail("went_back", job + " is called cancelled, nobody asked");
    if (info.toldDone >= 0 && state != "done") fail("went_back", job + " was done and is called " + state);
    if (info.toldCancelled >= 0 && state != "aborted") fail("went_back", job + " was cancelled and is called " + state);
    if (state == "done" && info.toldDone < 0) info.toldDone = env_.now();
    if (state == "aborted" && info.toldCancelled < 0) info.toldCancelled = env_.now();
  }
  std::size_t starts = 0;
  std::size_t placesOf(const std::string& task) { return where_[task].size(); }

 private:
  void watchCancelled() {
    env_.after(500, [this] { watchCancelled(); });
    for (const auto& [task, places] : where_) {
      if (places.empty()) continue;
      auto job = task.substr(0, task.rfind('/'));
      const auto& info = jobs.at(job);
      if (info.toldCancelled < 0 || env_.now() <= info.toldCancelled + cancelMs_) continue;
      if (reported_.insert(task).second) fail("ran_cancelled", task + " is still on " + *places.begin());
    }
  }
  Env& env_;
  Ms cancelMs_;
  std::map<std::string, std::set<std::string>> where_;
  std::map<std::string, std::string> zoneOf_;
  std::map<std::string, double> used_;
  std::set<std::string> reported_;
};

}  // namespace lab
