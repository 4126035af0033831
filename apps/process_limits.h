#pragma once

namespace balsamdrift {

/// Opens /dev/null for each of the descriptors 0 to 2 that is closed. A socket or file would get
/// its number otherwise, and the log would be written into it.
void open_standard_descriptors();

}  // namespace balsamdrift
