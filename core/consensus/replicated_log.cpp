#include "core/consensus/replicated_log.h"

#include "base/codec.h"
#include "base/invariant.h"

namespace balsamdrift {

std::uint64_t last_index(const replicated_log& log)
{
    return log.entries.empty() ? log.snapshot.index : log.entries.back().index;
}

std::uint64_t last_term(const replicated_log& log)
{
    return log.entries.empty() ? log.snapshot.term : log.entries.back().term;
}

bool has_term_at(const replicated_log& log, std::uint64_t index)
{
    return index >= log.snapshot.index && index <= last_index(log);
}

std::uint64_t term_at(const replicated_log& log, std::uint64_t index)
{
    BALSAMDRIFT_INVARIANT(has_term_at(log, index));
    return index == log.snapshot.index ? log.snapshot.term : entry_at(log, index).term;
}

const log_entry& entry_at(const replicated_log& log, std::uint64_t index)
{
    BALSAMDRIFT_INVARIANT(index > log.snapshot.index && index <= last_index(log));
    return log.entries[index - log.snapshot.index - 1];
}

std::vector<log_entry> entries_from(const replicated_log& log, std::uint64_t first,
                                    std::size_t max_bytes)
{
    std::vector<log_entry> chosen;
    std::size_t bytes = 0;
    for (std::uint64_t n = first; n <= last_index(log); ++n) {
        const log_entry& it = entry_at(log, n);
        bytes += it.data.size();
        if (!chosen.empty() && bytes > max_bytes) {
            break;
        }
        chosen.push_back(it);
    }
    return chosen;
}

void truncate_from(replicated_log& log, std::uint64_t first)
{
    BALSAMDRIFT_INVARIANT(first > log.snapshot.index);
    if (first <= last_index(log)) {
        log.entries.resize(first - log.snapshot.index - 1);
    }
}

void replace_prefix(replicated_log& log, log_snapshot snapshot)
{
    const bool continues =
        has_term_at(log, snapshot.index) && term_at(log, snapshot.index) == snapshot.term;
    if (continues) {
        const auto dropped = static_cast<std::ptrdiff_t>(snapshot.index - log.snapshot.index);
        log.entries.erase(log.entries.begin(), log.entries.begin() + dropped);
    }
    else {
        log.entries.clear();
    }
    log.snapshot = std::move(snapshot);
}

membership effective_membership(const replicated_log& log)
{
    for (auto it = log.entries.rbegin(); it != log.entries.rend(); ++it) {
        if (it->kind == entry_kind::membership) {
            auto decoded = decode<membership>(it->data);
            BALSAMDRIFT_INVARIANT(succeeded(decoded));
            return value_of(decoded);
        }
    }
    return log.snapshot.members;
}

}  // namespace balsamdrift
