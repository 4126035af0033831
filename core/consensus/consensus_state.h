#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "core/consensus/known_leader.h"
#include "core/consensus/replicated_log.h"

namespace balsamdrift {

/// Settings of one control member's consensus.
struct consensus_options {
    replica_id self;
    /// `address:port` under which the other members reach this one.
    std::string address;
    /// The members that the settings list. Names are empty if only addresses are known.
    std::vector<voter> seeds;
    /// Largest number of voters. Further members follow without a vote until a voter fails.
    std::size_t max_voters = 5;
    /// An entry is committed only when at least this many voters saved it, or all voters if there
    /// are fewer. One disk less than this may be lost at the same time.
    std::size_t min_commit_copies = 1;
    /// How long after its start a member that leads waits, with the first command, for as many
    /// voters as the loss of these disks needs. Members start within 0.3 s of each other and join
    /// one after the other; one that is missing for longer counts among the losses itself. Longer
    /// than `formation_patience`, as the first membership may have waited that long.
    duration voter_patience = milliseconds(3000);
    /// A voter that has not answered for this long is replaced by a member that waits for a vote.
    duration voter_replacement_timeout = milliseconds(2000);
    duration heartbeat_interval = milliseconds(100);
    /// Only a member without contact to a leader for this long requests or grants votes.
    duration election_timeout = milliseconds(600);
    /// Largest random delay added to the election timeout, so that members rarely start elections
    /// at the same time.
    duration election_jitter = milliseconds(400);
    /// Largest drift between two members' monotonic clocks, in thousandths of the time measured.
    int clock_drift_permille = 10;
    /// Largest amount of entry data in one append, in bytes. A single larger entry is sent alone.
    std::size_t max_append_bytes = std::size_t{256} * 1024;
    /// False for a member that must not count as empty in the formation of the first membership,
    /// such as one whose data folder was damaged.
    bool may_form = true;
    /// True if the first membership may be formed without a seed that does not answer. Only where a
    /// member that lost its disk is known not to form: `may_form` is false for it.
    bool form_without_all_seeds = false;
    /// How long after its start a seed waits for the others before it forms without all. A seed
    /// that starts later joins like any other member.
    duration formation_patience = milliseconds(2000);
    /// Seed of the election jitter and of the hello nonce.
    std::uint64_t random_seed = 1;
};

/// Current role of a member.
enum class consensus_role : std::uint8_t { follower, pre_candidate, candidate, leader };

/// Replication state of one other member, kept by the leader.
struct replication_progress {
    std::uint64_t next_index = 1;
    std::uint64_t match_index = 0;
    /// Time on the leader's clock when it sent the newest request that the member answered.
    time_point confirmed_at{};
};

/// A member without a vote that the leader brings up to date before it becomes a voter.
struct joining_member {
    voter identity;
    replication_progress progress;
};

/// A seed that has answered that it holds no data.
struct empty_member {
    voter identity;
    time_point answered_at{};
};

/// State of one control member. Changed only by step().
struct consensus_state {
    consensus_options options;

    /// Saved: the current term, and the name of the member that got this member's vote in it.
    std::uint64_t term = 0;
    std::string voted_for;
    /// Saved: the newest leader that this member answered, or this member itself.
    known_leader last_leader;
    /// Saved: the log.
    replicated_log log;
    /// The membership in use: the newest in the log, whether committed or not.
    membership members;

    consensus_role role = consensus_role::follower;
    std::uint64_t commit_index = 0;
    std::uint64_t applied_index = 0;
    /// The leader of the current term, if known.
    std::optional<replica_id> leader;
    /// When the process of this member started.
    time_point started_at{};
    /// When this member last received a message of a leader. Starts as the start time of the
    /// process: it may have received one just before its restart.
    time_point last_leader_contact{};
    /// True if the last leader is known to lead its term no longer.
    bool last_leader_stopped = false;
    /// Until when this member asks for votes without waiting for an election timeout.
    time_point early_elections_until{};
    /// When this member starts the next election; on a leader, the time from which missing answers
    /// of a quorum make it step down.
    time_point next_election_at{};
    time_point next_heartbeat_at{};
    /// Names of the members that granted their vote in the current election.
    std::set<std::string> votes;
    /// Leader only: progress of the other voters.
    std::map<replica_id, replication_progress> progress;
    /// Leader only: members that wait for a vote, by name.
    std::map<std::string, joining_member> joining;
    /// When this member last became leader.
    time_point leads_since{};
    /// Where answers to each member go according to its last message, by name.
    std::map<std::string, std::string> last_addresses;
    /// Address of the leader that another member named last. It gets a hello too if it is no seed.
    std::string leader_hint;

    /// Formation of the first membership: the nonce of this process, and the seeds that last
    /// answered it as empty, by name.
    std::uint64_t hello_nonce = 0;
    std::map<std::string, empty_member> empty_members;
    time_point next_hello_at{};

    random_engine random;
};

/// State restored from disk when the process starts.
struct stored_consensus {
    std::uint64_t term = 0;
    std::string voted_for;
    known_leader last_leader;
    replicated_log log;
};

}  // namespace balsamdrift
