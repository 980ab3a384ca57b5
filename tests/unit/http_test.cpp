#include <gtest/gtest.h>

#include "net/http.h"

using namespace cherryloft;
using Status = HttpParser::Status;

namespace {

const std::string kTwoRequests =
    "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET /up HTTP/1.1\r\nConnection: "
    "close\r\n\r\n";

Status parseOne(const std::string& text, std::size_t maxBody = std::size_t{64} * 1024) {
  HttpParser parser(HttpParser::Kind::Request, maxBody);
  parser.feed(text);
  return parser.next();
}

}  // namespace

TEST(HttpParser, SplitAtEveryByte) {
  for (std::size_t cut = 0; cut <= kTwoRequests.size(); ++cut) {
    HttpParser parser(HttpParser::Kind::Request, 1024);
    std::vector<HttpRequest> requests;
    for (const auto& part : {kTwoRequests.substr(0, cut), kTwoRequests.substr(cut)}) {
      parser.feed(part);
      while (parser.next() == Status::Complete) requests.push_back(parser.request());
    }
    ASSERT_EQ(requests.size(), 2U) << "cut at " << cut;
    EXPECT_EQ(requests[0].method, "POST");
    EXPECT_EQ(requests[0].body, "hello");
    EXPECT_FALSE(requests[0].close);
    EXPECT_EQ(requests[1].target, "/up");
    EXPECT_TRUE(requests[1].close);
    EXPECT_TRUE(parser.idle());
  }
}

TEST(HttpParser, ChunkedResponseByteByByte) {
  std::string text =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=1\r\nWiki\r\n5\r\npedia\r\n0\r\nA: b\r\n\r\n";
  HttpParser parser(HttpParser::Kind::Response, 1024);
  for (std::size_t i = 0; i + 1 < text.size(); ++i) {
    parser.feed(text.substr(i, 1));
    ASSERT_EQ(parser.next(), Status::Incomplete) << i;
  }
  parser.feed(text.substr(text.size() - 1));
  ASSERT_EQ(parser.next(), Status::Complete);
  EXPECT_EQ(parser.response().body, "Wikipedia");
}

TEST(HttpParser, ResponseUntilClose) {
  HttpParser parser(HttpParser::Kind::Response, 1024);
  parser.feed("HTTP/1.1 503 No\r\nRetry-After: 7\r\n\r\nbody");
  EXPECT_EQ(parser.next(), Status::Incomplete);
  EXPECT_EQ(parser.end(), Status::Complete);
  EXPECT_EQ(parser.response().status, 503);
  EXPECT_EQ(parser.response().retryAfterS, 7);
  EXPECT_EQ(parser.response().body, "body");
}

TEST(HttpParser, RejectsMalformedAndTooLargeRequests) {
  for (const char* request :
       {"GET\r\n\r\n", "GET /\r\n\r\n", "GET / HTTP/2.0\r\n\r\n", "G@T / HTTP/1.1\r\n\r\n",
        "GET x HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"})
    EXPECT_EQ(parseOne(request), Status::Malformed) << request;
  EXPECT_EQ(parseOne(std::string(9000, 'a')), Status::Malformed);
  EXPECT_EQ(parseOne("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"), Status::TooLarge);
  EXPECT_EQ(parseOne("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n"), Status::TooLarge);
}

TEST(HttpParser, EncodedMessagesRoundTrip) {
  HttpParser requestParser(HttpParser::Kind::Request, 1024);
  requestParser.feed(encodeRequest({"POST", "/txn", "{}", false}, "h:1"));
  ASSERT_EQ(requestParser.next(), Status::Complete);
  EXPECT_EQ(requestParser.request().body, "{}");
  HttpParser responseParser(HttpParser::Kind::Response, 1024);
  responseParser.feed(encodeResponse({421, "x", true, 3}));
  ASSERT_EQ(responseParser.next(), Status::Complete);
  EXPECT_EQ(responseParser.response().status, 421);
  EXPECT_TRUE(responseParser.response().close);
  EXPECT_EQ(responseParser.response().retryAfterS, 3);
}
