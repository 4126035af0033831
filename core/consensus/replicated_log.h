#pragma once

#include <cstdint>
#include <vector>

#include "core/consensus/log_entry.h"

namespace balsamdrift {

/// The log of one member: a snapshot and the entries that follow it.
struct replicated_log {
    log_snapshot snapshot;
    std::vector<log_entry> entries;
};

/// Index of the newest entry, or of the snapshot if there are no entries.
std::uint64_t last_index(const replicated_log& log);

/// Term of the newest entry, or of the snapshot if there are no entries.
std::uint64_t last_term(const replicated_log& log);

/// True when the log holds the entry at this index, or its snapshot ends there.
bool has_term_at(const replicated_log& log, std::uint64_t index);

/// Term at an index. Requires has_term_at().
std::uint64_t term_at(const replicated_log& log, std::uint64_t index);

/// The entry at an index. Requires an index after the snapshot and up to last_index().
const log_entry& entry_at(const replicated_log& log, std::uint64_t index);

/// Entries from `first` on whose data fits into `max_bytes`, but at least one if any exists.
std::vector<log_entry> entries_from(const replicated_log& log, std::uint64_t first,
                                    std::size_t max_bytes);

/// Drops the entries from `first` on. Requires an index after the snapshot.
void truncate_from(replicated_log& log, std::uint64_t first);

/// Replaces the log up to the snapshot's index by the snapshot. Later entries stay if the log has
/// the snapshot's term at that index, and are dropped otherwise.
void replace_prefix(replicated_log& log, log_snapshot snapshot);

/// The newest membership in the log, whether committed or not.
membership effective_membership(const replicated_log& log);

}  // namespace balsamdrift
