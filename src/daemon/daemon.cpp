#include "daemon/daemon.h"

#include <cerrno>
#include <cstring>
#include <thread>

#include "controller/controller.h"
#include "mesh/transport.h"
#include "net/server.h"

namespace cherryloft {
namespace {

constexpr std::size_t kMaxIdleConnectionsPerAddress = 6;
constexpr unsigned kListenTries = 50;
constexpr Duration kListenRetryInterval{100};

class LoopRuntime : public Runtime {
 public:
  LoopRuntime(Loop& loop, HttpClient& client) : loop_(loop), client_(client) {}
  void setTransport(mesh::Transport* transport) { transport_ = transport; }
  Time now() const override { return loop_.now(); }
  WallTime wall() const override { return loop_.wall(); }
  void after(Duration delay, std::function<void()> callback) override {
    loop_.after(delay, std::move(callback));
  }
  void call(const Address& to, HttpRequest request, Duration deadline, HttpCallback done) override {
    client_.call(to, std::move(request), deadline, std::move(done));
  }
  void mesh(std::uint32_t to, const mesh::Frame& frame) override { transport_->send(to, frame); }
  void resetPeerConnection(std::uint32_t to) override { transport_->reset(to); }

 private:
  Loop& loop_;
  HttpClient& client_;
  mesh::Transport* transport_ = nullptr;
};

int listenOrThrow(const Address& address) {
  int fd =
      listenWithRetries(address, kListenTries, [] { std::this_thread::sleep_for(kListenRetryInterval); });
  if (fd < 0) throw SettingsError("cannot listen on " + address.text() + ": " + std::strerror(errno));
  return fd;
}

}  // namespace

int runDaemon(const Settings& settings, Log log) {
  Loop loop;
  auto reserved = settings.reservedSockets();
  HttpClient client(loop, kMaxIdleConnectionsPerAddress, reserved / 4, reserved / 2,
                    {settings.state, settings.cloud});
  LoopRuntime runtime(loop, client);
  std::vector<Address> addresses(settings.size());
  for (const auto& sibling : settings.siblings)
    addresses[settings.preferredShard(sibling.controller).value] = sibling.address;
  auto seed = settings.tuning.seed;
  if (seed == 0)
    seed =
        std::hash<std::string>{}(settings.controller.value) ^ static_cast<std::uint64_t>(loop.wall().value);
  Controller controller(settings, runtime, log, seed);
  int frontFd = listenOrThrow(settings.front);
  mesh::Transport transport(loop, listenOrThrow(settings.mesh), addresses,
                            settings.preferredShard(settings.controller).value,
                            [&controller](const mesh::Frame& frame) { controller.handleFrame(frame); });
  runtime.setTransport(&transport);
  HttpServer server(
      loop, log, frontFd, settings.fdLimit - reserved,
      [&controller](HttpRequest request, Responder done) {
        controller.handleRequest(std::move(request), std::move(done));
      },
      &Controller::isHeartbeatRequest);
  controller.start();
  log->info("serving: address={}", settings.front.text());
  loop.run();
  return 0;
}

}  // namespace cherryloft
