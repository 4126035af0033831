#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

#include "core/consensus/membership.h"

namespace balsamdrift {

/// Content of a log entry.
enum class entry_kind : std::uint8_t {
    /// No data. A new leader appends one, because only the commit of an entry of its own term shows
    /// which earlier entries are committed.
    no_op,
    /// An encoded registry command.
    command,
    /// An encoded membership.
    membership,
};

/// One entry of the replicated log. Indexes start at 1 and have no gaps.
struct log_entry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    entry_kind kind = entry_kind::no_op;
    std::string data;

    bool operator==(const log_entry&) const = default;
    MSGPACK_DEFINE(index, term, kind, data)
};

/// The state after all entries up to `index`, which it replaces in the log.
struct log_snapshot {
    std::uint64_t index = 0;
    /// Term of the entry at `index`.
    std::uint64_t term = 0;
    membership members;
    /// Encoded registry.
    std::string state;

    bool operator==(const log_snapshot&) const = default;
    MSGPACK_DEFINE(index, term, members, state)
};

}  // namespace balsamdrift

MSGPACK_ADD_ENUM(balsamdrift::entry_kind)
