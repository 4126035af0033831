#include "apps/process_limits.h"

#include <fcntl.h>
#include <unistd.h>

namespace balsamdrift {

void open_standard_descriptors()
{
    for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; ++fd) {
        if (::fcntl(fd, F_GETFD) < 0) {
            // The lowest free number is returned, which is `fd`.
            (void)::open("/dev/null", O_RDWR);
        }
    }
}

}  // namespace balsamdrift
