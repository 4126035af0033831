#pragma once

#include <QtGlobal>

namespace balsamdrift::rig {

/// Processor time in seconds, user and system, that all threads of a process have used.
double cpu_seconds(qint64 pid);

/// Resident memory of a process in bytes.
double resident_bytes(qint64 pid);

}  // namespace balsamdrift::rig
