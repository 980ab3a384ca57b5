#include "controller/user_answer.h"

namespace cherryloft {
namespace {

constexpr int kNoRetryAfter = 0;
constexpr int kRetrySoonSeconds = 1;

// One overload for each kind of answer.
struct HttpEncoder {
  HttpResponse operator()(const JobAccepted& accepted) const {
    return {201, wire::encodeJobStatus(accepted.id, {}), false, kNoRetryAfter};
  }
  HttpResponse operator()(const JobState& state) const {
    return {200, wire::encodeJobStatus(state.id, state.view), false, kNoRetryAfter};
  }
  HttpResponse operator()(const NoSuchJob&) const { return wire::userErrorResponse(404, "no such job"); }
  HttpResponse operator()(const JobRejected& rejected) const {
    return wire::userErrorResponse(rejected.reason == Rejection::NeverRuns ? 422 : 400, rejected.why);
  }
  HttpResponse operator()(const Overloaded& overloaded) const {
    return wire::userErrorResponse(503, "more jobs come than can be kept", overloaded.retryAfterSeconds);
  }
  HttpResponse operator()(const Unavailable& unavailable) const {
    return wire::userUnavailableResponse(unavailable.why);
  }
  HttpResponse operator()(const OwnersAnswer& answer) const {
    return {answer.status, answer.body, false, answer.status == 503 ? kRetrySoonSeconds : kNoRetryAfter};
  }
  HttpResponse operator()(const NotTheOwner&) const { return {}; }
};

}  // namespace

HttpResponse toHttp(const UserAnswer& answer) { return std::visit(HttpEncoder{}, answer); }

mesh::Answer toPeerAnswer(std::uint64_t requestId, const UserAnswer& answer) {
  auto response = toHttp(answer);
  return {requestId, response.status, std::move(response.body)};
}

}  // namespace cherryloft
