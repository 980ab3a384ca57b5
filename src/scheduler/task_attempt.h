// One execution of a task on a worker; a task may be attempted several times.
#pragma once

#include <compare>

#include "base/types.h"

namespace cherryloft {

struct TaskAttempt {
  TaskId task;
  Attempt attempt;
  friend auto operator<=>(const TaskAttempt&, const TaskAttempt&) = default;
  friend bool operator==(const TaskAttempt&, const TaskAttempt&) = default;
};

}  // namespace cherryloft
