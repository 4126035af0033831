#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "core/consensus/log_entry.h"

namespace balsamdrift {

/// Requests a vote. A pre-vote only finds out whether the vote would be granted and changes no
/// state.
struct vote_request {
    std::uint64_t term = 0;
    std::uint64_t last_index = 0;
    std::uint64_t last_term = 0;
    bool pre_vote = false;
    MSGPACK_DEFINE(term, last_index, last_term, pre_vote)
};

/// Answers a vote request, with its term. A request that is refused because the sender's term is
/// newer is answered with that term, and not as a pre-vote.
struct vote_reply {
    std::uint64_t term = 0;
    bool granted = false;
    bool pre_vote = false;
    MSGPACK_DEFINE(term, granted, pre_vote)
};

/// Replicates the entries after (prev_index, prev_term). Without entries it is a heartbeat.
struct append_request {
    std::uint64_t term = 0;
    std::uint64_t prev_index = 0;
    std::uint64_t prev_term = 0;
    std::vector<log_entry> entries;
    std::uint64_t commit_index = 0;
    /// Leader's monotonic clock in nanoseconds when it sent this; the answer returns it.
    std::int64_t sent_at = 0;
    MSGPACK_DEFINE(term, prev_index, prev_term, entries, commit_index, sent_at)
};

/// Answers an append or a snapshot.
struct append_reply {
    std::uint64_t term = 0;
    bool accepted = false;
    /// If accepted, the last index known to match the leader's log. If refused, the highest index
    /// that may match: the leader continues after it.
    std::uint64_t match_index = 0;
    std::int64_t sent_at = 0;
    MSGPACK_DEFINE(term, accepted, match_index, sent_at)
};

/// Replaces the state of a member that needs entries which the leader's log no longer has.
struct install_snapshot {
    std::uint64_t term = 0;
    log_snapshot snapshot;
    std::int64_t sent_at = 0;
    MSGPACK_DEFINE(term, snapshot, sent_at)
};

/// Sent by a member that has no vote: requests the state of the recipients, and that the leader
/// adds this member.
struct hello_request {
    std::uint64_t nonce = 0;
    std::string address;
    MSGPACK_DEFINE(nonce, address)
};

/// Answers a hello. The formation of the first membership counts only answers with the nonce of the
/// requesting process, so answers to an earlier process are ignored.
struct hello_reply {
    std::uint64_t nonce = 0;
    /// True when the sender has no membership and an empty log, and may take part in the formation.
    bool empty = false;
    std::string address;
    /// Address of the leader as known to the sender, or empty. A new member finds the leader
    /// through any other member this way.
    std::string leader_address;
    MSGPACK_DEFINE(nonce, empty, address, leader_address)
};

/// Any message between control members.
using consensus_message = std::variant<vote_request, vote_reply, append_request, append_reply,
                                       install_snapshot, hello_request, hello_reply>;

}  // namespace balsamdrift
