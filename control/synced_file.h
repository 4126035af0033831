#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "base/outcome.h"
#include "control/file_operations.h"

namespace balsamdrift {

/// Replaces a file atomically: after a crash it has either the old or the new content. Returns
/// after both the file and its folder are synced.
outcome<std::monostate> replace_file(const file_operations& files, const std::string& folder,
                                     const std::string& name, std::string_view content);

/// First half of replace_file(): writes and syncs the new content beside the file. A failure leaves
/// the file as it was and takes no room.
outcome<std::monostate> write_new_file(const file_operations& files, const std::string& folder,
                                       const std::string& name, std::string_view content);

/// Second half of replace_file(). After a failure either content may be there after a crash.
outcome<std::monostate> put_new_file(const std::string& folder, const std::string& name);

/// Writes all bytes to an open file, without a sync.
outcome<std::monostate> write_all(const file_operations& files, int fd, std::string_view bytes);

/// Reads a whole file. Fails if the file does not exist.
outcome<std::string> read_file(const std::string& path);

/// Syncs a folder, so that files created or renamed in it survive a crash.
outcome<std::monostate> sync_folder(const std::string& folder);

}  // namespace balsamdrift
