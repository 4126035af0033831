#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "core/consensus/replicated_log.h"

namespace balsamdrift {

/// Settings of the control log.
struct consensus_options {
    replica_id self;
    /// `address:port` under which the other members reach this one.
    std::string address;
    /// The members that the settings list. Names may be empty where only addresses are known.
    std::vector<voter> seeds;
    /// Voters at most; further members follow without a vote and replace a voter that is lost.
    std::size_t max_voters = 5;
    /// An entry is committed once at least this many voters saved it, if there are that many.
    std::size_t min_commit_copies = 1;
    /// A voter that answered nothing for this long gives its place to a member that waits for one.
    duration replace_after = milliseconds(2000);
    duration heartbeat_interval = milliseconds(100);
    /// A member that heard no leader for this long may ask for votes, and gives none before.
    duration election_timeout = milliseconds(600);
    /// Elections start up to this much later, so that members rarely start at once.
    duration election_jitter = milliseconds(400);
    /// Most that two monotonic clocks drift apart, in parts of a thousand.
    int clock_drift_permille = 10;
    /// Entry data in one append, in bytes.
    std::size_t max_append_bytes = std::size_t{256} * 1024;
    /// False for a member whose folder was damaged: it must never count as empty.
    bool may_form = true;
    std::uint64_t random_seed = 1;
};

/// What a member does at present.
enum class consensus_role : std::uint8_t { follower, pre_candidate, candidate, leader };

/// What a leader knows about one other member.
struct replication_progress {
    std::uint64_t next_index = 1;
    std::uint64_t match_index = 0;
    /// When the newest append that the member answered was sent, by the leader's clock.
    time_point confirmed_at{};
};

/// A member with an empty folder that the leader brings up to date before it votes.
struct joining_member {
    voter identity;
    replication_progress progress;
};

/// All state of one control member. Changed only by step().
struct consensus_state {
    consensus_options options;

    /// Saved: the current term and who got the vote in it.
    std::uint64_t term = 0;
    std::string voted_for;
    /// Saved: the log.
    replicated_log log;
    /// The membership in use: the newest in the log, committed or not.
    membership members;

    consensus_role role = consensus_role::follower;
    std::uint64_t commit_index = 0;
    std::uint64_t applied_index = 0;
    /// The leader of the current term, if known.
    std::optional<replica_id> leader;
    /// When a leader was last heard; the start of the process counts, since what was heard before
    /// it is not known any more.
    time_point leader_heard_at{};
    time_point election_at{};
    time_point heartbeat_at{};
    std::set<std::string> votes;
    std::map<replica_id, replication_progress> progress;
    std::map<std::string, joining_member> joining;
    /// When this member began to lead.
    time_point leads_since{};
    /// Where members were last heard from, by name.
    std::map<std::string, std::string> addresses;
    /// Addresses of leaders that other members named, asked to be added besides the seeds.
    std::string hinted_leader;

    /// Formation: the nonce of this process and the members that answered it as empty.
    std::uint64_t hello_nonce = 0;
    std::map<std::string, voter> empty_members;
    time_point hello_at{};

    random_engine random;
};

/// What is restored from disk at the start.
struct stored_consensus {
    std::uint64_t term = 0;
    std::string voted_for;
    replicated_log log;
};

}  // namespace balsamdrift
