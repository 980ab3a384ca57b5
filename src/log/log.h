// Logging to standard error, filtered by LOG_LEVEL.
#pragma once

#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <memory>
#include <string>

namespace cherryloft {

using Log = std::shared_ptr<spdlog::logger>;

inline Log makeLog(const std::string& controllerName, const std::string& level) {
  auto log =
      std::make_shared<spdlog::logger>(controllerName, std::make_shared<spdlog::sinks::stderr_sink_st>());
  log->set_level(level == "debug"  ? spdlog::level::debug
                 : level == "info" ? spdlog::level::info
                                   : spdlog::level::err);
  log->set_pattern("%Y-%m-%d %H:%M:%S.%e %n %l %v");
  return log;
}

// Discards everything; for tests.
inline Log silentLog() {
  auto log = std::make_shared<spdlog::logger>("silent");
  log->set_level(spdlog::level::off);
  return log;
}

}  // namespace cherryloft
