// What the user API answers, as typed values, and their one translation into HTTP.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "mesh/messages.h"
#include "net/http.h"
#include "wire/users.h"

namespace cherryloft {

// 201: the submission created the job.
struct JobAccepted {
  JobId id;
};

// 200: the state of a job.
struct JobState {
  JobId id;
  wire::JobProgress view;
};

// 404: given only after a strong read (invariant 9).
struct NoSuchJob {};

enum class Rejection : std::uint8_t {
  Malformed,  // 400: the body can't be read, or the job is too long to keep
  NeverRuns,  // 422: no machine type or quota could ever take the job
};
// The job was never accepted, and won't be.
struct JobRejected {
  Rejection reason = Rejection::Malformed;
  std::string why;
};

// 503: more jobs are submitted than can be stored.
struct Overloaded {
  int retryAfterSeconds = 0;
};

// 503, to be retried soon: this controller can't tell, or can't act.
struct Unavailable {
  std::string why;
};

// What the job's owner answered through the mesh, passed on as it is.
struct OwnersAnswer {
  int status = 0;
  std::string body;
};

// Only to a peer that asked us as the owner: we can't tell, it has to find out by itself.
struct NotTheOwner {};

using UserAnswer = std::variant<JobAccepted, JobState, NoSuchJob, JobRejected, Overloaded, Unavailable,
                                OwnersAnswer, NotTheOwner>;
// Takes the one answer to a request.
using UserResponder = std::function<void(const UserAnswer&)>;

// Status, body and Retry-After as users see them. NotTheOwner has status 0 and must not reach a user.
[[nodiscard]] HttpResponse toHttp(const UserAnswer& answer);
// The same as the answer to a peer's request with that id.
[[nodiscard]] mesh::Answer toPeerAnswer(std::uint64_t requestId, const UserAnswer& answer);

}  // namespace cherryloft
