#pragma once

#include <QtGlobal>

namespace balsamdrift::rig {

/// Processor seconds that a process has used, with its threads.
double cpu_seconds(qint64 pid);

/// Resident memory of a process in bytes.
double resident_bytes(qint64 pid);

}  // namespace balsamdrift::rig
