#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace balsamdrift::soak {

/// How a process of the system is started.
struct launch_options {
    std::vector<std::string> words;
    std::vector<std::string> environment;
    std::string current_folder;
    std::string log_path;
    int descriptors = 0;
    /// Limit of the size of files; 0: none.
    int file_limit_bytes = 0;
    /// Processors that the process may use; 0: all.
    int cores = 0;
};

/// Starts a process that ends with this one. Its output goes to the end of the log.
pid_t launch_process(launch_options options);

/// Processor time that a running process has used, seconds; 0 if it does not run.
double processor_seconds(pid_t pid);
/// Highest resident memory of a running process, KiB; 0 if it does not run.
long peak_memory_kb(pid_t pid);

/// The last lines of a file, for a report.
std::string last_lines(const std::string& path);

}  // namespace balsamdrift::soak
