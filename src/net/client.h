// HTTP client: a pool of kept connections per address, every call with a deadline, and so many calls at a
// time.
#pragma once

#include <list>
#include <map>
#include <set>

#include "net/http.h"
#include "net/tcp.h"

namespace cherryloft {

struct HttpResult {
  enum class Outcome {
    Answered,  // response holds the answer
    NotSent,   // never left: the connection did not come about
    Unknown,   // it may have been carried out, or may still be
  };
  Outcome outcome = Outcome::Unknown;
  HttpResponse response;
  bool answered(int status) const { return outcome == Outcome::Answered && response.status == status; }
};
using HttpCallback = std::function<void(HttpResult)>;

class HttpClient {
 public:
  // Calls beyond maxCalls are not sent, but for those to vital addresses: machines that don't answer must not
  // take the sockets that the store and the cloud are spoken to with.
  HttpClient(Loop& loop, std::size_t maxIdlePerAddress, std::size_t maxIdle, std::size_t maxCalls,
             std::set<Address> vital)
      : loop_(loop),
        maxIdlePerAddress_(maxIdlePerAddress),
        maxIdle_(maxIdle),
        maxCalls_(maxCalls),
        vital_(std::move(vital)) {}
  ~HttpClient();
  void call(const Address& to, HttpRequest request, Duration deadline, HttpCallback done);

 private:
  struct Kept {
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
  void received(const CallPtr& call, std::string_view bytes);
  void settle(const CallPtr& call, HttpResult result);
  void keep(const Address& to, std::shared_ptr<Stream> stream);

  Loop& loop_;
  std::size_t maxIdlePerAddress_, maxIdle_, maxCalls_;
  std::set<Address> vital_;
  std::list<Kept> idle_;  // longest idle first
  std::map<Call*, CallPtr> calls_;
};

}  // namespace cherryloft
