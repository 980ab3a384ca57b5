// HTTP server for users, workers and health checks: keep-alive, answers that may come later, bounded
// connections. Near the bound workers are asked to connect anew for their next report, so that users and
// health checks find room and no request is lost; beyond it idle users' connections give way first.
#pragma once

#include <array>
#include <list>
#include <memory>

#include "log/log.h"
#include "net/http.h"
#include "net/tcp.h"

namespace cherryloft {

// Answers one request, once; later calls and answers to closed connections do nothing.
using Responder = std::function<void(HttpResponse)>;

class HttpServer {
 public:
  // Says whether the request came from a worker, whose connection is spared when room is needed.
  using Handler = std::function<void(HttpRequest, Responder)>;
  using IsWorker = std::function<bool(const HttpRequest&)>;

  HttpServer(Loop& loop, Log log, int listenFd, std::size_t maxConnections, Handler handler,
             IsWorker isWorker);
  std::size_t connections() const { return count_; }
  // Connections that were connectionsScanned to make room or to sweep, for the tests: a matter of what goes,
  // not of what is there.
  std::uint64_t connectionsScanned() const { return walked_; }

 private:
  // In the order in which they give way when room is needed.
  enum class State : std::uint8_t { Closing, Idle, Receiving, Answering };
  static constexpr std::size_t kStates = 4;
  struct Connection {
    std::shared_ptr<Stream> stream;
    HttpParser parser{HttpParser::Kind::Request, std::size_t{64} * 1024};
    State state = State::Idle;
    bool worker = false;
    bool lastRequest = false;  // the connection ends with the answer
    bool gone = false;
    std::uint64_t request = 0;
    Time since{};                                         // when it came into this state
    std::list<std::shared_ptr<Connection>>::iterator at;  // in its list
  };
  using Ptr = std::shared_ptr<Connection>;
  using Line = std::list<Ptr>;  // longest in that state first

  void accepted(int fd);
  void received(const Ptr& c);
  void answer(const Ptr& c, HttpResponse r);
  void become(const Ptr& c, State s) { become(c, s, c->worker); }
  void become(const Ptr& c, State s, bool worker);
  void drop(const Ptr& c);
  void closeOneForNewcomer();
  void sweep();
  Line& line(State s, bool worker) { return lines_[static_cast<std::size_t>(s) + (worker ? kStates : 0)]; }

  Loop& loop_;
  Log log_;
  std::size_t max_;
  std::size_t crowded_;  // from so many on workers' connections are not kept
  Handler handler_;
  IsWorker isWorker_;
  std::array<Line, 2 * kStates> lines_;
  std::size_t count_ = 0;
  std::uint64_t walked_ = 0;
  Time saidFull_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Listener listener_;
};

}  // namespace cherryloft
