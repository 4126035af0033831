#include "rig/site/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <string>

namespace balsamdrift::rig {
namespace {

std::string status_file(qint64 pid, const char* name)
{
    return std::string("/proc/").append(std::to_string(pid)).append("/").append(name);
}

}  // namespace

double cpu_seconds(qint64 pid)
{
    std::ifstream in(status_file(pid, "stat"));
    std::string word;
    double ticks = 0;
    constexpr int user_field = 14;
    constexpr int system_field = 15;
    for (int n = 1; n <= system_field && in >> word; ++n) {
        ticks += n >= user_field ? std::stod(word) : 0;
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double resident_bytes(qint64 pid)
{
    std::ifstream in(status_file(pid, "statm"));
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

}  // namespace balsamdrift::rig
