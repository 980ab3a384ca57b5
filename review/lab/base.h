// Common parts of the stand-ins: the loop, the record of what was sent, answered and run, and small helpers.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "log/log.h"
#include "net/client.h"
#include "net/loop.h"
#include "net/server.h"

namespace lab {

using cherryloft::Address;
using cherryloft::Duration;
using cherryloft::HttpClient;
using cherryloft::HttpRequest;
using cherryloft::HttpResponse;
using cherryloft::HttpResult;
using cherryloft::HttpServer;
using cherryloft::Loop;
using cherryloft::Responder;
using cherryloft::Stream;
using Json = nlohmann::json;

// Milliseconds since the start of the run.
using Ms = std::int64_t;

struct Env {
  Loop loop;
  HttpClient client{loop, 4, 2000, 100000, {}};
  std::mt19937_64 rng;
  FILE* record = nullptr;
  cherryloft::Time startedAt{};
  cherryloft::Log log = cherryloft::silentLog();

  Env(std::uint64_t seed, FILE* out) : rng(seed), record(out) { startedAt = loop.now(); }
  Ms now() const { return (loop.now() - startedAt).count(); }
  void after(Ms delay, std::function<void()> f) { loop.after(Duration{delay}, std::move(f)); }
  double uniform(double low, double high) { return std::uniform_real_distribution<double>(low, high)(rng); }
  bool chance(double p) { return uniform(0, 1) < p; }
  unsigned pick(unsigned n) { return static_cast<unsigned>(rng() % n); }
  void note(const std::string& text) const {
    std::fprintf(record, "%9.3f %s\n", static_cast<double>(now()) / 1000.0, text.c_str());
    std::fflush(record);
  }
};

inline Address addressOf(int fd) {
  sockaddr_in sa{};
  socklen_t length = sizeof sa;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&sa), &length);
  char text[INET_ADDRSTRLEN];
  ::inet_ntop(AF_INET, &sa.sin_addr, text, sizeof text);
  return {text, ntohs(sa.sin_port)};
}

// A loopback address of this process's own, so that runs side by side do not take each other's ports.
inline std::string ownLoopbackAddress() {
  auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + pid / 65536 % 200) + "." + std::to_string(pid / 256 % 256) + "." +
         std::to_string(1 + pid % 250);
}

// Ports that are kept for controllers, which listen on them later.
inline std::set<std::uint16_t>& keptPorts() {
  static std::set<std::uint16_t> ports;
  return ports;
}

// A listening socket on a port that is free and kept for nobody.
inline int listenAnywhere() {
  std::vector<int> passedOver;
  int fd = cherryloft::listenOn({ownLoopbackAddress(), 0});
  while (fd >= 0 && keptPorts().count(addressOf(fd).port) > 0) {
    passedOver.push_back(fd);
    fd = cherryloft::listenOn({ownLoopbackAddress(), 0});
  }
  for (int other : passedOver) ::close(other);
  return fd;
}

// Keeps a port that is free now for a controller.
inline Address freeAddress() {
  int fd = listenAnywhere();
  auto address = addressOf(fd);
  ::close(fd);
  keptPorts().insert(address.port);
  return address;
}

// An HTTP server on a free port.
struct Service {
  std::unique_ptr<HttpServer> server;
  Address address;
  void open(Env& env, HttpServer::Handler handler, const Address& at = {}) {
    int fd = at.port != 0 ? cherryloft::listenOn(at) : listenAnywhere();
    if (fd < 0) {
      env.note("cannot listen on " + at.text());
      std::exit(2);
    }
    address = addressOf(fd);
    server = std::make_unique<HttpServer>(env.loop, env.log, fd, 4000, std::move(handler),
                                          [](const HttpRequest&) { return false; });
  }
};

inline std::map<std::string, std::string> queryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  auto at = target.find('?');
  while (at != std::string::npos) {
    auto next = target.find('&', at + 1);
    auto part = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    auto equals = part.find('=');
    query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
    at = next;
  }
  return query;
}

inline HttpResponse reply(int status, const Json& body) { return {status, body.dump(), false, 0}; }

}  // namespace lab
