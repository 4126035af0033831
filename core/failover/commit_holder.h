#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <set>
#include <string>

namespace balsamdrift {

/// An incarnation of an instance that may hold acknowledged commits which no other instance has.
struct commit_holder {
    std::string instance;
    /// Start of the incarnation in Unix milliseconds by its own clock. One that starts again under
    /// the same name holds nothing of before.
    std::int64_t born_ms = 0;
    std::string address;
    /// True if it announced that it leaves. The log of such an instance is handed to the next one
    /// at its address.
    bool leaving = false;

    auto operator<=>(const commit_holder&) const = default;
    MSGPACK_DEFINE(instance, born_ms, address, leaving)
};

/// The instances of one service that may hold acknowledged commits, including those that have left
/// the directory until the others are known to have everything.
using commit_holders = std::set<commit_holder>;

}  // namespace balsamdrift
