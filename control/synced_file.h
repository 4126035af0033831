#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "base/outcome.h"

namespace balsamdrift {

/// Replaces a file as a whole: a crash leaves either the old content or the new. Returns after both
/// the file and its folder are synced.
outcome<std::monostate> replace_file(const std::string& folder, const std::string& name,
                                     std::string_view content);

/// Writes all bytes to an open file.
outcome<std::monostate> write_all(int fd, std::string_view bytes);

/// Reads a whole file. A missing file gives a failure.
outcome<std::string> read_file(const std::string& path);

/// Syncs a folder, so that names created or replaced in it last.
outcome<std::monostate> sync_folder(const std::string& folder);

}  // namespace balsamdrift
