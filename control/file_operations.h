#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <sys/types.h>

#include "base/outcome.h"

namespace balsamdrift {

/// The operations on files that fail when a disk is full or broken. Tests replace them.
struct file_operations {
    /// Like write(2).
    std::function<ssize_t(int fd, const char* bytes, std::size_t size)> write;
    /// Like fdatasync(2).
    std::function<int(int fd)> sync;
    /// Like truncate(2).
    std::function<int(const std::string& path, std::uint64_t size)> truncate;
    /// Reads a whole file.
    std::function<outcome<std::string>(const std::string& path)> read;
};

/// The operations of the operating system.
file_operations system_file_operations();

}  // namespace balsamdrift
