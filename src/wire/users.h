// Messages of the user API.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/job.h"
#include "net/http.h"

namespace cherryloft::wire {

// The greatest number of tasks of a job; their indices begin at 0.
inline constexpr std::uint32_t kMaxTasksPerJob = 100'000;
inline constexpr std::string_view kJobIdPrefix = "wk-";

// The reason why a submission was rejected as malformed.
struct Malformed {
  std::string why;
  std::optional<JobId> id;  // set if the body contains a valid job id: that job may be known already
};
// The error names the first field that is missing or invalid; unknown fields are ignored.
std::variant<JobSpec, Malformed> parseSubmission(const std::string& body);
// "wk-" followed by digits.
[[nodiscard]] bool isJobId(const std::string& id);

// The status of a job as reported to users.
struct JobProgress {
  JobStatus status = JobStatus::Open;
  std::uint32_t tasks = 0;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};
// The response body for both submissions and polls.
std::string encodeJobStatus(const JobId& id, const JobProgress& view);
// The final status in such a body; nullopt if the job has not ended.
std::optional<JobStatus> parseFinalStatus(const std::string& body);

// A response with that status and the reason in its body. retryAfterS 0: no Retry-After header.
HttpResponse userErrorResponse(int status, const std::string& why, int retryAfterS = 0);
// A 503 response that asks the client to retry after one second.
HttpResponse userUnavailableResponse(const std::string& why);

}  // namespace cherryloft::wire
