#include "net/server.h"

#include <utility>

namespace cherryloft {
namespace {
constexpr Duration kSlowRequest{10'000};  // a request must be whole within this
constexpr Duration kIdle{75'000};
constexpr Duration kSweep{1'000};
constexpr Duration kSayAgain{10'000};
// Bytes of requests sent before the answer to the one before.
constexpr std::size_t kMostAhead = std::size_t{128} * 1024;
}  // namespace

HttpServer::HttpServer(Loop& loop, Log log, int listenFd, std::size_t maxConnections, Handler handler,
                       IsWorker isWorker)
    : loop_(loop),
      log_(std::move(log)),
      max_(maxConnections),
      crowded_(maxConnections - maxConnections / 8),
      handler_(std::move(handler)),
      isWorker_(std::move(isWorker)),
      listener_(loop, listenFd, [this](int fd) { accepted(fd); }) {
  sweep();
}

void HttpServer::accepted(int fd) {
  if (count_ >= max_) closeOneForNewcomer();
  auto c = std::make_shared<Connection>();
  c->stream = std::make_shared<Stream>(loop_, fd, false);
  c->since = loop_.now();
  auto& l = line(c->state, c->worker);
  c->at = l.insert(l.end(), c);
  ++count_;
  std::weak_ptr<Connection> weak = c;
  c->stream->start(
      [this, weak](std::string_view bytes) {
        auto p = weak.lock();
        if (!p || p->state == State::Closing) return;
        p->parser.feed(bytes);
        // Nobody may fill our memory while an answer is under way.
        if (p->parser.buffered() > kMostAhead) return drop(p);
        if (p->state == State::Idle) become(p, State::Receiving);
        received(p);
      },
      [this, weak] {
        if (auto p = weak.lock()) drop(p);
      });
}

void HttpServer::become(const Ptr& c, State s, bool worker) {
  auto& from = line(c->state, c->worker);
  auto& to = line(s, worker);
  c->state = s;
  c->worker = worker;
  c->since = loop_.now();
  to.splice(to.end(), from, c->at);
}

void HttpServer::received(const Ptr& c) {
  if (c->state == State::Answering) return;
  switch (c->parser.next()) {
    case HttpParser::Status::More:
      return;
    case HttpParser::Status::Ready:
      break;
    case HttpParser::Status::TooLarge:
      return answer(c, {400, R"({"error":"body too large"})", true, 0});
    case HttpParser::Status::Bad:
      return answer(c, {400, R"({"error":"malformed request"})", true, 0});
  }
  c->lastRequest = c->parser.request().close;
  become(c, State::Answering, isWorker_(c->parser.request()));
  std::weak_ptr<Connection> weak = c;
  handler_(std::move(c->parser.request()),
           [this, weak, number = ++c->request, alive = std::weak_ptr<bool>(alive_)](HttpResponse r) {
             auto p = weak.lock();
             if (!alive.lock() || !p || p->state != State::Answering || p->request != number) return;
             answer(p, std::move(r));
           });
}

void HttpServer::answer(const Ptr& c, HttpResponse r) {
  // More workers report here than there are sockets: each of them comes back with its next report, and none
  // loses a request for another's sake.
  r.close = r.close || c->lastRequest || (c->worker && count_ >= crowded_);
  become(c, r.close ? State::Closing : c->parser.idle() ? State::Idle : State::Receiving);
  c->stream->send(encodeResponse(r));
  if (r.close) return c->stream->finish();
  if (c->state == State::Idle) return;
  // Bytes of a next request are here already; a turn of its own keeps the stack flat.
  std::weak_ptr<Connection> weak = c;
  loop_.after(Duration{0}, [this, weak, alive = std::weak_ptr<bool>(alive_)] {
    auto p = weak.lock();
    if (alive.lock() && p && p->state == State::Receiving) received(p);
  });
}

void HttpServer::drop(const Ptr& c) {
  // The caller's may be the list's own, which is erased below: a copy keeps the connection.
  auto keep = c;  // NOLINT(performance-unnecessary-copy-initialization)
  if (std::exchange(keep->gone, true)) return;
  keep->stream->close();
  line(keep->state, keep->worker).erase(keep->at);
  --count_;
}

// Those who wait for nothing before those who wait for an answer, and users before workers, whose leases hang
// on their connections.
void HttpServer::closeOneForNewcomer() {
  if (auto now = loop_.now(); now - saidFull_ > kSayAgain) {
    saidFull_ = now;
    log_->info("connection limit reached: limit={}", max_);
  }
  for (auto s : {State::Closing, State::Idle, State::Receiving, State::Answering})
    for (bool worker : {false, true}) {
      ++walked_;
      if (auto& l = line(s, worker); !l.empty()) return drop(l.front());
    }
}

void HttpServer::sweep() {
  auto now = loop_.now();
  auto end = [&](State s, Duration after) {
    for (bool worker : {false, true})
      for (auto& l = line(s, worker); !l.empty() && now - l.front()->since > after; ++walked_)
        drop(l.front());
  };
  end(State::Receiving, kSlowRequest);
  end(State::Closing, kSlowRequest);
  end(State::Idle, kIdle);
  loop_.after(kSweep, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.lock()) sweep();
  });
}

}  // namespace cherryloft
