// The users' side of the protocol.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "base/job.h"
#include "net/http.h"

namespace cherryloft::wire {

// Why a submission can't be read.
struct Malformed {
  std::string why;
  std::optional<JobId> id;  // if the body names a job in the right form: it may be known already
};
// Names the first field that is missing or wrong; unknown fields are passed over.
std::variant<JobSpec, Malformed> parseSubmission(const std::string& body);
// "wk-" and digits.
[[nodiscard]] bool isJobId(const std::string& id);

// What a user is told of a job.
struct JobProgress {
  JobStatus status = JobStatus::Open;
  std::uint32_t tasks = 0;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};
// The body that both submissions and polls answer with.
std::string encodeJobStatus(const JobId& id, const JobProgress& view);
// Whether such a body tells that the job is over, and how it ended.
std::optional<JobStatus> parseFinalStatus(const std::string& body);

// An answer with that status and a body that says why; `retryAfterS` seconds, 0 for no such header.
HttpResponse userError(int status, const std::string& why, int retryAfterS = 0);
// 503, to be tried again after a second.
HttpResponse userUnavailable(const std::string& why);

}  // namespace cherryloft::wire
