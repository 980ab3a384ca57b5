#include "controller/user_response.h"

namespace cherryloft {
namespace {

constexpr int kNoRetryAfter = 0;
constexpr int kRetrySoonSeconds = 1;

// One overload per response type.
struct HttpEncoder {
  HttpResponse operator()(const JobAccepted& accepted) const {
    return {201, wire::encodeJobStatus(accepted.id, {}), false, kNoRetryAfter};
  }
  HttpResponse operator()(const JobState& state) const {
    return {200, wire::encodeJobStatus(state.id, state.view), false, kNoRetryAfter};
  }
  HttpResponse operator()(const JobNotFound&) const { return wire::userErrorResponse(404, "no such job"); }
  HttpResponse operator()(const JobRejected& rejected) const {
    return wire::userErrorResponse(rejected.reason == Rejection::Infeasible ? 422 : 400, rejected.message);
  }
  HttpResponse operator()(const Overloaded& overloaded) const {
    return wire::userErrorResponse(503, "more jobs come than can be kept", overloaded.retryAfterSeconds);
  }
  HttpResponse operator()(const Unavailable& unavailable) const {
    return wire::userUnavailableResponse(unavailable.message);
  }
  HttpResponse operator()(const OwnerResponse& forwarded) const {
    return {forwarded.status, forwarded.body, false,
            forwarded.status == 503 ? kRetrySoonSeconds : kNoRetryAfter};
  }
  HttpResponse operator()(const NotOwner&) const { return {}; }
};

}  // namespace

HttpResponse toHttpResponse(const UserResponse& response) { return std::visit(HttpEncoder{}, response); }

mesh::Answer toPeerAnswer(std::uint64_t requestId, const UserResponse& response) {
  auto httpResponse = toHttpResponse(response);
  return {requestId, httpResponse.status, std::move(httpResponse.body)};
}

}  // namespace cherryloft
