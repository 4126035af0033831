#include "control/log_storage.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <cstring>
#include <filesystem>

#include "base/codec.h"
#include "base/random.h"
#include "control/synced_file.h"

namespace balsamdrift {
namespace {

constexpr int file_mode = 0600;

/// Records of the log file. They are serialised by position.
struct vote_record {
    std::uint64_t term = 0;
    std::string voted_for;
    std::string last_leader;
    std::uint64_t last_leader_term = 0;
    MSGPACK_DEFINE(term, voted_for, last_leader, last_leader_term)
};

vote_record to_record(const save_vote& it)
{
    return {it.term, it.voted_for, it.last_leader.name, it.last_leader.term};
}

struct entries_record {
    std::uint64_t first_index = 0;
    std::vector<log_entry> entries;
    MSGPACK_DEFINE(first_index, entries)
};
using log_record = std::variant<vote_record, entries_record, log_snapshot>;

/// Precedes each record in the log file, in the byte order of the VM. `checksum` covers the
/// record's body only.
struct record_header {
    std::uint64_t length = 0;
    std::uint64_t checksum = 0;
};

std::uint64_t checksum_of(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), 0); }

/// Returns the header and the encoded record.
std::string frame_record(const log_record& record)
{
    const std::string body = encode_variant(record);
    const record_header header{body.size(), checksum_of(body)};
    std::string framed(sizeof header, '\0');
    std::memcpy(framed.data(), &header, sizeof header);
    return framed + body;
}

/// Applies one record of the log file to `stored`. Returns false if its entries do not continue the
/// log.
bool replay_record(stored_consensus& stored, log_record record)
{
    if (auto* vote = std::get_if<vote_record>(&record)) {
        stored.term = vote->term;
        stored.voted_for = vote->voted_for;
        stored.last_leader = {vote->last_leader, vote->last_leader_term};
        return true;
    }
    if (auto* snapshot = std::get_if<log_snapshot>(&record)) {
        stored.log = {.snapshot = std::move(*snapshot), .entries = {}};
        return true;
    }
    auto& entries = std::get<entries_record>(record);
    if (entries.first_index <= stored.log.snapshot.index ||
        entries.first_index > last_index(stored.log) + 1) {
        return false;
    }
    truncate_from(stored.log, entries.first_index);
    for (log_entry& it : entries.entries) {
        if (it.index != last_index(stored.log) + 1) {
            return false;
        }
        stored.log.entries.push_back(std::move(it));
    }
    return true;
}

/// Replays the log file into `stored` and returns the length of its complete records. An incomplete
/// record at the end of the file was never synced, so nothing in it was acknowledged, and it is
/// ignored. Any other damage may affect acknowledged data, so the folder must not be used.
outcome<std::size_t> replay_log(std::string_view bytes, stored_consensus& stored)
{
    std::size_t offset = 0;
    while (bytes.size() - offset >= sizeof(record_header)) {
        record_header header;
        std::memcpy(&header, bytes.data() + offset, sizeof header);
        const std::size_t available = bytes.size() - offset - sizeof header;
        if (header.length > available) {
            return offset;
        }
        const std::string_view body = bytes.substr(offset + sizeof header, header.length);
        auto record = decode_variant<log_record>(body);
        if (checksum_of(body) != header.checksum || !succeeded(record)) {
            return failure{
                "a log record is damaged: its checksum does not match or it cannot be decoded"};
        }
        if (!replay_record(stored, std::move(value_of(record)))) {
            return failure{"a log record does not continue the entries before it"};
        }
        offset += sizeof header + header.length;
    }
    return offset;
}

/// Reads the files of a folder and removes an incomplete record from the end of the log. Returns an
/// incarnation of zero for a new folder, and a failure if the files cannot be used.
outcome<opened_storage> load_folder(const std::string& folder)
{
    namespace fs = std::filesystem;
    opened_storage opened;
    if (!fs::exists(folder + "/incarnation")) {
        return opened;
    }
    auto incarnation = read_file(folder + "/incarnation");
    if (!succeeded(incarnation) || value_of(incarnation).size() != sizeof opened.incarnation) {
        return failure{"the incarnation file cannot be read or has a wrong size"};
    }
    std::memcpy(&opened.incarnation, value_of(incarnation).data(), sizeof opened.incarnation);
    auto log = read_file(folder + "/log");
    if (!succeeded(log)) {
        return failure{"the log file cannot be read"};
    }
    auto valid_bytes = replay_log(value_of(log), opened.stored);
    if (!succeeded(valid_bytes)) {
        return failure_of(valid_bytes);
    }
    opened.discarded_bytes = value_of(log).size() - value_of(valid_bytes);
    if (opened.discarded_bytes > 0 &&
        ::truncate((folder + "/log").c_str(), static_cast<off_t>(value_of(valid_bytes))) != 0) {
        return failure{"cannot truncate the incomplete record at the end of the log"};
    }
    return opened;
}

