// Puts a Controller on the libev loop with real sockets.
#pragma once

#include "config/settings.h"
#include "log/log.h"

namespace cherryloft {

// Runs until the process is killed. Throws SettingsError when an address cannot be listened on.
int runDaemon(const Settings& settings, Log log);

}  // namespace cherryloft
