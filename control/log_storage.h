#pragma once

#include <cstdint>
#include <string>

#include "base/outcome.h"
#include "core/consensus/consensus_action.h"
#include "core/consensus/consensus_state.h"

namespace balsamdrift {

/// What a data folder held when it was opened.
struct opened_storage {
    std::uint64_t incarnation = 0;
    stored_consensus stored;
    /// False when the folder held data that could not be trusted: the member must rejoin and must
    /// never take part in a first formation.
    bool may_form = true;
    /// Bytes of an unfinished record that were cut off the end of the log.
    std::uint64_t discarded_bytes = 0;
};

/// The files of one control member in its data folder:
///   incarnation  identity of the folder
///   log          a snapshot, then votes and entries, appended as checksummed records
/// Every function returns only after the data is synced. After a failure the storage must be opened
/// again before it is used.
class log_storage {
public:
    /// Opens or creates a data folder. A folder with damaged files is set aside under another name
    /// and a new incarnation begins.
    static outcome<opened_storage> open(const std::string& folder, log_storage& storage);

    log_storage() = default;
    ~log_storage();
    log_storage(const log_storage&) = delete;
    log_storage& operator=(const log_storage&) = delete;

    outcome<std::monostate> write(const save_vote& action);
    outcome<std::monostate> write(const save_entries& action);

    /// Replaces the log as a whole by the snapshot, `vote` and the entries after the snapshot.
    outcome<std::monostate> write_snapshot(const log_snapshot& snapshot, const save_vote& vote,
                                           const std::vector<log_entry>& entries_after);

    /// Bytes in the log file.
    std::uint64_t log_bytes() const { return log_bytes_; }

private:
    void close_log();
    outcome<std::monostate> open_log();
    outcome<std::monostate> append_record(const std::string& record);

    std::string folder_;
    int log_fd_ = -1;
    std::uint64_t log_bytes_ = 0;
};

}  // namespace balsamdrift
