#include "daemon/daemon.h"

#include <cerrno>
#include <cstring>
#include <thread>

#include "controller/controller.h"
#include "mesh/transport.h"
#include "net/server.h"

namespace cherryloft {
namespace {

constexpr std::size_t kIdlePerAddress = 6;
constexpr unsigned kListenTries = 50;
constexpr Duration kListenAgain{100};

class LoopRuntime : public Runtime {
 public:
  LoopRuntime(Loop& loop, HttpClient& client) : loop_(loop), client_(client) {}
  void attach(mesh::Transport* t) { transport_ = t; }
  Time now() const override { return loop_.now(); }
  WallTime wall() const override { return loop_.wall(); }
  void after(Duration d, std::function<void()> f) override { loop_.after(d, std::move(f)); }
  void call(const Address& to, HttpRequest r, Duration deadline, HttpCallback done) override {
    client_.call(to, std::move(r), deadline, std::move(done));
  }
  void mesh(std::uint32_t to, const mesh::Frame& f) override { transport_->send(to, f); }
  void remesh(std::uint32_t to) override { transport_->reset(to); }

 private:
  Loop& loop_;
  HttpClient& client_;
  mesh::Transport* transport_ = nullptr;
};

int listening(const Address& at) {
  int fd = listenWithRetries(at, kListenTries, [] { std::this_thread::sleep_for(kListenAgain); });
  if (fd < 0) throw SettingsError("cannot listen on " + at.text() + ": " + std::strerror(errno));
  return fd;
}

}  // namespace

int runDaemon(const Settings& settings, Log log) {
  Loop loop;
  auto kept = settings.reservedSockets();
  HttpClient client(loop, kIdlePerAddress, kept / 4, kept / 2, {settings.state, settings.cloud});
  LoopRuntime runtime(loop, client);
  std::vector<Address> addresses(settings.size());
  for (const auto& s : settings.siblings) addresses[settings.preferredShard(s.controller).value] = s.address;
  auto seed = settings.tuning.seed;
  if (seed == 0)
    seed =
        std::hash<std::string>{}(settings.controller.value) ^ static_cast<std::uint64_t>(loop.wall().value);
  Controller controller(settings, runtime, log, seed);
  int front = listening(settings.front);
  mesh::Transport transport(loop, listening(settings.mesh), addresses,
                            settings.preferredShard(settings.controller).value,
                            [&controller](const mesh::Frame& f) { controller.handleFrame(f); });
  runtime.attach(&transport);
  HttpServer server(
      loop, log, front, settings.fdLimit - kept,
      [&controller](HttpRequest r, Responder done) {
        controller.handleRequest(std::move(r), std::move(done));
      },
      &Controller::isWorkerRequest);
  controller.start();
  log->info("serving: address={}", settings.front.text());
  loop.run();
  return 0;
}

}  // namespace cherryloft
