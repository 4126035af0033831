#pragma once

#include <cstdint>
#include <vector>

#include "core/consensus/log_entry.h"

namespace balsamdrift {

/// The log of one member: a snapshot and the entries after it.
struct replicated_log {
    log_snapshot snapshot;
    std::vector<log_entry> entries;
};

/// Index of the newest entry, or of the snapshot.
std::uint64_t last_index(const replicated_log& log);

/// Term of the newest entry, or of the snapshot.
std::uint64_t last_term(const replicated_log& log);

/// True when the log still knows the term at this index.
bool knows_term_at(const replicated_log& log, std::uint64_t index);

/// Term at an index for which knows_term_at holds.
std::uint64_t term_at(const replicated_log& log, std::uint64_t index);

/// The entry at an index after the snapshot.
const log_entry& entry_at(const replicated_log& log, std::uint64_t index);

/// Entries from `first` on, as many as fit into `max_bytes` of data, at least one if any exists.
std::vector<log_entry> entries_from(const replicated_log& log, std::uint64_t first,
                                    std::size_t max_bytes);

/// Drops the entries from `first` on.
void truncate_from(replicated_log& log, std::uint64_t first);

/// Replaces everything up to the snapshot's index by the snapshot. Later entries stay if they
/// continue it, and are dropped otherwise.
void replace_prefix(replicated_log& log, log_snapshot snapshot);

/// The newest membership in the log, committed or not.
membership effective_membership(const replicated_log& log);

}  // namespace balsamdrift
