#include "net/server.h"

#include <utility>

namespace cherryloft {
namespace {
// For receiving a request, and for closing after the last response.
constexpr Duration kRequestTimeout{10'000};
constexpr Duration kIdleTimeout{75'000};
constexpr Duration kTimeoutCheckInterval{1'000};
constexpr Duration kLimitLogInterval{10'000};
// Request bytes that a peer may send before the previous request is answered.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{128} * 1024;
}  // namespace

HttpServer::HttpServer(Loop& loop, Log log, int listenFd, std::size_t maxConnections, Handler handler,
                       WorkerPredicate isWorker)
    : loop_(loop),
      log_(std::move(log)),
      maxConnections_(maxConnections),
      workerKeepAliveLimit_(maxConnections - maxConnections / 8),
      handler_(std::move(handler)),
      isWorker_(std::move(isWorker)),
      listener_(loop, listenFd, [this](int fd) { accept(fd); }) {
  closeTimedOut();
}

void HttpServer::accept(int fd) {
  if (count_ >= maxConnections_) closeOneToMakeRoom();
  auto connection = std::make_shared<Connection>();
  connection->stream = std::make_shared<Stream>(loop_, fd, false);
  connection->since = loop_.now();
  auto& connections = connectionsIn(connection->state, connection->worker);
  connection->position = connections.insert(connections.end(), connection);
  ++count_;
  std::weak_ptr<Connection> weak = connection;
  connection->stream->start(
      [this, weak](std::string_view bytes) {
        auto open = weak.lock();
        if (!open || open->state == State::Closing) return;
        open->parser.feed(bytes);
        // Bounds the memory that a peer can use up while its previous request is being handled.
        if (open->parser.buffered() > kMaxPipelinedBytes) return drop(open);
        if (open->state == State::Idle) setState(open, State::Receiving);
        processInput(open);
      },
      [this, weak] {
        if (auto open = weak.lock()) drop(open);
      });
}

void HttpServer::setState(const ConnectionPtr& connection, State state, bool worker) {
  auto& from = connectionsIn(connection->state, connection->worker);
  auto& to = connectionsIn(state, worker);
  connection->state = state;
  connection->worker = worker;
  connection->since = loop_.now();
  to.splice(to.end(), from, connection->position);
}

void HttpServer::processInput(const ConnectionPtr& connection) {
  if (connection->state == State::Answering) return;
  switch (connection->parser.next()) {
    case HttpParser::Status::Incomplete:
      return;
    case HttpParser::Status::Complete:
      break;
    case HttpParser::Status::TooLarge:
      return answer(connection, {400, R"({"error":"body too large"})", true, 0});
    case HttpParser::Status::Malformed:
      return answer(connection, {400, R"({"error":"malformed request"})", true, 0});
  }
  connection->lastRequest = connection->parser.request().close;
  setState(connection, State::Answering, isWorker_(connection->parser.request()));
  std::weak_ptr<Connection> weak = connection;
  handler_(std::move(connection->parser.request()),
           [this, weak, number = ++connection->requestNumber,
            alive = std::weak_ptr<bool>(alive_)](HttpResponse response) {
             auto open = weak.lock();
             if (!alive.lock() || !open || open->state != State::Answering || open->requestNumber != number)
               return;
             answer(open, std::move(response));
           });
}

void HttpServer::answer(const ConnectionPtr& connection, HttpResponse response) {
  // There may be more workers than sockets. A worker whose connection is closed after a response reconnects
  // for its next heartbeat, and no pending request is lost.
  response.close =
      response.close || connection->lastRequest || (connection->worker && count_ >= workerKeepAliveLimit_);
  setState(connection, response.close              ? State::Closing
                       : connection->parser.idle() ? State::Idle
                                                   : State::Receiving);
  connection->stream->send(encodeResponse(response));
  if (response.close) return connection->stream->closeAfterWrite();
  if (connection->state == State::Idle) return;
  // Part of the next request has been received already. Handling it in a new loop iteration bounds the stack
  // depth.
  std::weak_ptr<Connection> weak = connection;
  loop_.after(Duration{0}, [this, weak, alive = std::weak_ptr<bool>(alive_)] {
    auto open = weak.lock();
    if (alive.lock() && open && open->state == State::Receiving) processInput(open);
  });
}

void HttpServer::drop(const ConnectionPtr& connection) {
  // `connection` may refer to the list's element, which is erased below: the copy keeps the connection
  // alive.
  auto copy = connection;  // NOLINT(performance-unnecessary-copy-initialization)
  if (std::exchange(copy->dropped, true)) return;
  copy->stream->close();
  connectionsIn(copy->state, copy->worker).erase(copy->position);
  --count_;
}

// Connections without a pending request before those awaiting a response; within a state users before
// workers, whose leases depend on their connections.
void HttpServer::closeOneToMakeRoom() {
  if (auto now = loop_.now(); now - limitLoggedAt_ > kLimitLogInterval) {
    limitLoggedAt_ = now;
    log_->info("connection limit reached: limit={}", maxConnections_);
  }
  for (auto state : {State::Closing, State::Idle, State::Receiving, State::Answering})
    for (bool worker : {false, true}) {
      ++connectionsScanned_;
      if (auto& connections = connectionsIn(state, worker); !connections.empty())
        return drop(connections.front());
    }
}

void HttpServer::closeTimedOut() {
  auto now = loop_.now();
  auto closeOlderThan = [&](State state, Duration timeout) {
    for (bool worker : {false, true})
      for (auto& connections = connectionsIn(state, worker);
           !connections.empty() && now - connections.front()->since > timeout; ++connectionsScanned_)
        drop(connections.front());
  };
  closeOlderThan(State::Receiving, kRequestTimeout);
  closeOlderThan(State::Closing, kRequestTimeout);
  closeOlderThan(State::Idle, kIdleTimeout);
  loop_.after(kTimeoutCheckInterval, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.lock()) closeTimedOut();
  });
}

}  // namespace cherryloft
