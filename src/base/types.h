// All of the small types: ids, fencing tokens, times.
#pragma once

#include "base/fencing_token.h"
#include "base/ids.h"
#include "base/time.h"
