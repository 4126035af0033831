#include "fleet/network_threads.h"

#include <unistd.h>

// The linker passes the calls of sysconf() in this program and its static libraries, which nng is
// one of, to __wrap_sysconf() (--wrap in CMakeLists.txt).
extern "C" {
// NOLINTNEXTLINE(bugprone-reserved-identifier, readability-identifier-naming)
long __real_sysconf(int name);
// NOLINTNEXTLINE(bugprone-reserved-identifier, readability-identifier-naming)
long __wrap_sysconf(int name);

long __wrap_sysconf(int name)
{
    return name == _SC_NPROCESSORS_ONLN ? balsamdrift::network_processors : __real_sysconf(name);
}
}
