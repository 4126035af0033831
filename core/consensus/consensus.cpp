#include "core/consensus/consensus.h"

#include <algorithm>

#include "base/codec.h"
#include "base/invariant.h"
#include "core/consensus/leader_contact.h"

namespace balsamdrift {
namespace {

using actions = std::vector<consensus_action>;

std::int64_t to_nanoseconds(time_point at)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(at.time_since_epoch()).count();
}

time_point from_nanoseconds(std::int64_t at) { return time_point(std::chrono::nanoseconds(at)); }

void reset_election_timer(consensus_state& state, time_point now)
{
    const duration jitter =
        random_between(state.random, duration{0}, state.options.election_jitter);
    state.next_election_at =
        early_election_at(state, now).value_or(now + state.options.election_timeout + jitter);
}

void send(actions& out, const voter& to, consensus_message message)
{
    out.push_back(send_to_member{to.id, to.address, std::move(message)});
}

std::vector<voter> other_voters(const consensus_state& state)
{
    std::vector<voter> others = state.members.voters;
    std::erase_if(others, [&](const voter& it) { return it.id == state.options.self; });
    return others;
}

/// Address of a member from the membership, the seeds or its last message; empty if unknown.
std::string address_of(const consensus_state& state, const replica_id& id)
{
    const membership& members = state.members;
    if (const voter* it = find_by_name(members, id.name)) {
        return it->address;
    }
    for (const voter& it : state.options.seeds) {
        if (it.id.name == id.name) {
            return it.address;
        }
    }
    const auto last = state.last_addresses.find(id.name);
    return last == state.last_addresses.end() ? std::string() : last->second;
}

std::string leader_address(const consensus_state& state)
{
    if (state.role == consensus_role::leader) {
        return state.options.address;
    }
    return state.leader ? address_of(state, *state.leader) : std::string();
}

void reply(const consensus_state& state, actions& out, const replica_id& to,
           consensus_message message)
{
    out.push_back(send_to_member{to, address_of(state, to), std::move(message)});
}

void save_vote_state(const consensus_state& state, actions& out)
{
    out.push_back(save_vote{state.term, state.voted_for, state.last_leader});
}

void adopt_term(consensus_state& state, actions& out, std::uint64_t term)
{
    BALSAMDRIFT_INVARIANT(term > state.term);
    state.term = term;
    state.voted_for.clear();
    state.leader.reset();
    save_vote_state(state, out);
}

void become_follower(consensus_state& state, actions& out, time_point now)
{
    if (state.role == consensus_role::leader) {
        out.push_back(leadership_changed{false, state.term});
        state.joining.clear();
        state.progress.clear();
    }
    state.role = consensus_role::follower;
    state.votes.clear();
    reset_election_timer(state, now);
}

/// Uses the newest membership in the log if one is among the appended entries. A membership takes
/// effect when it is appended, not when it is committed.
void use_newest_membership(consensus_state& state, const std::vector<log_entry>& appended)
{
    for (const log_entry& it : appended) {
        if (it.kind == entry_kind::membership) {
            state.members = effective_membership(state.log);
        }
    }
}

/// Appends entries of the current term to the own log and saves them.
void append_to_own_log(consensus_state& state, actions& out, std::vector<log_entry> entries)
{
    const std::uint64_t first = last_index(state.log) + 1;
    std::uint64_t index = first;
    for (log_entry& it : entries) {
        it.index = index++;
        it.term = state.term;
        state.log.entries.push_back(it);
    }
    use_newest_membership(state, entries);
    out.push_back(save_entries{first, std::move(entries)});
}

/// Sends the entries or the snapshot that the member lacks, or a heartbeat when it lacks nothing.
void replicate_to(consensus_state& state, actions& out, const voter& to,
                  replication_progress& progress, time_point now)
{
    const std::uint64_t prev = progress.next_index - 1;
    if (!has_term_at(state.log, prev)) {
        send(out, to, install_snapshot{state.term, state.log.snapshot, to_nanoseconds(now)});
        progress.next_index = state.log.snapshot.index + 1;
        return;
    }
    append_request request{
        .term = state.term,
        .prev_index = prev,
        .prev_term = term_at(state.log, prev),
        .entries = entries_from(state.log, progress.next_index, state.options.max_append_bytes),
        .commit_index = state.commit_index,
        .sent_at = to_nanoseconds(now)};
    progress.next_index += request.entries.size();
    send(out, to, std::move(request));
}

void replicate_to_all(consensus_state& state, actions& out, time_point now)
{
    for (const voter& it : other_voters(state)) {
        replicate_to(state, out, it, state.progress[it.id], now);
    }
    for (auto& [name, member] : state.joining) {
        replicate_to(state, out, member.identity, member.progress, now);
    }
}

/// Applies the committed entries that were not applied yet.
void apply_committed(consensus_state& state, actions& out)
{
    if (state.applied_index >= state.commit_index) {
        return;
    }
    apply_entries batch;
    while (state.applied_index < state.commit_index) {
        ++state.applied_index;
        batch.entries.push_back(entry_at(state.log, state.applied_index));
    }
    out.push_back(std::move(batch));
}

/// Seeds that make up a quorum of them.
std::size_t seed_quorum_size(const consensus_state& state)
{
    return state.options.seeds.size() / 2 + 1;
}

/// True once the log holds a command or a snapshot of commands.
bool has_commands(const consensus_state& state)
{
    const auto& entries = state.log.entries;
    return state.log.snapshot.index > 0 ||
           std::any_of(entries.begin(), entries.end(),
                       [](const log_entry& it) { return it.kind == entry_kind::command; });
}

/// False while the membership has too few voters for the first command. With twice as many voters
/// as disks may be lost, and one more, a quorum is left after any such loss, with the command on
/// one of its disks. Members that stay missing are not waited for, but the command must still be
/// kept on more disks than may be lost.
bool has_voters_for_commands(const consensus_state& state, time_point now)
{
    if (has_commands(state)) {
        return true;
    }
    const std::size_t voters = state.members.voters.size();
    const std::size_t copies = state.options.min_commit_copies;
    if (voters >= std::min(2 * copies - 1, state.options.max_voters)) {
        return true;
    }
    const bool waited = now - state.started_at >= state.options.voter_patience;
    return waited && voters >= std::min(copies, state.options.seeds.size());
}

/// Voters that must have saved an entry before it is committed. Before the first command, a quorum
/// suffices: nothing is acknowledged yet, and a voter that was lost while the membership was formed
/// can only be replaced once the membership is committed.
std::size_t commit_quorum(const consensus_state& state)
{
    const std::size_t quorum = quorum_size(state.members);
    if (!has_commands(state)) {
        return quorum;
    }
    return std::max(quorum, std::min(state.options.min_commit_copies, state.members.voters.size()));
}

/// The highest index that a commit quorum of the membership in use has saved.
std::uint64_t quorum_match_index(const consensus_state& state)
{
    const membership& members = state.members;
    std::vector<std::uint64_t> matches;
    for (const voter& it : members.voters) {
        if (it.id == state.options.self) {
            matches.push_back(last_index(state.log));
            continue;
        }
        const auto found = state.progress.find(it.id);
        matches.push_back(found == state.progress.end() ? 0 : found->second.match_index);
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    return matches[commit_quorum(state) - 1];
}

void advance_commit(consensus_state& state, actions& out)
{
    const std::uint64_t index = quorum_match_index(state);
    // Only entries of the current term are committed by counting copies: an entry of an earlier
    // term could still be overwritten. Earlier entries are committed together with a later one.
    if (index > state.commit_index && term_at(state.log, index) == state.term) {
        state.commit_index = index;
        apply_committed(state, out);
    }
}

/// True when an entry of the current term is committed.
bool committed_in_current_term(const consensus_state& state)
{
    return state.commit_index >= state.log.snapshot.index && state.commit_index > 0 &&
           term_at(state.log, state.commit_index) == state.term;
}

bool has_uncommitted_membership(const consensus_state& state)
{
    return std::any_of(
        state.log.entries.begin(), state.log.entries.end(), [&](const log_entry& it) {
            return it.kind == entry_kind::membership && it.index > state.commit_index;
        });
}

void propose_membership(consensus_state& state, actions& out, const membership& members,
                        time_point now)
{
    append_to_own_log(state, out,
                      {log_entry{.kind = entry_kind::membership, .data = encode(members)}});
    advance_commit(state, out);
    replicate_to_all(state, out, now);
}

/// A voter that has not answered this leader within the replacement timeout, or null.
const voter* find_unresponsive_voter(const consensus_state& state, time_point now)
{
    const duration timeout = state.options.voter_replacement_timeout;
    for (const voter& it : state.members.voters) {
        const auto found = state.progress.find(it.id);
        if (it.id == state.options.self || found == state.progress.end()) {
            continue;
        }
        // Time before this leader was elected does not count: it had sent the voter no requests
        // yet.
        const time_point unanswered_since = std::max(found->second.confirmed_at, state.leads_since);
        if (now - unanswered_since > timeout) {
            return &it;
        }
    }
    return nullptr;
}

/// Proposes the next membership change for one joining member that is up to date: first its lost
/// incarnation, or an unresponsive voter if there are as many voters as allowed, is removed; a
/// later call adds the member. Only one voter changes at a time, so that every quorum of the old
/// membership shares a voter with every quorum of the new one.
void advance_joining(consensus_state& state, actions& out, time_point now)
{
    if (state.role != consensus_role::leader || !committed_in_current_term(state) ||
        has_uncommitted_membership(state)) {
        return;
    }
    for (const auto& entry : state.joining) {
        const std::string name = entry.first;
        const joining_member member = entry.second;
        const bool responsive =
            now - member.progress.confirmed_at < state.options.voter_replacement_timeout;
        if (member.progress.match_index < state.commit_index || !responsive) {
            continue;
        }
        membership members = state.members;
        if (find_by_name(members, name) != nullptr) {
            std::erase_if(members.voters, [&](const voter& it) { return it.id.name == name; });
            propose_membership(state, out, members, now);
            return;
        }
        if (members.voters.size() >= state.options.max_voters) {
            const voter* const unresponsive = find_unresponsive_voter(state, now);
            if (unresponsive == nullptr) {
                continue;
            }
            const replica_id removed = unresponsive->id;
            std::erase_if(members.voters, [&](const voter& it) { return it.id == removed; });
            propose_membership(state, out, members, now);
            return;
        }
        members.voters.push_back(member.identity);
        state.progress[member.identity.id] = member.progress;
        state.joining.erase(name);
        propose_membership(state, out, members, now);
        return;
    }
}

void become_leader(consensus_state& state, actions& out, time_point now)
{
    state.role = consensus_role::leader;
    state.leader = state.options.self;
    state.leads_since = now;
    state.progress.clear();
    for (const voter& it : other_voters(state)) {
        state.progress[it.id] = {.next_index = last_index(state.log) + 1};
    }
    state.next_heartbeat_at = now + state.options.heartbeat_interval;
    state.next_election_at = now + state.options.election_timeout;
    if (record_leader(state, state.options.self.name, now)) {
        save_vote_state(state, out);
    }
    out.push_back(leadership_changed{true, state.term});
    append_to_own_log(state, out, {log_entry{.kind = entry_kind::no_op}});
    advance_commit(state, out);
    replicate_to_all(state, out, now);
}

/// Members that are asked for their vote: the other voters or, for the first membership, the other
/// seeds that are empty.
std::vector<voter> other_electors(const consensus_state& state)
{
    if (!state.members.voters.empty()) {
        return other_voters(state);
    }
    std::vector<voter> others;
    others.reserve(state.empty_members.size());
    for (const auto& [name, it] : state.empty_members) {
        others.push_back(it.identity);
    }
    return others;
}

/// True when the votes suffice: of a quorum of the membership or, for the first membership, of the
/// seeds. The vote of a seed that has lost its disk since does not count.
bool has_enough_votes(const consensus_state& state)
{
    if (!state.members.voters.empty()) {
        return state.votes.size() >= quorum_size(state.members);
    }
    const auto n =
        std::count_if(state.votes.begin(), state.votes.end(), [&](const std::string& it) {
            return it == state.options.self.name || state.empty_members.contains(it);
        });
    return static_cast<std::size_t>(n) >= seed_quorum_size(state);
}

/// True when the other seeds that are empty suffice for the first membership. All of them do.
/// Without all, a quorum of the membership must be a quorum of the seeds too, so that the log of a
/// second formation cannot be committed beside that of the first one.
bool may_form_membership(const consensus_state& state, time_point now)
{
    const std::size_t seeds = state.options.seeds.size();
    const std::size_t empty = state.empty_members.size() + 1;
    if (empty == seeds) {
        return true;
    }
    const bool waited = now - state.started_at >= state.options.formation_patience;
    return state.options.form_without_all_seeds && waited &&
           empty / 2 + 1 >= seed_quorum_size(state);
}

void start_election(consensus_state& state, actions& out, bool pre_vote, time_point now)
{
    state.role = pre_vote ? consensus_role::pre_candidate : consensus_role::candidate;
    if (!pre_vote) {
        ++state.term;
        state.voted_for = state.options.self.name;
        state.leader.reset();
        save_vote_state(state, out);
    }
    state.votes = {state.options.self.name};
    reset_election_timer(state, now);
    const std::uint64_t requested_term = pre_vote ? state.term + 1 : state.term;
    for (const voter& it : other_electors(state)) {
        send(out, it,
             vote_request{requested_term, last_index(state.log), last_term(state.log), pre_vote});
    }
}

/// Begins the log with a membership of this member and the other seeds that are empty.
void append_first_membership(consensus_state& state, actions& out)
{
    membership members{{voter{state.options.self, state.options.address}}};
    for (const auto& [name, it] : state.empty_members) {
        members.voters.push_back(it.identity);
    }
    append_to_own_log(state, out,
                      {log_entry{.kind = entry_kind::membership, .data = encode(members)}});
    out.push_back(formation_completed{});
}

void count_votes(consensus_state& state, actions& out, time_point now)
{
    if (!has_enough_votes(state)) {
        return;
    }
    if (state.role == consensus_role::pre_candidate) {
        // The own vote counts like any other.
        if (may_have_leader(state, now)) {
            return;
        }
        start_election(state, out, false, now);
        count_votes(state, out, now);
    }
    else if (state.role == consensus_role::candidate) {
        if (state.members.voters.empty()) {
            if (!may_form_membership(state, now)) {
                return;
            }
            append_first_membership(state, out);
        }
        become_leader(state, out, now);
    }
}

bool is_voter(const consensus_state& state) { return contains(state.members, state.options.self); }

/// When this leader sent the newest requests that a quorum, this leader included, has answered.
time_point quorum_confirmed_at(const consensus_state& state, time_point now)
{
    const membership& members = state.members;
    std::vector<time_point> times;
    for (const voter& it : members.voters) {
        const auto found = state.progress.find(it.id);
        const bool self = it.id == state.options.self;
        times.push_back(
            self ? now
                 : (found == state.progress.end() ? time_point{} : found->second.confirmed_at));
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[quorum_size(members) - 1];
}

void on_leader_tick(consensus_state& state, actions& out, time_point now)
{
    // A leader that gets no answers from a quorum steps down, so that its clients use another
    // member. A new leader first gives the voters an election timeout to answer.
    const bool answers_due = now >= state.next_election_at;
    if (answers_due && now - quorum_confirmed_at(state, now) > state.options.election_timeout) {
        become_follower(state, out, now);
        state.leader.reset();
        return;
    }
    if (now < state.next_heartbeat_at) {
        return;
    }
    state.next_heartbeat_at = now + state.options.heartbeat_interval;
    // Entries that were sent but not acknowledged since the last heartbeat are sent again.
    for (auto& [id, progress] : state.progress) {
        progress.next_index = std::max(progress.match_index + 1, std::uint64_t{1});
    }
    for (auto& [name, member] : state.joining) {
        member.progress.next_index = member.progress.match_index + 1;
    }
    replicate_to_all(state, out, now);
    advance_joining(state, out, now);
}

/// Sends a hello to all seeds and to the leader that another member named. Used while this member
/// has no vote.
void send_hello(consensus_state& state, actions& out, time_point now)
{
    state.next_hello_at = now + state.options.heartbeat_interval;
    const hello_request request{state.hello_nonce, state.options.address};
    bool hint_is_seed = state.leader_hint.empty();
    for (const voter& it : state.options.seeds) {
        hint_is_seed = hint_is_seed || it.address == state.leader_hint;
        if (it.address != state.options.address) {
            send(out, it, request);
        }
    }
    if (!hint_is_seed) {
        send(out, voter{{}, state.leader_hint}, request);
    }
}

/// True when this member holds no data and may take part in forming the first membership.
bool is_empty(const consensus_state& state)
{
    return state.options.may_form && last_index(state.log) == 0 && state.members.voters.empty();
}

bool is_seed(const consensus_state& state, const std::string& address)
{
    const auto& seeds = state.options.seeds;
    return std::any_of(seeds.begin(), seeds.end(),
                       [&](const voter& it) { return it.address == address; });
}

/// True when this member is the seed that forms the first membership: the one with the lowest
/// address of those that are known to be empty.
bool is_formation_coordinator(const consensus_state& state, time_point now)
{
    const std::string& own = state.options.address;
    return is_seed(state, own) && may_form_membership(state, now) &&
           std::all_of(state.empty_members.begin(), state.empty_members.end(),
                       [&](const auto& it) { return own <= it.second.identity.address; });
}

/// Asks the empty seeds for their votes if this member is the coordinator. A seed votes once in a
/// term and only for a log that is as new as its own, so two first memberships cannot both be
/// committed.
void try_formation(consensus_state& state, actions& out, time_point now)
{
    // A seed that answers no more does not hold the others up.
    std::erase_if(state.empty_members, [&](const auto& it) {
        return now - it.second.answered_at > state.options.election_timeout;
    });
    const bool waits_for_votes =
        state.role == consensus_role::candidate && now < state.next_election_at;
    const bool follows = state.leader && may_have_leader(state, now);
    if (!is_empty(state) || follows || waits_for_votes || !is_formation_coordinator(state, now)) {
        return;
    }
    start_election(state, out, false, now);
    count_votes(state, out, now);
}

void on_tick(consensus_state& state, actions& out, time_point now)
{
    if (state.role == consensus_role::leader) {
        on_leader_tick(state, out, now);
        return;
    }
    if (!is_voter(state)) {
        // The leader that this member follows knows it already, so no hello is needed.
        const bool follows = state.leader && may_have_leader(state, now);
        if (now >= state.next_hello_at && !follows) {
            send_hello(state, out, now);
            try_formation(state, out, now);
        }
        return;
    }
    if (now >= state.next_election_at) {
        // The membership that this member knows may have been replaced, or was never committed: a
        // leader that does not count it as a voter is asked to add it.
        send_hello(state, out, now);
        start_election(state, out, true, now);
        count_votes(state, out, now);
    }
}

/// Starts to bring a member without a vote up to date, if this member leads.
void start_joining(consensus_state& state, const replica_id& from, const std::string& address)
{
    // Until the first membership is committed, a member that holds a part of this log could neither
    // vote in it nor count as empty.
    if (state.role != consensus_role::leader || !committed_in_current_term(state) ||
        contains(state.members, from) || address.empty()) {
        return;
    }
    const auto found = state.joining.find(from.name);
    if (found == state.joining.end() || found->second.identity.id != from) {
        state.joining[from.name] = {voter{from, address}, {}};
    }
}

void handle(consensus_state& state, actions& out, const replica_id& from,
            const hello_request& message, time_point)
{
    state.last_addresses[from.name] = message.address;
    send(out, voter{from, message.address},
         hello_reply{message.nonce, is_empty(state), state.options.address, leader_address(state)});
    start_joining(state, from, message.address);
}

void handle(consensus_state& state, actions& out, const replica_id& from,
            const hello_reply& message, time_point now)
{
    if (message.nonce != state.hello_nonce) {
        return;
    }
    if (!message.leader_address.empty()) {
        state.leader_hint = message.leader_address;
    }
    if (!message.empty || !is_seed(state, message.address)) {
        state.empty_members.erase(from.name);
        return;
    }
    state.empty_members[from.name] = {voter{from, message.address}, now};
    try_formation(state, out, now);
}

void handle(consensus_state& state, actions& out, const replica_id& from,
            const vote_request& message, time_point now)
{
    // A voter that was replaced while it was unreachable does not know that it has no vote any
    // more. It is brought up to date again, at first without a vote.
    start_joining(state, from, address_of(state, from));
    if (record_candidate(state, from.name, message) && state.role == consensus_role::follower) {
        state.early_elections_until = now + state.options.election_timeout;
        reset_election_timer(state, now);
    }
    // A member that leads or recently had contact to a leader grants no vote, so that a member that
    // receives nothing from the leader does not disrupt it.
    const bool has_live_leader =
        may_have_leader(state, now) || state.role == consensus_role::leader;
    const bool log_up_to_date =
        message.last_term > last_term(state.log) ||
        (message.last_term == last_term(state.log) && message.last_index >= last_index(state.log));
    if (message.pre_vote && message.term <= state.term) {
        reply(state, out, from, vote_reply{state.term, false, false});
        return;
    }
    if (message.pre_vote) {
        const bool granted = !has_live_leader && log_up_to_date;
        if (granted) {
            // Leaves the candidate time to ask for the vote itself.
            reset_election_timer(state, now);
        }
        reply(state, out, from, vote_reply{message.term, granted, true});
        return;
    }
    if (has_live_leader || message.term < state.term) {
        reply(state, out, from, vote_reply{std::max(message.term, state.term), false, false});
        return;
    }
    if (message.term > state.term) {
        adopt_term(state, out, message.term);
        become_follower(state, out, now);
    }
    const bool vote_available = state.voted_for.empty() || state.voted_for == from.name;
    const bool granted = vote_available && log_up_to_date;
    if (granted) {
        state.voted_for = from.name;
        save_vote_state(state, out);
        reset_election_timer(state, now);
    }
    reply(state, out, from, vote_reply{state.term, granted, false});
}

void handle(consensus_state& state, actions& out, const replica_id& from, const vote_reply& message,
            time_point now)
{
    const bool expected =
        message.pre_vote
            ? state.role == consensus_role::pre_candidate && message.term == state.term + 1
            : state.role == consensus_role::candidate && message.term == state.term;
    if (expected && message.granted) {
        state.votes.insert(from.name);
        count_votes(state, out, now);
    }
    else if (!message.pre_vote && message.term > state.term &&
             (state.role == consensus_role::candidate ||
              state.role == consensus_role::pre_candidate)) {
        adopt_term(state, out, message.term);
        become_follower(state, out, now);
    }
}

/// Follows the sender as leader of its term. Returns false when its term is older than the current.
bool follow_leader(consensus_state& state, actions& out, const replica_id& from, std::uint64_t term,
                   time_point now)
{
    if (term < state.term) {
        return false;
    }
    BALSAMDRIFT_INVARIANT(term > state.term || state.role != consensus_role::leader);
    if (term > state.term) {
        adopt_term(state, out, term);
    }
    if (record_leader(state, from.name, now)) {
        save_vote_state(state, out);
    }
    become_follower(state, out, now);
    state.leader = from;
    return true;
}

/// Appends the entries that the log lacks. From the first conflict on, the leader's entries replace
/// the own ones.
void merge_entries(consensus_state& state, actions& out, const std::vector<log_entry>& entries)
{
    for (std::size_t n = 0; n < entries.size(); ++n) {
        const log_entry& it = entries[n];
        if (it.index <= state.log.snapshot.index) {
            continue;
        }
        const bool present = it.index <= last_index(state.log);
        if (present && term_at(state.log, it.index) == it.term) {
            continue;
        }
        BALSAMDRIFT_INVARIANT(it.index > state.commit_index);
        if (present) {
            truncate_from(state.log, it.index);
            state.members = effective_membership(state.log);
        }
        const std::vector<log_entry> missing(entries.begin() + static_cast<std::ptrdiff_t>(n),
                                             entries.end());
        state.log.entries.insert(state.log.entries.end(), missing.begin(), missing.end());
        use_newest_membership(state, missing);
        out.push_back(save_entries{it.index, missing});
        return;
    }
}

void handle(consensus_state& state, actions& out, const replica_id& from,
            const append_request& message, time_point now)
{
    if (!follow_leader(state, out, from, message.term, now)) {
        reply(state, out, from, append_reply{state.term, false, 0, message.sent_at});
        return;
    }
    const bool before_snapshot = message.prev_index < state.log.snapshot.index;
    const bool matches =
        before_snapshot || (has_term_at(state.log, message.prev_index) &&
                            term_at(state.log, message.prev_index) == message.prev_term);
    if (!matches) {
        const std::uint64_t last_possible_match =
            std::min(last_index(state.log), message.prev_index - 1);
        const std::uint64_t retry_index = std::max(last_possible_match, state.commit_index);
        reply(state, out, from, append_reply{state.term, false, retry_index, message.sent_at});
        return;
    }
    merge_entries(state, out, message.entries);
    const std::uint64_t match = std::max(message.prev_index + message.entries.size(),
                                         before_snapshot ? state.log.snapshot.index : 0);
    const std::uint64_t committed = std::min(message.commit_index, match);
    if (committed > state.commit_index) {
        state.commit_index = committed;
        apply_committed(state, out);
    }
    reply(state, out, from, append_reply{state.term, true, match, message.sent_at});
}

void handle(consensus_state& state, actions& out, const replica_id& from,
            const install_snapshot& message, time_point now)
{
    if (!follow_leader(state, out, from, message.term, now)) {
        reply(state, out, from, append_reply{state.term, false, 0, message.sent_at});
        return;
    }
    if (message.snapshot.index > state.commit_index) {
        replace_prefix(state.log, message.snapshot);
        state.members = effective_membership(state.log);
        state.commit_index = message.snapshot.index;
        state.applied_index = message.snapshot.index;
        out.push_back(adopt_snapshot{message.snapshot});
    }
    reply(state, out, from,
          append_reply{state.term, true, message.snapshot.index, message.sent_at});
}

/// Progress of exactly this incarnation, joining or voting, or null.
replication_progress* find_progress(consensus_state& state, const replica_id& id)
{
    const auto joining = state.joining.find(id.name);
    if (joining != state.joining.end() && joining->second.identity.id == id) {
        return &joining->second.progress;
    }
    const auto found = state.progress.find(id);
    return found == state.progress.end() ? nullptr : &found->second;
}

void handle(consensus_state& state, actions& out, const replica_id& from,
            const append_reply& message, time_point now)
{
    if (message.term > state.term) {
        adopt_term(state, out, message.term);
        become_follower(state, out, now);
        return;
    }
    replication_progress* progress = find_progress(state, from);
    if (state.role != consensus_role::leader || message.term != state.term || progress == nullptr) {
        return;
    }
    progress->confirmed_at = std::max(progress->confirmed_at, from_nanoseconds(message.sent_at));
    if (!message.accepted) {
        progress->next_index = std::min(message.match_index, last_index(state.log)) + 1;
        return;
    }
    progress->match_index = std::max(progress->match_index, message.match_index);
    progress->next_index = std::max(progress->next_index, progress->match_index + 1);
    advance_commit(state, out);
    advance_joining(state, out, now);
}

void on_message(consensus_state& state, actions& out, const member_message& event, time_point now)
{
    const bool any_name = event.to.name.empty();
    const bool any_incarnation = event.to.incarnation == 0;
    const bool addressed_to_self =
        (any_name || event.to.name == state.options.self.name) &&
        (any_incarnation || event.to.incarnation == state.options.self.incarnation);
    if (!addressed_to_self) {
        return;
    }
    if (!event.address.empty()) {
        state.last_addresses[event.from.name] = event.address;
    }
    std::visit([&](const auto& it) { handle(state, out, event.from, it, now); }, event.message);
}

void on_commands(consensus_state& state, actions& out, const commands_proposed& event,
                 time_point now)
{
    if (state.role != consensus_role::leader || event.commands.empty() ||
        !has_voters_for_commands(state, now)) {
        return;
    }
    std::vector<log_entry> entries;
    entries.reserve(event.commands.size());
    for (const std::string& it : event.commands) {
        entries.push_back({.kind = entry_kind::command, .data = it});
    }
    append_to_own_log(state, out, std::move(entries));
    advance_commit(state, out);
    replicate_to_all(state, out, now);
}

/// The membership as of an applied index.
membership membership_at(const consensus_state& state, std::uint64_t index)
{
    replicated_log prefix = state.log;
    if (index < last_index(prefix)) {
        truncate_from(prefix, index + 1);
    }
    return effective_membership(prefix);
}

void on_snapshot_taken(consensus_state& state, actions& out, const snapshot_taken& event)
{
    if (event.index <= state.log.snapshot.index) {
        return;
    }
    BALSAMDRIFT_INVARIANT(event.index <= state.applied_index);
    log_snapshot snapshot{.index = event.index,
                          .term = term_at(state.log, event.index),
                          .members = membership_at(state, event.index),
                          .state = event.state};
    replace_prefix(state.log, snapshot);
    out.push_back(save_snapshot{std::move(snapshot)});
}

}  // namespace

consensus_state make_consensus(const consensus_options& options, stored_consensus stored,
                               time_point now)
{
    BALSAMDRIFT_INVARIANT(options.self.incarnation != 0);
    consensus_state state{.options = options,
                          .term = stored.term,
                          .voted_for = std::move(stored.voted_for),
                          .last_leader = std::move(stored.last_leader),
                          .log = std::move(stored.log)};
    state.random.seed(options.random_seed);
    state.commit_index = state.log.snapshot.index;
    state.applied_index = state.log.snapshot.index;
    state.members = effective_membership(state.log);
    state.last_leader_contact = now;
    state.started_at = now;
    // A new data folder has never answered a leader.
    state.last_leader_stopped = state.term == 0 || state.last_leader.name == options.self.name;
    state.hello_nonce = state.random();
    state.early_elections_until = now + options.election_timeout;
    reset_election_timer(state, now);
    if (state.last_leader_stopped) {
        // The request tells the others, too, that this member no longer leads.
        state.next_election_at = now;
    }
    return state;
}

std::vector<consensus_action> step(consensus_state& state, const consensus_event& event,
                                   time_point now)
{
    actions out;
    std::visit(overloaded{
                   [&](const clock_ticked&) { on_tick(state, out, now); },
                   [&](const member_message& it) { on_message(state, out, it, now); },
                   [&](const commands_proposed& it) { on_commands(state, out, it, now); },
                   [&](const snapshot_taken& it) { on_snapshot_taken(state, out, it); },
               },
               event);
    return out;
}

time_point next_tick_at(const consensus_state& state, time_point now)
{
    if (state.role == consensus_role::leader) {
        return state.next_heartbeat_at;
    }
    if (is_voter(state)) {
        return state.next_election_at;
    }
    // A member without a vote that follows a leader sends no hello and looks again after the time
    // in which the leader's next heartbeat is due.
    return state.next_hello_at > now ? state.next_hello_at : now + state.options.heartbeat_interval;
}

bool holds_leadership(const consensus_state& state, time_point now)
{
    if (state.role != consensus_role::leader || !committed_in_current_term(state) ||
        !has_voters_for_commands(state, now)) {
        return false;
    }
    const duration timeout = state.options.election_timeout;
    // Shortened by the possible drift: another member's clock may run faster than this one.
    const duration validity = timeout - timeout * state.options.clock_drift_permille / 1000;
    return now - quorum_confirmed_at(state, now) < validity;
}

}  // namespace balsamdrift
