// The server and the client over real loopback sockets.
#include <gtest/gtest.h>
#include <unistd.h>

#include "net/client.h"
#include "net/server.h"

using namespace cherryloft;

namespace {

struct Loopback : testing::Test {
  Loop loop;
  Address at{"127.0.0.1", 0};
  int fd = -1;
  void SetUp() override {
    for (std::uint16_t port = 21000; port < 21200 && fd < 0; ++port) {
      at.port = port;
      fd = listenOn(at);
    }
    ASSERT_GE(fd, 0);
  }
};

}  // namespace

TEST_F(Loopback, KeepsConnectionsAndBoundsThem) {
  HttpServer server(
      loop, silentLog(), fd, 3,
      [](HttpRequest r, Responder done) {
        if (r.target != "/never") done({200, r.method + r.target + r.body, false, 0});
      },
      [](const HttpRequest& r) { return r.target == "/checkin"; });
  HttpClient client(loop, 4, 8);
  std::vector<std::string> got;
  int unanswered = 0;
  std::function<void(int)> next = [&](int left) {
    if (left == 0) {
      client.call(at, {"GET", "/never", "", false}, Duration{50}, [&](HttpResult r) {
        unanswered += r.outcome == HttpResult::Outcome::Unknown;
        loop.stop();
      });
      return;
    }
    client.call(at, {"POST", "/x", std::to_string(left), false}, Duration{5000}, [&, left](HttpResult r) {
      got.push_back(r.answered(200) ? r.response.body : "failed");
      EXPECT_EQ(server.connections(), 1u);  // the same connection each time
      next(left - 1);
    });
  };
  next(3);
  loop.run();
  EXPECT_EQ(got, (std::vector<std::string>{"POST/x3", "POST/x2", "POST/x1"}));
  EXPECT_EQ(unanswered, 1);
}

TEST_F(Loopback, MalformedIsAnswered400AndClosed) {
  HttpServer server(
      loop, silentLog(), fd, 10,
      [](HttpRequest, Responder done) {
        done({200, "{}", false, 0});
      },
      [](const HttpRequest&) { return false; });
  auto raw = std::make_shared<Stream>(loop, connectTo(at), true);
  std::string text;
  raw->start([&](std::string_view b) { text.append(b); }, [&] { loop.stop(); });
  raw->send("NONSENSE\r\n\r\n");
  loop.run();
  EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 400");
  EXPECT_NE(text.find("Connection: close"), std::string::npos);
}

TEST_F(Loopback, RefusedConnectionWasNotSent) {
  HttpClient client(loop, 4, 8);
  HttpResult result;
  client.call({"127.0.0.1", 1}, {"GET", "/", "", false}, Duration{2000}, [&](HttpResult r) {
    result = r;
    loop.stop();
  });
  loop.run();
  EXPECT_EQ(result.outcome, HttpResult::Outcome::NotSent);
}

// A port that somebody else holds for a moment does not end the process.
TEST_F(Loopback, AnAddressInUseIsTriedAgain) {
  unsigned pauses = 0;
  EXPECT_LT(listenPatiently(at, 3, [&] { ++pauses; }), 0);
  EXPECT_EQ(pauses, 2u);
  pauses = 0;
  int got = listenPatiently(at, 5, [&] {
    if (++pauses == 2) ::close(fd);
  });
  EXPECT_GE(got, 0);
  EXPECT_EQ(pauses, 2u);
  ::close(got);
}
