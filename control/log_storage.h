#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/outcome.h"
#include "control/file_operations.h"
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
    /// True if the folder was created while the whole site started for the first time.
    bool created_at_first_start = false;
    /// Why the files of the folder were set aside at this opening; empty if they were not.
    std::string damage;
    /// Bytes of an incomplete record that were removed from the end of the log.
    std::uint64_t discarded_bytes = 0;
};

/// Creates the data folder if it does not exist. Fails only for a reason that lasts until somebody
/// changes the settings or permissions, such as a path that is not a folder; a full disk is no such
/// reason.
outcome<std::monostate> prepare_data_folder(const std::string& folder);

/// A snapshot was not saved, for example because the disk is full. The log is as it was, and can
/// still be appended to.
struct snapshot_postponed {
    std::string reason;
};

/// Result of saving a snapshot.
using snapshot_result = std::variant<std::monostate, snapshot_postponed, failure>;

/// The files of one control member in its data folder:
///   incarnation  identity of the data
///   first_start  present if the folder was created at the first start of the site
///   log          a snapshot, then votes and entries, appended as records with checksums
/// Every write function returns only after the data is synced to disk. After a failure the storage
/// must be opened again before it is used; what was not synced is then discarded, even if it can be
/// read.
class log_storage {
public:
    /// Opens or creates a data folder, and checks that there is room to write. Damaged files are
    /// moved to the subfolder `damaged`, and the folder gets a new incarnation without data. A
    /// failure leaves the data as it was; the caller tries again later. `first_start` says that the
    /// whole site starts for the first time.
    static outcome<opened_storage> open(const std::string& folder, log_storage& storage,
                                        bool first_start = false);

    explicit log_storage(file_operations files = system_file_operations())
        : files_(std::move(files))
    {
    }
    ~log_storage();
    log_storage(const log_storage&) = delete;
    log_storage& operator=(const log_storage&) = delete;

    /// Appends a vote or entries to the log.
    outcome<std::monostate> write(const save_vote& action);
    outcome<std::monostate> write(const save_entries& action);

    /// Replaces the whole log atomically by the snapshot, the vote and the entries after the
    /// snapshot.
    snapshot_result write_snapshot(const log_snapshot& snapshot, const save_vote& vote,
                                   const std::vector<log_entry>& entries_after);

    /// Size of the log file in bytes.
    std::uint64_t log_bytes() const { return log_bytes_; }

private:
    void close_log();
    /// Removes the bytes of a failed write from the log. They may be in the page cache only.
    outcome<std::monostate> discard_unsynced();
    /// Opens the log for appending. An earlier process may have ended before it synced its last
    /// records, which can be read all the same, so they are synced before anything relies on them.
    outcome<std::monostate> open_log();
    /// Appends a framed record and syncs the log.
    outcome<std::monostate> append_record(const std::string& framed_record);

    file_operations files_;
    std::string folder_;
    int log_fd_ = -1;
    /// Size of the log up to which it is synced.
    std::uint64_t log_bytes_ = 0;
    /// Set after a failed write: the size of the log before it.
    std::optional<std::uint64_t> unsynced_after_;
};

}  // namespace balsamdrift
