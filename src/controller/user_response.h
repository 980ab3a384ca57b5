// The responses of the user API as typed values, and their encoding as HTTP.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "mesh/messages.h"
#include "net/http.h"
#include "wire/users.h"

namespace cherryloft {

// 201: the job was created.
struct JobAccepted {
  JobId id;
};

// 200: the state of a job.
struct JobState {
  JobId id;
  wire::JobProgress view;
};

// 404: returned only after a strong read (invariant 9).
struct JobNotFound {};

enum class Rejection : std::uint8_t {
  Malformed,   // 400: the body is malformed, or the job is too large to store
  Infeasible,  // 422: no machine type or quota can ever fit the job
};
// The job was never accepted and never will be.
struct JobRejected {
  Rejection reason = Rejection::Malformed;
  std::string message;
};

// 503: more jobs are submitted than can be stored.
struct Overloaded {
  int retryAfterSeconds = 0;
};

// 503, to be retried soon: this controller can't determine the answer or can't act.
struct Unavailable {
  std::string message;
};

// The response of the job's owner, received through the mesh and forwarded unchanged.
struct OwnerResponse {
  int status = 0;
  std::string body;
};

// Sent only to a peer that took us for the owner: we can't answer, and the peer must find out in another way.
struct NotOwner {};

using UserResponse = std::variant<JobAccepted, JobState, JobNotFound, JobRejected, Overloaded, Unavailable,
                                  OwnerResponse, NotOwner>;
// Called once with the response to a request.
using UserResponder = std::function<void(const UserResponse&)>;

// Status, body and Retry-After as sent to users. NotOwner has status 0 and must not be sent to a user.
[[nodiscard]] HttpResponse toHttpResponse(const UserResponse& response);
// The same, as the answer to a peer's request with that id.
[[nodiscard]] mesh::Answer toPeerAnswer(std::uint64_t requestId, const UserResponse& response);

}  // namespace cherryloft
