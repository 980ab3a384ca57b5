// Tests the encoding of user API responses as HTTP.
#include <gtest/gtest.h>

#include "controller/user_response.h"

using namespace cherryloft;

namespace {

const JobId kJob{"wk-1"};

struct Expected {
  UserResponse response;
  int status;
  std::string body;
  int retryAfterSeconds;
};

}  // namespace

TEST(UserResponse, EachTypeHasItsStatusBodyAndRetryAfter) {
  const wire::JobProgress view{JobStatus::Open, 4, 1, 2};
  const std::vector<Expected> table{
      {JobAccepted{kJob}, 201, wire::encodeJobStatus(kJob, {}), 0},
      {JobState{kJob, view}, 200, wire::encodeJobStatus(kJob, view), 0},
      {JobNotFound{}, 404, R"({"error":"no such job"})", 0},
      {JobRejected{Rejection::Malformed, "why"}, 400, R"({"error":"why"})", 0},
      {JobRejected{Rejection::Infeasible, "why"}, 422, R"({"error":"why"})", 0},
      {Overloaded{7}, 503, R"({"error":"more jobs come than can be kept"})", 7},
      {Unavailable{"why"}, 503, R"({"error":"why"})", 1},
  };
  for (const auto& expected : table) {
    auto response = toHttpResponse(expected.response);
    EXPECT_EQ(response.status, expected.status);
    EXPECT_EQ(response.body, expected.body);
    EXPECT_EQ(response.retryAfterS, expected.retryAfterSeconds);
    EXPECT_FALSE(response.close);
  }
}

TEST(UserResponse, AnOwnerResponseIsForwardedWithRetryAfterRestored) {
  EXPECT_EQ(toHttpResponse(OwnerResponse{200, "body"}).body, "body");
  EXPECT_EQ(toHttpResponse(OwnerResponse{200, "body"}).retryAfterS, 0);
  EXPECT_EQ(toHttpResponse(OwnerResponse{503, "body"}).retryAfterS, 1);
}

TEST(UserResponse, NotOwnerIsSentToAPeerAsStatusZero) {
  auto answer = toPeerAnswer(5, NotOwner{});
  EXPECT_EQ(answer.id, 5U);
  EXPECT_EQ(answer.status, 0);
  EXPECT_EQ(answer.body, "");
}
