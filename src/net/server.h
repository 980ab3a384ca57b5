// HTTP server for users, workers and health checks, with keep-alive, deferred responses and a limit of
// connections. Close to the limit workers' connections are closed after each response, so that users and
// health checks can still connect and no request is lost; at the limit idle users' connections are closed
// first.
#pragma once

#include <array>
#include <list>
#include <memory>

#include "log/log.h"
#include "net/http.h"
#include "net/tcp.h"

namespace cherryloft {

// Sends the response to one request. Further calls, and calls after the connection was closed, do nothing.
using Responder = std::function<void(HttpResponse)>;

class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, Responder)>;
  // Whether a request is from a worker; workers' connections are closed last when the limit is reached.
  using WorkerPredicate = std::function<bool(const HttpRequest&)>;

  HttpServer(Loop& loop, Log log, int listenFd, std::size_t maxConnections, Handler handler,
             WorkerPredicate isWorker);
  std::size_t connections() const { return count_; }
  // Steps taken to find connections to close, for tests: must not grow with the number of open connections.
  std::uint64_t connectionsScanned() const { return connectionsScanned_; }

 private:
  // In the order in which connections are closed when the limit is reached.
  enum class State : std::uint8_t { Closing, Idle, Receiving, Answering };
  static constexpr std::size_t kStates = 4;
  struct Connection {
    std::shared_ptr<Stream> stream;
    HttpParser parser{HttpParser::Kind::Request, std::size_t{64} * 1024};
    State state = State::Idle;
    bool worker = false;
    bool lastRequest = false;  // close after the response
    bool dropped = false;
    std::uint64_t requestNumber = 0;  // so that a late response is not sent for a later request
    Time since{};                     // when it entered this state
    std::list<std::shared_ptr<Connection>>::iterator position;  // in its list
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  using ConnectionList = std::list<ConnectionPtr>;  // longest in the state first

  void accept(int fd);
  void processInput(const ConnectionPtr& connection);
  void answer(const ConnectionPtr& connection, HttpResponse response);
  void setState(const ConnectionPtr& connection, State state) {
    setState(connection, state, connection->worker);
  }
  void setState(const ConnectionPtr& connection, State state, bool worker);
  void drop(const ConnectionPtr& connection);
  void closeOneToMakeRoom();
  void closeTimedOut();
  ConnectionList& connectionsIn(State state, bool worker) {
    return connectionLists_[static_cast<std::size_t>(state) + (worker ? kStates : 0)];
  }

  Loop& loop_;
  Log log_;
  std::size_t maxConnections_;
  std::size_t workerKeepAliveLimit_;  // with this many connections or more, workers' are not kept alive
  Handler handler_;
  WorkerPredicate isWorker_;
  std::array<ConnectionList, 2 * kStates> connectionLists_;
  std::size_t count_ = 0;
  std::uint64_t connectionsScanned_ = 0;
  Time limitLoggedAt_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Listener listener_;
};

}  // namespace cherryloft
