#include "rig/site/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <string>

namespace balsamdrift::rig {
namespace {

/// Path of a file of /proc that describes a process.
std::string proc_file(qint64 pid, const char* name)
{
    return std::string("/proc/").append(std::to_string(pid)).append("/").append(name);
}

}  // namespace

double cpu_seconds(qint64 pid)
{
    std::ifstream in(proc_file(pid, "stat"));
    std::string word;
    double ticks = 0;
    // Fields of /proc/PID/stat, counted from 1, in clock ticks.
    constexpr int user_time_field = 14;
    constexpr int system_time_field = 15;
    for (int n = 1; n <= system_time_field && in >> word; ++n) {
        ticks += n >= user_time_field ? std::stod(word) : 0;
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double resident_bytes(qint64 pid)
{
    std::ifstream in(proc_file(pid, "statm"));
    // The first two fields of /proc/PID/statm: total and resident size in pages.
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

}  // namespace balsamdrift::rig
