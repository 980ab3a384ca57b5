// The users' side of the protocol.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "base/job.h"
#include "net/http.h"

namespace cherryloft::wire {

struct Malformed {
  std::string why;
  std::optional<JobId> id;  // if the body names a job in the right form: it may be known already
};
std::variant<JobSpec, Malformed> parseSubmission(const std::string& body);
// "wk-" and digits.
bool isJobId(const std::string& id);

struct JobView {
  JobStatus status = JobStatus::Open;
  std::uint32_t tasks = 0, done = 0, running = 0;
};
// The body that both submissions and polls answer with.
std::string encodeJob(const JobId& id, const JobView& view);
// Whether such a body tells that the job is over, and how it ended.
std::optional<JobStatus> parseEnd(const std::string& body);

HttpResponse userError(int status, const std::string& why, int retryAfterS = 0);
HttpResponse userUnavailable(const std::string& why);

}  // namespace cherryloft::wire
