#include "control/log_storage.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <filesystem>

#include "base/codec.h"
#include "base/random.h"
#include "control/synced_file.h"

namespace balsamdrift {
namespace {

constexpr int file_mode = 0600;

constexpr const char* first_start_file = "first_start";

/// Room for the votes of an election and some changes, so that a member whose disk stays full does
/// not come and go.
constexpr std::size_t min_room_bytes = 4096;

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

/// Why the content of the files cannot be used. Unlike a failure, this does not pass.
struct damaged_files {
    std::string reason;
};

/// Reads the files of a folder and removes an incomplete record from the end of the log. Returns an
/// incarnation of zero for a new folder. An operation that fails says nothing about the content:
/// the disk may be full, or descriptors may be short, and the same files are read again later.
std::variant<opened_storage, damaged_files, failure> load_folder(const file_operations& files,
                                                                 const std::string& folder)
{
    namespace fs = std::filesystem;
    opened_storage opened;
    if (!fs::exists(folder + "/incarnation")) {
        return opened;
    }
    auto incarnation = files.read(folder + "/incarnation");
    if (!succeeded(incarnation)) {
        return failure_of(incarnation);
    }
    if (value_of(incarnation).size() != sizeof opened.incarnation) {
        return damaged_files{"the incarnation file has a wrong size"};
    }
    std::memcpy(&opened.incarnation, value_of(incarnation).data(), sizeof opened.incarnation);
    if (!fs::exists(folder + "/log")) {
        return damaged_files{"the log file is missing"};
    }
    auto log = files.read(folder + "/log");
    if (!succeeded(log)) {
        return failure_of(log);
    }
    auto valid_bytes = replay_log(value_of(log), opened.stored);
    if (!succeeded(valid_bytes)) {
        return damaged_files{failure_of(valid_bytes).message};
    }
    opened.discarded_bytes = value_of(log).size() - value_of(valid_bytes);
    if (opened.discarded_bytes > 0 && files.truncate(folder + "/log", value_of(valid_bytes)) != 0) {
        return failure{"cannot truncate the incomplete record at the end of the log"};
    }
    return opened;
}

/// Creates the files of a new folder. The incarnation is written last, because its presence marks
/// the folder as initialised.
outcome<std::monostate> create_files(const file_operations& files, const std::string& folder,
                                     std::uint64_t incarnation, bool first_start)
{
    if (first_start) {
        if (auto res = replace_file(files, folder, first_start_file, ""); !succeeded(res)) {
            return res;
        }
    }
    if (auto res = replace_file(files, folder, "log", ""); !succeeded(res)) {
        return res;
    }
    std::string bytes(sizeof incarnation, '\0');
    std::memcpy(bytes.data(), &incarnation, sizeof incarnation);
    return replace_file(files, folder, "incarnation", bytes);
}

/// Fails if a few records do not fit on the disk.
outcome<std::monostate> check_room(const file_operations& files, const std::string& folder)
{
    auto written = write_new_file(files, folder, "room", std::string(min_room_bytes, '\0'));
    if (succeeded(written)) {
        ::unlink((folder + "/room.new").c_str());
    }
    return written;
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

/// True if the same operation fails again until somebody changes the settings or permissions.
bool is_lasting(const std::error_code& ec)
{
    constexpr std::array lasting{
        std::errc::not_a_directory,         std::errc::permission_denied,
        std::errc::operation_not_permitted, std::errc::read_only_file_system,
        std::errc::filename_too_long,       std::errc::no_such_file_or_directory};
    return std::any_of(lasting.begin(), lasting.end(),
                       [&](std::errc it) { return ec == std::make_error_condition(it); });
}

}  // namespace

outcome<std::monostate> prepare_data_folder(const std::string& folder)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    if (!ec) {
        const std::string path = folder + "/room.new";
        const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, file_mode);
        if (fd < 0) {
            ec = {errno, std::generic_category()};
        }
        else {
            ::close(fd);
            ::unlink(path.c_str());
        }
    }
    if (is_lasting(ec)) {
        return failure{"cannot use the data folder " + folder + ": " + ec.message()};
    }
    return std::monostate{};
}

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
    if (files_.sync(log_fd_) != 0) {
        return failure{std::string("cannot sync the log: ") + std::strerror(errno)};
    }
    log_bytes_ = static_cast<std::uint64_t>(info.st_size);
    return std::monostate{};
}

outcome<std::monostate> log_storage::discard_unsynced()
{
    if (!unsynced_after_) {
        return std::monostate{};
    }
    if (files_.truncate(folder_ + "/log", *unsynced_after_) != 0) {
        return failure{std::string("cannot discard what was not synced: ") + std::strerror(errno)};
    }
    unsynced_after_.reset();
    return std::monostate{};
}

outcome<opened_storage> log_storage::open(const std::string& folder, log_storage& storage,
                                          bool first_start)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    storage.folder_ = folder;
    if (auto res = storage.discard_unsynced(); !succeeded(res)) {
        return failure_of(res);
    }
    auto loaded = load_folder(storage.files_, folder);
    if (const auto* const failed = std::get_if<failure>(&loaded)) {
        return *failed;
    }
    opened_storage it;
    if (const auto* const damaged = std::get_if<damaged_files>(&loaded)) {
        if (auto res = move_damaged_files(folder); !succeeded(res)) {
            return failure_of(res);
        }
        it.damage = damaged->reason;
    }
    else {
        it = std::move(std::get<opened_storage>(loaded));
    }
    // The subfolder also marks damage that was found at an earlier opening.
    if (std::filesystem::exists(folder + "/damaged")) {
        it.may_form = false;
    }
    if (it.incarnation == 0) {
        const std::uint64_t incarnation = random_identity();
        // A damaged folder is not one of the first start, whatever the settings say.
        const bool original = first_start && it.may_form;
        if (auto res = create_files(storage.files_, folder, incarnation, original);
            !succeeded(res)) {
            return failure_of(res);
        }
        it.incarnation = incarnation;
    }
    it.created_at_first_start = std::filesystem::exists(folder + "/" + first_start_file);
    if (auto res = storage.open_log(); !succeeded(res)) {
        return failure_of(res);
    }
    // A member that cannot write must not take part: it could win an election, but not lead.
    if (auto res = check_room(storage.files_, folder); !succeeded(res)) {
        return failure_of(res);
    }
    return it;
}

outcome<std::monostate> log_storage::append_record(const std::string& framed_record)
{
    auto written = write_all(files_, log_fd_, framed_record);
    if (succeeded(written) && files_.sync(log_fd_) != 0) {
        written = failure{std::string("cannot sync the log: ") + std::strerror(errno)};
    }
    if (!succeeded(written)) {
        unsynced_after_ = log_bytes_;
        return written;
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

snapshot_result log_storage::write_snapshot(const log_snapshot& snapshot, const save_vote& vote,
                                            const std::vector<log_entry>& entries_after)
{
    std::string log = frame_record(snapshot) + frame_record(to_record(vote));
    if (!entries_after.empty()) {
        log += frame_record(entries_record{entries_after.front().index, entries_after});
    }
    if (auto res = write_new_file(files_, folder_, "log", log); !succeeded(res)) {
        return snapshot_postponed{failure_of(res).message};
    }
    if (auto res = put_new_file(folder_, "log"); !succeeded(res)) {
        return failure_of(res);
    }
    unsynced_after_.reset();
    if (auto res = open_log(); !succeeded(res)) {
        return failure_of(res);
    }
    return std::monostate{};
}

}  // namespace balsamdrift
