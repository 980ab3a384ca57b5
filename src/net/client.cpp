#include "net/client.h"

namespace cherryloft {

HttpClient::~HttpClient() {
  for (auto& [_, call] : calls_) call->stream->close();
  for (auto& connection : idle_) connection.stream->close();
}

std::shared_ptr<Stream> HttpClient::takeIdle(const Address& to) {
  for (auto it = idle_.end(); it != idle_.begin();) {
    --it;
    if (it->to != to) continue;
    auto stream = it->stream;
    idle_.erase(it);
    return stream;
  }
  return nullptr;
}

void HttpClient::call(const Address& to, HttpRequest request, Duration deadline, HttpCallback done) {
  if (calls_.size() >= maxCalls_ && exemptAddresses_.count(to) == 0)
    return loop_.after(Duration{0}, [done = std::move(done)] { done({HttpResult::Outcome::NotSent, {}}); });
  auto call = std::make_shared<Call>();
  call->to = to;
  call->done = std::move(done);
  bool isNew = false;
  call->stream = takeIdle(to);
  if (!call->stream) {
    int fd = connectTo(to);
    if (fd < 0) {
      loop_.after(Duration{0}, [done = std::move(call->done)] { done({HttpResult::Outcome::NotSent, {}}); });
      return;
    }
    call->stream = std::make_shared<Stream>(loop_, fd, true);
    isNew = true;
  }
  calls_[call.get()] = call;
  std::weak_ptr<Call> weak = call;
  // Without an established connection the server cannot have received the request.
  auto onFailure = [this, weak] {
    if (auto pending = weak.lock())
      complete(
          pending,
          {pending->stream->connected() ? HttpResult::Outcome::Unknown : HttpResult::Outcome::NotSent, {}});
  };
  auto onClose = [this, weak, onFailure] {
    auto pending = weak.lock();
    if (pending && pending->parser.end() == HttpParser::Status::Complete)
      complete(pending, {HttpResult::Outcome::Answered, std::move(pending->parser.response())});
    else
      onFailure();
  };
  auto onBytes = [this, weak](std::string_view bytes) {
    if (auto pending = weak.lock()) onData(pending, bytes);
  };
  if (isNew)
    call->stream->start(onBytes, onClose);
  else
    call->stream->setHandlers(onBytes, onClose);
  call->stream->send(encodeRequest(request, to.text()));
  loop_.after(deadline, onFailure);
}

void HttpClient::onData(const CallPtr& call, std::string_view bytes) {
  call->parser.feed(bytes);
  switch (call->parser.next()) {
    case HttpParser::Status::Incomplete:
      return;
    case HttpParser::Status::Complete:
      return complete(call, {HttpResult::Outcome::Answered, std::move(call->parser.response())});
    default:
      return complete(call, {HttpResult::Outcome::Unknown, {}});
  }
}

void HttpClient::complete(const CallPtr& call, HttpResult result) {
  if (calls_.erase(call.get()) == 0) return;
  auto stream = call->stream;
  if (result.outcome == HttpResult::Outcome::Answered && !result.response.close && call->parser.idle())
    addIdle(call->to, stream);
  else
    stream->close();
  call->done(std::move(result));
}

void HttpClient::addIdle(const Address& to, std::shared_ptr<Stream> stream) {
  std::size_t sameAddress = 0;
  for (const auto& connection : idle_) sameAddress += connection.to == to;
  if (sameAddress >= maxIdlePerAddress_ || !stream->open()) return stream->close();
  if (idle_.size() >= maxIdle_) {
    idle_.front().stream->close();
    idle_.pop_front();
  }
  auto drop = [this, raw = stream.get()] {
    idle_.remove_if([raw](const IdleConnection& connection) {
      if (connection.stream.get() == raw) connection.stream->close();
      return connection.stream.get() == raw;
    });
  };
  // Unsolicited bytes or a close by the peer make an idle connection unusable.
  stream->setHandlers([drop](std::string_view) { drop(); }, drop);
  idle_.push_back({to, std::move(stream)});
}

}  // namespace cherryloft
