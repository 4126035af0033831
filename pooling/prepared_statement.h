#pragma once

#include <compare>
#include <string>

namespace balsamdrift {

/// A statement that a session has prepared. Statements are the same only if both members are: one
/// text may be prepared as a read and as a write.
struct prepared_statement {
    bool writes = false;
    std::string text;
    auto operator<=>(const prepared_statement&) const = default;
};

}  // namespace balsamdrift
