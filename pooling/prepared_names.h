#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pooling/prepared_statement.h"

namespace balsamdrift {

/// How much an instance keeps prepared for one connection.
struct prepared_limits {
    /// Most statements, at most 62. Then each name has one character, and no line is longer than
    /// the caller's.
    std::size_t max_statements = 62;
    /// Most bytes of text. A single longer statement is prepared only while it is used. With 100
    /// connections a VM keeps at most 6.4 MB of texts.
    std::size_t max_text_bytes = std::size_t{64} * 1024;
};

/// What is kept for one statement that is prepared on a connection.
struct prepared_entry {
    std::string name;
    /// Number of the newest use, by which the least recently used statement is found.
    std::uint64_t last_use = 0;
};

/// Statements that are prepared on one connection. Sessions that prepare the same statement share
/// its entry. Each has a name that no other one has until it is removed.
struct prepared_names {
    std::map<prepared_statement, prepared_entry> entries;
    std::uint64_t uses = 0;
    /// Size of all texts.
    std::size_t text_bytes = 0;
};

/// True if the statement is prepared.
bool is_prepared(const prepared_names& names, const prepared_statement& it);

/// Returns the name of a prepared statement, and counts as a use of it.
const std::string& use_name(prepared_names& names, const prepared_statement& it);

/// Removes the statements that were not used for the longest time, until there is room for one
/// more. Returns their names, which the instance must deallocate before it prepares the next one.
std::vector<std::string> make_room(prepared_names& names, const prepared_limits& limits,
                                   const prepared_statement& next);

/// Removes statements until their texts are within the limit, those that were not used for the
/// longest time first. Returns their names, which the instance must deallocate.
std::vector<std::string> remove_excess(prepared_names& names, const prepared_limits& limits);

/// Adds a statement that is not prepared yet, for which there must be room, and returns its name:
/// a letter or digit, which is one field of a line whatever callers prepare.
const std::string& add_name(prepared_names& names, const prepared_statement& it);

}  // namespace balsamdrift
