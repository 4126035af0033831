#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "core/consensus/log_entry.h"

namespace balsamdrift {

/// Asks for a vote. A pre-vote asks whether one would be given and changes nothing.
struct vote_request {
    std::uint64_t term = 0;
    std::uint64_t last_index = 0;
    std::uint64_t last_term = 0;
    bool pre_vote = false;
    MSGPACK_DEFINE(term, last_index, last_term, pre_vote)
};

/// Answers a vote request of the same term.
struct vote_reply {
    std::uint64_t term = 0;
    bool granted = false;
    bool pre_vote = false;
    MSGPACK_DEFINE(term, granted, pre_vote)
};

/// Replicates entries after (prev_index, prev_term); empty as a heartbeat.
struct append_request {
    std::uint64_t term = 0;
    std::uint64_t prev_index = 0;
    std::uint64_t prev_term = 0;
    std::vector<log_entry> entries;
    std::uint64_t commit_index = 0;
    /// Leader's monotonic clock in nanoseconds when it sent this; echoed by the answer.
    std::int64_t sent_at = 0;
    MSGPACK_DEFINE(term, prev_index, prev_term, entries, commit_index, sent_at)
};

/// Answers an append or a snapshot.
struct append_reply {
    std::uint64_t term = 0;
    bool accepted = false;
    /// Accepted: the last index known to match. Refused: where to try next.
    std::uint64_t match_index = 0;
    std::int64_t sent_at = 0;
    MSGPACK_DEFINE(term, accepted, match_index, sent_at)
};

/// Replaces the state of a member that lags behind the leader's log.
struct install_snapshot {
    std::uint64_t term = 0;
    log_snapshot snapshot;
    std::int64_t sent_at = 0;
    MSGPACK_DEFINE(term, snapshot, sent_at)
};

/// Sent by a member without a membership: asks who is there. Also the request to be added.
struct hello_request {
    std::uint64_t nonce = 0;
    std::string address;
    MSGPACK_DEFINE(nonce, address)
};

/// Answers a hello. Formation counts only answers to its own nonce.
struct hello_reply {
    std::uint64_t nonce = 0;
    /// True when the sender has no membership and an empty log.
    bool empty = false;
    std::string address;
    /// Where the sender believes the leader is, so that a new member finds it through any other.
    std::string leader_address;
    MSGPACK_DEFINE(nonce, empty, address, leader_address)
};

/// Any message between control members.
using consensus_message = std::variant<vote_request, vote_reply, append_request, append_reply,
                                       install_snapshot, hello_request, hello_reply>;

}  // namespace balsamdrift
