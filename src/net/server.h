// HTTP server for users, workers and health checks: keep-alive, answers that may come later, bounded
// connections of which idle users' give way first.
#pragma once

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
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    std::shared_ptr<Stream> stream;
    HttpParser parser{HttpParser::Kind::Request, 64 * 1024};
    bool busy = false;  // a request is being answered
    bool worker = false;
    bool closing = false;
    std::uint64_t request = 0;
    Time since{};  // when it last became idle or a request began
  };
  using Ptr = std::shared_ptr<Connection>;

  void accepted(int fd);
  void received(const Ptr& c);
  void answer(const Ptr& c, HttpResponse r);
  void drop(const Ptr& c);
  void makeRoom();
  void sweep();

  Loop& loop_;
  Log log_;
  std::size_t max_;
  Handler handler_;
  IsWorker isWorker_;
  std::list<Ptr> connections_;  // in order of arrival
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Listener listener_;
};

}  // namespace cherryloft
