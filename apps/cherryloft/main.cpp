// The controller daemon.
#include <CLI/CLI.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>

#include "daemon/daemon.h"

using namespace cherryloft;

namespace {

constexpr int kBadCommandLineOrSettings = 2;

// The environment variable that an option is read from: its former name goes on working where the present one
// is not set.
const char* variableInUse(const char* name, const char* formerName) {
  return std::getenv(name) == nullptr && std::getenv(formerName) != nullptr ? formerName : name;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"cherryloft, a cluster scheduler: one controller"};
  std::string config;
  bool check = false;
  Tuning tuning;
  std::int64_t leaseTtlMs = tuning.leaseTtl.count();
  double returnOwnershipAfterS = inSeconds(tuning.ownershipReturnDelay);
  double moveS = inSeconds(tuning.idleMachineMoveInterval);
  app.set_version_flag("--version", std::string("cherryloft ") + CHERRYLOFT_VERSION);
  app.add_option("--config", config, "settings file that the platform hands over (JSON)")->required();
  app.add_flag("--check", check, "check command line and settings, then exit");
  app.add_option("--lease-ttl-ms,--hold-ttl-ms", leaseTtlMs,
                 "time to live of this controller's lease in the state service")
      ->envname(variableInUse("CHERRYLOFT_LEASE_TTL_MS", "CHERRYLOFT_HOLD_TTL_MS"))
      ->check(CLI::Range(500, 60000))
      ->capture_default_str();
  app.add_option("--return-ownership-after-s,--hand-back-after-s", returnOwnershipAfterS,
                 "how long a controller must be back before it gets its shard")
      ->envname(variableInUse("CHERRYLOFT_RETURN_OWNERSHIP_AFTER_S", "CHERRYLOFT_HAND_BACK_AFTER_S"))
      ->check(CLI::Range(0.0, 3600.0))
      ->capture_default_str();
  app.add_option("--move-every-s", moveS, "how often idle machines move between shards")
      ->envname("CHERRYLOFT_MOVE_EVERY_S")
      ->check(CLI::Range(1.0, 3600.0))
      ->capture_default_str();
  app.add_option("--sample-size,--sample", tuning.sampleSize, "machines sampled for a placement (K)")
      ->envname(variableInUse("CHERRYLOFT_SAMPLE_SIZE", "CHERRYLOFT_SAMPLE"))
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  app.add_option("--spare-fraction,--spare-share", tuning.spareFraction,
                 "capacity kept above what is asked for, as a fraction of it")
      ->envname(variableInUse("CHERRYLOFT_SPARE_FRACTION", "CHERRYLOFT_SPARE_SHARE"))
      ->check(CLI::Range(0.0, 10.0))
      ->capture_default_str();
  app.add_option("--seed", tuning.seed, "seed of all random choices, 0 for a new one each time")
      ->envname("CHERRYLOFT_SEED")
      ->capture_default_str();
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& e) {
    return app.exit(e);
  } catch (const CLI::ParseError& e) {
    std::cerr << "cherryloft: " << e.what() << "\n";
    return kBadCommandLineOrSettings;
  }
  tuning.leaseTtl = Duration{leaseTtlMs};
  tuning.ownershipReturnDelay = seconds(returnOwnershipAfterS);
  tuning.idleMachineMoveInterval = seconds(moveS);
  try {
    auto settings = readSettings(config, tuning);
    if (check) {
      std::cout << "settings of " << settings.controller.value << " are good\n";
      return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* level = std::getenv("LOG_LEVEL");
    return runDaemon(settings, makeLog(settings.controller.value, level ? level : "error"));
  } catch (const std::exception& e) {
    std::cerr << "cherryloft: " << e.what() << "\n";
    return kBadCommandLineOrSettings;
  }
}
