// Umbrella header for the basic value types: ids, fencing tokens and times.
#pragma once

#include "base/fencing_token.h"
#include "base/ids.h"
#include "base/time.h"
