#include <gtest/gtest.h>

#include "net/http.h"

using namespace cherryloft;
using Status = HttpParser::Status;

namespace {

const std::string kTwo =
    "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET /up HTTP/1.1\r\nConnection: "
    "close\r\n\r\n";

Status parseOne(const std::string& text, std::size_t most = std::size_t{64} * 1024) {
  HttpParser p(HttpParser::Kind::Request, most);
  p.feed(text);
  return p.next();
}

}  // namespace

TEST(HttpParser, SplitAtEveryByte) {
  for (std::size_t cut = 0; cut <= kTwo.size(); ++cut) {
    HttpParser p(HttpParser::Kind::Request, 1024);
    std::vector<HttpRequest> got;
    for (const auto& part : {kTwo.substr(0, cut), kTwo.substr(cut)}) {
      p.feed(part);
      while (p.next() == Status::Complete) got.push_back(p.request());
    }
    ASSERT_EQ(got.size(), 2U) << "cut at " << cut;
    EXPECT_EQ(got[0].method, "POST");
    EXPECT_EQ(got[0].body, "hello");
    EXPECT_FALSE(got[0].close);
    EXPECT_EQ(got[1].target, "/up");
    EXPECT_TRUE(got[1].close);
    EXPECT_TRUE(p.idle());
  }
}

TEST(HttpParser, ByteByByteResponseInChunks) {
  std::string text =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=1\r\nWiki\r\n5\r\npedia\r\n0\r\nA: b\r\n\r\n";
  HttpParser p(HttpParser::Kind::Response, 1024);
  for (std::size_t i = 0; i + 1 < text.size(); ++i) {
    p.feed(text.substr(i, 1));
    ASSERT_EQ(p.next(), Status::Incomplete) << i;
  }
  p.feed(text.substr(text.size() - 1));
  ASSERT_EQ(p.next(), Status::Complete);
  EXPECT_EQ(p.response().body, "Wikipedia");
}

TEST(HttpParser, ResponseUntilClose) {
  HttpParser p(HttpParser::Kind::Response, 1024);
  p.feed("HTTP/1.1 503 No\r\nRetry-After: 7\r\n\r\nbody");
  EXPECT_EQ(p.next(), Status::Incomplete);
  EXPECT_EQ(p.end(), Status::Complete);
  EXPECT_EQ(p.response().status, 503);
  EXPECT_EQ(p.response().retryAfterS, 7);
  EXPECT_EQ(p.response().body, "body");
}

TEST(HttpParser, Malformed) {
  for (const char* bad :
       {"GET\r\n\r\n", "GET /\r\n\r\n", "GET / HTTP/2.0\r\n\r\n", "G@T / HTTP/1.1\r\n\r\n",
        "GET x HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"})
    EXPECT_EQ(parseOne(bad), Status::Malformed) << bad;
  EXPECT_EQ(parseOne(std::string(9000, 'a')), Status::Malformed);
  EXPECT_EQ(parseOne("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"), Status::TooLarge);
  EXPECT_EQ(parseOne("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n"), Status::TooLarge);
}

TEST(HttpParser, EncodedMessagesComeBack) {
  HttpParser in(HttpParser::Kind::Request, 1024);
  in.feed(encodeRequest({"POST", "/txn", "{}", false}, "h:1"));
  ASSERT_EQ(in.next(), Status::Complete);
  EXPECT_EQ(in.request().body, "{}");
  HttpParser out(HttpParser::Kind::Response, 1024);
  out.feed(encodeResponse({421, "x", true, 3}));
  ASSERT_EQ(out.next(), Status::Complete);
  EXPECT_EQ(out.response().status, 421);
  EXPECT_TRUE(out.response().close);
  EXPECT_EQ(out.response().retryAfterS, 3);
}
