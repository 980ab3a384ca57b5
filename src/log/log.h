// Lines on standard error, in the amount that LOG_LEVEL sets.
#pragma once

#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <memory>
#include <string>

namespace cherryloft {

using Log = std::shared_ptr<spdlog::logger>;

inline Log makeLog(const std::string& controller, const std::string& level) {
  auto log = std::make_shared<spdlog::logger>(controller, std::make_shared<spdlog::sinks::stderr_sink_st>());
  log->set_level(level == "debug"  ? spdlog::level::debug
                 : level == "info" ? spdlog::level::info
                                   : spdlog::level::err);
  log->set_pattern("%Y-%m-%d %H:%M:%S.%e %n %l %v");
  return log;
}

// For tests and checks that must not write.
inline Log silentLog() {
  auto log = std::make_shared<spdlog::logger>("silent");
  log->set_level(spdlog::level::off);
  return log;
}

}  // namespace cherryloft
