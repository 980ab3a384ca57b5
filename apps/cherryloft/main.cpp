// Entry point of the controller daemon.
#include <CLI/CLI.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>

#include "daemon/daemon.h"

using namespace cherryloft;

namespace {

constexpr int kExitInvalidConfiguration = 2;

// The environment variable to read an option from: the deprecated name is honoured if only that one is set.
const char* environmentName(const char* name, const char* deprecatedName) {
  return std::getenv(name) == nullptr && std::getenv(deprecatedName) != nullptr ? deprecatedName : name;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"cherryloft, a cluster scheduler: one controller"};
  std::string settingsPath;
  bool checkOnly = false;
  Tuning tuning;
  std::int64_t leaseTtlMs = tuning.leaseTtl.count();
  double ownershipReturnDelayS = toSeconds(tuning.ownershipReturnDelay);
  double moveIntervalS = toSeconds(tuning.idleMachineMoveInterval);
  app.set_version_flag("--version", std::string("cherryloft ") + CHERRYLOFT_VERSION);
  app.add_option("--config", settingsPath, "settings file provided by the platform (JSON)")->required();
  app.add_flag("--check", checkOnly, "validate command line and settings, then exit");
  app.add_option("--lease-ttl-ms,--hold-ttl-ms", leaseTtlMs,
                 "time to live of this controller's lease in the state service")
      ->envname(environmentName("CHERRYLOFT_LEASE_TTL_MS", "CHERRYLOFT_HOLD_TTL_MS"))
      ->check(CLI::Range(500, 60000))
      ->capture_default_str();
  app.add_option("--return-ownership-after-s,--hand-back-after-s", ownershipReturnDelayS,
                 "how long a returning controller must hold its lease before it gets its shard back")
      ->envname(environmentName("CHERRYLOFT_RETURN_OWNERSHIP_AFTER_S", "CHERRYLOFT_HAND_BACK_AFTER_S"))
      ->check(CLI::Range(0.0, 3600.0))
      ->capture_default_str();
  app.add_option("--move-every-s", moveIntervalS, "interval at which idle machines are moved between shards")
      ->envname("CHERRYLOFT_MOVE_EVERY_S")
      ->check(CLI::Range(1.0, 3600.0))
      ->capture_default_str();
  app.add_option("--sample-size,--sample", tuning.sampleSize, "machines sampled for a placement (K)")
      ->envname(environmentName("CHERRYLOFT_SAMPLE_SIZE", "CHERRYLOFT_SAMPLE"))
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  app.add_option("--spare-fraction,--spare-share", tuning.spareFraction,
                 "capacity kept free beyond the demand, as a fraction of it")
      ->envname(environmentName("CHERRYLOFT_SPARE_FRACTION", "CHERRYLOFT_SPARE_SHARE"))
      ->check(CLI::Range(0.0, 10.0))
      ->capture_default_str();
  app.add_option("--seed", tuning.seed, "random seed; 0: a different one at each start")
      ->envname("CHERRYLOFT_SEED")
      ->capture_default_str();
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& e) {
    return app.exit(e);
  } catch (const CLI::ParseError& e) {
    std::cerr << "cherryloft: " << e.what() << "\n";
    return kExitInvalidConfiguration;
  }
  tuning.leaseTtl = Duration{leaseTtlMs};
  tuning.ownershipReturnDelay = seconds(ownershipReturnDelayS);
  tuning.idleMachineMoveInterval = seconds(moveIntervalS);
  try {
    auto settings = readSettings(settingsPath, tuning);
    if (checkOnly) {
      std::cout << "settings of " << settings.controller.value << " are good\n";
      return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* level = std::getenv("LOG_LEVEL");
    return runDaemon(settings, makeLog(settings.controller.value, level ? level : "error"));
  } catch (const std::exception& e) {
    std::cerr << "cherryloft: " << e.what() << "\n";
    return kExitInvalidConfiguration;
  }
}
