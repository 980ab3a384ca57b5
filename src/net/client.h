// HTTP client with a pool of idle connections per address, a deadline for every call and a limit of
// concurrent calls.
#pragma once

#include <list>
#include <map>
#include <set>

#include "net/http.h"
#include "net/tcp.h"

namespace cherryloft {

struct HttpResult {
  enum class Outcome {
    Answered,  // `response` is the server's response
    NotSent,   // the request was not sent: there was no connection
    Unknown,   // the server may have processed the request, or may yet do so
  };
  Outcome outcome = Outcome::Unknown;
  HttpResponse response;
  bool answered(int status) const { return outcome == Outcome::Answered && response.status == status; }
};
using HttpCallback = std::function<void(HttpResult)>;

class HttpClient {
 public:
  // Calls beyond maxCalls are not sent, except to the exempt addresses: unresponsive machines must not use up
  // the sockets needed for the state service and the cloud.
  HttpClient(Loop& loop, std::size_t maxIdlePerAddress, std::size_t maxIdle, std::size_t maxCalls,
             std::set<Address> exemptAddresses)
      : loop_(loop),
        maxIdlePerAddress_(maxIdlePerAddress),
        maxIdle_(maxIdle),
        maxCalls_(maxCalls),
        exemptAddresses_(std::move(exemptAddresses)) {}
  ~HttpClient();
  // `done` is called once, at the latest after `deadline`.
  void call(const Address& to, HttpRequest request, Duration deadline, HttpCallback done);

 private:
  struct IdleConnection {
    Address to;
    std::shared_ptr<Stream> stream;
  };
  struct Call {
    Address to;
    std::shared_ptr<Stream> stream;
    HttpParser parser{HttpParser::Kind::Response, std::size_t{16} * 1024 * 1024};
    HttpCallback done;
  };
  using CallPtr = std::shared_ptr<Call>;

  std::shared_ptr<Stream> takeIdle(const Address& to);
  void onData(const CallPtr& call, std::string_view bytes);
  void complete(const CallPtr& call, HttpResult result);
  void addIdle(const Address& to, std::shared_ptr<Stream> stream);

  Loop& loop_;
  std::size_t maxIdlePerAddress_, maxIdle_, maxCalls_;
  std::set<Address> exemptAddresses_;
  std::list<IdleConnection> idle_;  // longest idle first
  std::map<Call*, CallPtr> calls_;
};

}  // namespace cherryloft
