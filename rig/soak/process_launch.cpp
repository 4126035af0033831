#include "rig/soak/process_launch.h"

#include <fcntl.h>
#include <sched.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

namespace balsamdrift::soak {

namespace {

constexpr std::size_t tail_bytes = 1500;

/// Restricts the calling process to so many of the processors that it may use.
void limit_processors(int count)
{
    cpu_set_t allowed;
    CPU_ZERO(&allowed);
    ::sched_getaffinity(0, sizeof allowed, &allowed);
    cpu_set_t chosen;
    CPU_ZERO(&chosen);
    for (int n = 0; n < CPU_SETSIZE && count > 0; ++n) {
        if (CPU_ISSET(n, &allowed)) {
            CPU_SET(n, &chosen);
            --count;
        }
    }
    ::sched_setaffinity(0, sizeof chosen, &chosen);
}

void limit(__rlimit_resource_t what, int value)
{
    const rlimit both{static_cast<rlim_t>(value), static_cast<rlim_t>(value)};
    ::setrlimit(what, &both);
}

std::vector<char*> pointers(std::vector<std::string>& words)
{
    std::vector<char*> out;
    out.reserve(words.size() + 1);
    for (std::string& word : words) {
        out.push_back(word.data());
    }
    out.push_back(nullptr);
    return out;
}

}  // namespace

pid_t launch_process(launch_options options)
{
    const std::vector<char*> argv = pointers(options.words);
    const std::vector<char*> envp = pointers(options.environment);
    const pid_t pid = ::fork();
    if (pid != 0) {
        return pid;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(options.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(::open("/dev/null", O_RDONLY), 0);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::close_range(3, ~0U, 0);
    limit(RLIMIT_NOFILE, options.descriptors);
    limit(RLIMIT_CORE, 0);
    if (options.file_limit_bytes > 0) {
        limit(RLIMIT_FSIZE, options.file_limit_bytes);
    }
    if (options.cores > 0) {
        limit_processors(options.cores);
    }
    // The platform schedules processes as batch work.
    const sched_param none{};
    ::sched_setscheduler(0, SCHED_BATCH, &none);
    if (::chdir(options.current_folder.c_str()) == 0) {
        ::execve(argv[0], argv.data(), envp.data());
    }
    ::_exit(127);
}

double processor_seconds(pid_t pid)
{
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    if (text.rfind(')') == std::string::npos) {
        return 0;
    }
    // User and system time are fields 14 and 15; the second one ends with the parenthesis.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int n = 3; n < 14; ++n) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

long peak_memory_kb(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::atol(line.c_str() + 6);
        }
    }
    return 0;
}

std::string last_lines(const std::string& path)
{
    std::ifstream in(path, std::ios::ate);
    const auto size = static_cast<std::size_t>(std::max<std::streamoff>(0, in.tellg()));
    std::string out(std::min(size, tail_bytes), '\0');
    in.seekg(static_cast<std::streamoff>(size - out.size()));
    in.read(out.data(), static_cast<std::streamsize>(out.size()));
    return "\n" + out;
}

}  // namespace balsamdrift::soak
