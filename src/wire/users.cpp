#include "wire/users.h"

#include <algorithm>

#include "wire/json.h"

namespace cherryloft::wire {
namespace {

constexpr std::uint32_t kMaxTasks = 100'000;
constexpr double kMaxAmount = 1e9;
constexpr std::size_t kMaxName = 200;

// Collects the first thing wrong, so that the fields below read as a list.
class Fields {
 public:
  explicit Fields(const Json& o) : o_(o) {}

  std::string name(const char* field, bool mayBeEmpty = false) {
    auto v = textAt(o_, field);
    if (!v || (v->empty() && !mayBeEmpty) || v->size() > kMaxName) wrong(field);
    return v.value_or("");
  }
  double amount(const char* field, double low) {
    auto v = numberAt(o_, field);
    if (!v || *v < low || *v > kMaxAmount) wrong(field);
    return v.value_or(0);
  }
  bool flag(const char* field) {
    auto v = flagAt(o_, field);
    if (!v) wrong(field);
    return v.value_or(false);
  }
  bool reconcileMissingTasks(const char* field) const {
    return !o_.contains(field) || o_.at(field).is_null();
  }
  void wrong(const char* field) {
    if (why_.empty()) why_ = std::string("field '") + field + "' is missing or invalid";
  }
  const std::string& why() const { return why_; }

 private:
  const Json& o_;
  std::string why_;
};

}  // namespace

bool isJobId(const std::string& id) {
  return id.size() > 3 && id.size() <= 64 && id.compare(0, 3, "wk-") == 0 &&
         std::all_of(id.begin() + 3, id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::variant<JobSpec, Malformed> parseSubmission(const std::string& body) {
  auto doc = parse(body);
  if (!doc) return Malformed{"not JSON", {}};
  if (!doc->is_object()) return Malformed{"not an object", {}};
  Fields f(*doc);
  JobSpec s;
  auto id = textAt(*doc, "name_id");
  if (!id || !isJobId(*id)) return Malformed{"field 'name_id' is missing or invalid", {}};
  s.id = JobId{*id};
  s.jobClass = f.name("jobclass");
  s.team = TeamId{f.name("owner")};
  auto kind = f.name("shape");
  if (kind == "service")
    s.kind = JobKind::Service;
  else if (kind == "ensemble")
    s.kind = JobKind::Gang;
  else if (kind != "sweep")
    f.wrong("shape");
  auto priority = f.name("rank");
  if (priority == "prod")
    s.priority = PriorityClass::Production;
  else if (priority == "high")
    s.priority = PriorityClass::High;
  else if (priority == "normal")
    s.priority = PriorityClass::Normal;
  else if (priority == "best_effort")
    s.priority = PriorityClass::BestEffort;
  else
    f.wrong("rank");
  auto tasks = countAt(*doc, "pieces");
  if (!tasks || *tasks < 1 || *tasks > kMaxTasks) f.wrong("pieces");
  s.tasks = static_cast<std::uint32_t>(std::min<std::uint64_t>(tasks.value_or(1), kMaxTasks));
  s.each = {f.amount("cores", 0), f.amount("gpus", 0), f.amount("ram_gb", 0)};
  if (s.each.cores <= 0 && s.each.gpus <= 0) f.wrong("cores");
  s.image = ImageId{f.name("bundle")};
  s.imageGb = f.amount("image_gb", 0);
  if (!f.reconcileMissingTasks("flavours")) {
    if (!doc->at("flavours").is_array()) f.wrong("flavours");
    s.types.emplace();
    for (const auto& t : listAt(*doc, "flavours")) {
      if (t.is_string())
        s.types->push_back(t.get<std::string>());
      else
        f.wrong("flavours");
    }
  }
  if (!f.reconcileMissingTasks("site")) s.zone = Zone{f.name("site")};
  s.oneZone = f.flag("one_zone");
  s.spread = f.flag("spread");
  s.spotAllowed = f.flag("lendable");
  s.expectedRunSeconds = f.amount("expect_s", 0);
  s.checkpointIntervalSeconds = f.amount("snapshot_every_s", 0);
  s.checkpointSeconds = f.amount("snapshot_s", 0);
  if (!f.reconcileMissingTasks("due_s")) s.deadlineSeconds = f.amount("due_s", 0);
  if (!f.why().empty()) return Malformed{f.why(), s.id};
  return s;
}

std::string encodeJob(const JobId& id, const JobView& v) {
  const char* status = v.status == JobStatus::Done        ? "done"
                       : v.status == JobStatus::Cancelled ? "aborted"
                       : v.running > 0                    ? "running"
                                                          : "pending";
  return dump(Json{{"name_id", id.value}, {"status", status}, {"done", v.done}, {"running", v.running}});
}

std::optional<JobStatus> parseEnd(const std::string& body) {
  auto doc = Json::parse(body, nullptr, false);
  auto status = doc.is_object() ? doc.value("status", std::string()) : "";
  if (status == "done") return JobStatus::Done;
  if (status == "aborted") return JobStatus::Cancelled;
  return std::nullopt;
}

HttpResponse userError(int status, const std::string& why, int retryAfterS) {
  return {status, dump(Json{{"error", why}}), false, retryAfterS};
}

HttpResponse userUnavailable(const std::string& why) { return userError(503, why, 1); }

}  // namespace cherryloft::wire
