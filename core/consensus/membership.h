#pragma once

#include <algorithm>
#include <vector>

#include "core/consensus/replica_id.h"

namespace balsamdrift {

/// A member that votes in the control log, and its address.
struct voter {
    replica_id id;
    /// `address:port` of the member's fleet endpoint.
    std::string address;

    bool operator==(const voter&) const = default;
    MSGPACK_DEFINE(id, address)
};

/// The members that vote. A quorum is more than half of them.
struct membership {
    std::vector<voter> voters;

    bool operator==(const membership&) const = default;
    MSGPACK_DEFINE(voters)
};

inline std::size_t quorum_size(const membership& members) { return members.voters.size() / 2 + 1; }

/// True when this incarnation of the member votes.
inline bool contains(const membership& members, const replica_id& id)
{
    return std::any_of(members.voters.begin(), members.voters.end(),
                       [&](const voter& it) { return it.id == id; });
}

/// The voter with this name, whatever its incarnation, or null.
inline const voter* find_by_name(const membership& members, const std::string& name)
{
    const auto it = std::find_if(members.voters.begin(), members.voters.end(),
                                 [&](const voter& member) { return member.id.name == name; });
    return it == members.voters.end() ? nullptr : &*it;
}

}  // namespace balsamdrift
