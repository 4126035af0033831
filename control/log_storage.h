#pragma once

#include <cstdint>
#include <string>

#include "base/outcome.h"
#include "core/consensus/consensus_action.h"
#include "core/consensus/consensus_state.h"

namespace balsamdrift {

/// Content of a data folder when it was opened.
struct opened_storage {
    /// Identity of the data in the folder; changes when the data is lost.
    std::uint64_t incarnation = 0;
    stored_consensus stored;
    /// False if the folder held damaged files, now or at an earlier opening. The member must then
    /// join an existing group and must never form a new one.
    bool may_form = true;
    /// Why the files of the folder were set aside at this opening; empty if they were not.
    std::string damage;
    /// Bytes of an incomplete record that were removed from the end of the log.
    std::uint64_t discarded_bytes = 0;
};

/// The files of one control member in its data folder:
///   incarnation  identity of the data
///   log          a snapshot, then votes and entries, appended as records with checksums
/// Every write function returns only after the data is synced to disk. After a failure the storage
/// must be opened again before it is used.
class log_storage {
public:
    /// Opens or creates a data folder. Damaged files are moved to the subfolder `damaged`, and the
    /// folder gets a new incarnation without data.
    static outcome<opened_storage> open(const std::string& folder, log_storage& storage);

    log_storage() = default;
    ~log_storage();
    log_storage(const log_storage&) = delete;
    log_storage& operator=(const log_storage&) = delete;

    /// Appends a vote or entries to the log.
    outcome<std::monostate> write(const save_vote& action);
    outcome<std::monostate> write(const save_entries& action);

    /// Replaces the whole log atomically by the snapshot, the vote and the entries after the
    /// snapshot.
    outcome<std::monostate> write_snapshot(const log_snapshot& snapshot, const save_vote& vote,
                                           const std::vector<log_entry>& entries_after);

    /// Size of the log file in bytes.
    std::uint64_t log_bytes() const { return log_bytes_; }

private:
    void close_log();
    outcome<std::monostate> open_log();
    /// Appends a framed record and syncs the log.
    outcome<std::monostate> append_record(const std::string& framed_record);

    std::string folder_;
    int log_fd_ = -1;
    std::uint64_t log_bytes_ = 0;
};

}  // namespace balsamdrift
