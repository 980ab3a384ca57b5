// Runs a Controller on the libev event loop with TCP sockets.
#pragma once

#include "config/settings.h"
#include "log/log.h"

namespace cherryloft {

// Runs until the process is terminated. Throws SettingsError if it cannot listen on one of its addresses.
int runDaemon(const Settings& settings, Log log);

}  // namespace cherryloft
