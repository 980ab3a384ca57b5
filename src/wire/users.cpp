#include "wire/users.h"

#include <algorithm>

#include "wire/json.h"

namespace cherryloft::wire {
namespace {

constexpr double kMaxAmount = 1e9;  // of any numeric field
constexpr std::size_t kMaxNameBytes = 200;
constexpr std::size_t kMaxJobIdBytes = 64;
constexpr int kServiceUnavailable = 503;
constexpr int kRetryAfterS = 1;

// Reads fields of a submission and remembers the first invalid one, so that the caller checks for errors
// once.
class FieldReader {
 public:
  explicit FieldReader(const Json& object) : object_(object) {}

  std::string name(const char* field, bool mayBeEmpty = false) {
    auto value = stringField(object_, field);
    if (!value || (value->empty() && !mayBeEmpty) || value->size() > kMaxNameBytes) reject(field);
    return value.value_or("");
  }
  double amount(const char* field, double low) {
    auto value = numberField(object_, field);
    if (!value || *value < low || *value > kMaxAmount) reject(field);
    return value.value_or(0);
  }
  bool flag(const char* field) {
    auto value = boolField(object_, field);
    if (!value) reject(field);
    return value.value_or(false);
  }
  bool absent(const char* field) const { return !object_.contains(field) || object_.at(field).is_null(); }
  void reject(const char* field) {
    if (error_.empty()) error_ = std::string("field '") + field + "' is missing or invalid";
  }
  const std::string& error() const { return error_; }

 private:
  const Json& object_;
  std::string error_;
};

}  // namespace

bool isJobId(const std::string& id) {
  auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
  if (id.size() <= kJobIdPrefix.size() || id.size() > kMaxJobIdBytes || !id.starts_with(kJobIdPrefix))
    return false;
  return std::all_of(id.begin() + kJobIdPrefix.size(), id.end(), isDigit);
}

std::variant<JobSpec, Malformed> parseSubmission(const std::string& body) {
  auto doc = parse(body);
  if (!doc) return Malformed{"not JSON", {}};
  if (!doc->is_object()) return Malformed{"not an object", {}};
  FieldReader fields(*doc);
  JobSpec job;
  auto id = stringField(*doc, "name_id");
  if (!id || !isJobId(*id)) return Malformed{"field 'name_id' is missing or invalid", {}};
  job.id = JobId{*id};
  job.jobClass = fields.name("jobclass");
  job.team = TeamId{fields.name("owner")};
  auto kind = fields.name("shape");
  if (kind == "service")
    job.kind = JobKind::Service;
  else if (kind == "ensemble")
    job.kind = JobKind::Gang;
  else if (kind != "sweep")
    fields.reject("shape");
  auto priority = fields.name("rank");
  if (priority == "prod")
    job.priority = PriorityClass::Production;
  else if (priority == "high")
    job.priority = PriorityClass::High;
  else if (priority == "normal")
    job.priority = PriorityClass::Normal;
  else if (priority == "best_effort")
    job.priority = PriorityClass::BestEffort;
  else
    fields.reject("rank");
  auto tasks = unsignedField(*doc, "pieces");
  if (!tasks || *tasks < 1 || *tasks > kMaxTasksPerJob) fields.reject("pieces");
  job.tasks = static_cast<std::uint32_t>(std::min<std::uint64_t>(tasks.value_or(1), kMaxTasksPerJob));
  job.each = {fields.amount("cores", 0), fields.amount("gpus", 0), fields.amount("ram_gb", 0)};
  if (job.each.cores <= 0 && job.each.gpus <= 0) fields.reject("cores");
  job.image = ImageId{fields.name("bundle")};
  job.imageGb = fields.amount("image_gb", 0);
  if (!fields.absent("flavours")) {
    if (!doc->at("flavours").is_array()) fields.reject("flavours");
    job.types.emplace();
    for (const auto& type : arrayField(*doc, "flavours")) {
      if (type.is_string())
        job.types->push_back(type.get<std::string>());
      else
        fields.reject("flavours");
    }
  }
  if (!fields.absent("site")) job.zone = Zone{fields.name("site")};
  job.oneZone = fields.flag("one_zone");
  job.spread = fields.flag("spread");
  job.spotAllowed = fields.flag("lendable");
  job.expectedRunSeconds = fields.amount("expect_s", 0);
  job.checkpointIntervalSeconds = fields.amount("snapshot_every_s", 0);
  job.checkpointSeconds = fields.amount("snapshot_s", 0);
  if (!fields.absent("due_s")) job.deadlineSeconds = fields.amount("due_s", 0);
  if (!fields.error().empty()) return Malformed{fields.error(), job.id};
  return job;
}

std::string encodeJobStatus(const JobId& id, const JobProgress& view) {
  const char* status = view.status == JobStatus::Done        ? "done"
                       : view.status == JobStatus::Cancelled ? "aborted"
                       : view.running > 0                    ? "running"
                                                             : "pending";
  return dump(
      Json{{"name_id", id.value}, {"status", status}, {"done", view.done}, {"running", view.running}});
}

std::optional<JobStatus> parseFinalStatus(const std::string& body) {
  auto doc = Json::parse(body, nullptr, false);
  auto status = doc.is_object() ? doc.value("status", std::string()) : "";
  if (status == "done") return JobStatus::Done;
  if (status == "aborted") return JobStatus::Cancelled;
  return std::nullopt;
}

HttpResponse userErrorResponse(int status, const std::string& why, int retryAfterS) {
  return {status, dump(Json{{"error", why}}), false, retryAfterS};
}

HttpResponse userUnavailableResponse(const std::string& why) {
  return userErrorResponse(kServiceUnavailable, why, kRetryAfterS);
}

}  // namespace cherryloft::wire
