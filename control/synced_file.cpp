#include "control/synced_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>

namespace balsamdrift {
namespace {

constexpr int file_mode = 0600;
constexpr std::size_t read_block_bytes = std::size_t{16} * 1024;

/// Returns a failure with the text of `errno`.
failure system_failure(const std::string& action) { return {action + ": " + std::strerror(errno)}; }

}  // namespace

file_operations system_file_operations()
{
    return {.write = [](int fd, const char* bytes,
                        std::size_t size) { return ::write(fd, bytes, size); },
            .sync = [](int fd) { return ::fdatasync(fd); },
            .truncate =
                [](const std::string& path, std::uint64_t size) {
                    return ::truncate(path.c_str(), static_cast<off_t>(size));
                },
            .read = read_file};
}

outcome<std::monostate> write_all(const file_operations& files, int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = files.write(fd, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return system_failure("cannot write");
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return std::monostate{};
}

outcome<std::monostate> sync_folder(const std::string& folder)
{
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) {
        return system_failure("cannot open folder " + folder);
    }
    const int res = ::fsync(fd);
    ::close(fd);
    if (res != 0) {
        return system_failure("cannot sync folder " + folder);
    }
    return std::monostate{};
}

outcome<std::monostate> write_new_file(const file_operations& files, const std::string& folder,
                                       const std::string& name, std::string_view content)
{
    const std::string new_path = folder + "/" + name + ".new";
    const int fd = ::open(new_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode);
    if (fd < 0) {
        return system_failure("cannot create " + new_path);
    }
    auto written = write_all(files, fd, content);
    if (succeeded(written) && files.sync(fd) != 0) {
        written = system_failure("cannot sync " + new_path);
    }
    ::close(fd);
    if (!succeeded(written)) {
        ::unlink(new_path.c_str());
    }
    return written;
}

outcome<std::monostate> put_new_file(const std::string& folder, const std::string& name)
{
    const std::string path = folder + "/" + name;
    if (std::rename((path + ".new").c_str(), path.c_str()) != 0) {
        return system_failure("cannot replace " + path);
    }
    return sync_folder(folder);
}

outcome<std::monostate> replace_file(const file_operations& files, const std::string& folder,
                                     const std::string& name, std::string_view content)
{
    if (auto res = write_new_file(files, folder, name, content); !succeeded(res)) {
        return res;
    }
    return put_new_file(folder, name);
}

outcome<std::string> read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return failure{"cannot open " + path};
    }
    std::string content;
    std::array<char, read_block_bytes> block{};
    // read() reports an error of the disk in the state of the stream; an iterator would throw.
    while (in.read(block.data(), block.size()) || in.gcount() > 0) {
        content.append(block.data(), static_cast<std::size_t>(in.gcount()));
    }
    if (in.bad()) {
        return failure{"cannot read " + path};
    }
    return content;
}

}  // namespace balsamdrift