/// Creates the files of a new folder. The incarnation is written last, because its presence marks
/// the folder as initialised.
outcome<std::monostate> create_files(const std::string& folder, std::uint64_t incarnation)
{
    if (auto res = replace_file(folder, "log", ""); !succeeded(res)) {
        return res;
    }
    std::string bytes(sizeof incarnation, '\0');
    std::memcpy(bytes.data(), &incarnation, sizeof incarnation);
    return replace_file(folder, "incarnation", bytes);
}

/// Moves damaged files into the subfolder `damaged`, where operators can examine them. Replaces the
/// files of an earlier move.
outcome<std::monostate> move_damaged_files(const std::string& folder)
{
    namespace fs = std::filesystem;
    std::error_code ec;
    const std::string damaged_folder = folder + "/damaged";
    fs::remove_all(damaged_folder, ec);
    fs::create_directory(damaged_folder, ec);
    for (const char* name : {"incarnation", "log"}) {
        if (fs::exists(folder + "/" + name)) {
            fs::rename(folder + "/" + name, damaged_folder + "/" + name, ec);
        }
    }
    return ec ? outcome<std::monostate>(
                    failure{"cannot move the damaged files to the subfolder: " + ec.message()})
              : std::monostate{};
}

}  // namespace

log_storage::~log_storage() { close_log(); }

void log_storage::close_log()
{
    if (log_fd_ >= 0) {
        ::close(log_fd_);
        log_fd_ = -1;
    }
}

outcome<std::monostate> log_storage::open_log()
{
    close_log();
    log_fd_ = ::open((folder_ + "/log").c_str(), O_WRONLY | O_APPEND | O_CLOEXEC, file_mode);
    struct stat info {};
    if (log_fd_ < 0 || ::fstat(log_fd_, &info) != 0) {
        return failure{std::string("cannot open the log: ") + std::strerror(errno)};
    }
    log_bytes_ = static_cast<std::uint64_t>(info.st_size);
    return std::monostate{};
}

outcome<opened_storage> log_storage::open(const std::string& folder, log_storage& storage)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    storage.folder_ = folder;
    auto opened = load_folder(folder);
    const bool damaged = !succeeded(opened);
    if (damaged) {
        if (auto res = move_damaged_files(folder); !succeeded(res)) {
            return failure_of(res);
        }
        opened = opened_storage{.damage = failure_of(opened).message};
    }
    opened_storage& it = value_of(opened);
    // The subfolder also marks damage that was found at an earlier opening.
    if (std::filesystem::exists(folder + "/damaged")) {
        it.may_form = false;
    }
    if (it.incarnation == 0) {
        it.incarnation = random_identity();
        if (auto res = create_files(folder, it.incarnation); !succeeded(res)) {
            return failure_of(res);
        }
    }
    if (auto res = storage.open_log(); !succeeded(res)) {
        return failure_of(res);
    }
    return opened;
}

outcome<std::monostate> log_storage::append_record(const std::string& framed_record)
{
    if (auto res = write_all(log_fd_, framed_record); !succeeded(res)) {
        return res;
    }
    if (::fdatasync(log_fd_) != 0) {
        return failure{std::string("cannot sync the log: ") + std::strerror(errno)};
    }
    log_bytes_ += framed_record.size();
    return std::monostate{};
}

outcome<std::monostate> log_storage::write(const save_vote& action)
{
    return append_record(frame_record(to_record(action)));
}

outcome<std::monostate> log_storage::write(const save_entries& action)
{
    return append_record(frame_record(entries_record{action.first_index, action.entries}));
}

outcome<std::monostate> log_storage::write_snapshot(const log_snapshot& snapshot,
                                                    const save_vote& vote,
                                                    const std::vector<log_entry>& entries_after)
{
    std::string log = frame_record(snapshot) + frame_record(to_record(vote));
    if (!entries_after.empty()) {
        log += frame_record(entries_record{entries_after.front().index, entries_after});
    }
    if (auto res = replace_file(folder_, "log", log); !succeeded(res)) {
        return res;
    }
    return open_log();
}

}  // namespace balsamdrift
