#include "core/consensus/leader_contact.h"

namespace balsamdrift {
namespace {

/// Time between two requests for votes of a member that expects no leader. It covers the two round
/// trips of an election between regions, so that a candidate is not disturbed by the next one.
constexpr milliseconds early_election_interval(100);
constexpr milliseconds early_election_jitter(100);

}  // namespace

bool may_have_leader(const consensus_state& state, time_point now)
{
    const bool last_leader_stopped = state.last_leader_stopped;
    return !last_leader_stopped && now - state.last_leader_contact < state.options.election_timeout;
}

bool record_leader(consensus_state& state, const std::string& name, time_point now)
{
    state.last_leader_contact = now;
    state.last_leader_stopped = false;
    state.early_elections_until = time_point{};
    const bool known = state.last_leader.name == name && state.last_leader.term == state.term;
    state.last_leader = {name, state.term};
    return !known;
}

bool record_candidate(consensus_state& state, const std::string& name, const vote_request& request)
{
    const bool was_last_leader = name == state.last_leader.name && !name.empty();
    if (!was_last_leader || request.term <= state.last_leader.term || state.last_leader_stopped) {
        return false;
    }
    state.last_leader_stopped = true;
    return true;
}

std::optional<time_point> early_election_at(consensus_state& state, time_point now)
{
    if (now >= state.early_elections_until) {
        return std::nullopt;
    }
    return now + early_election_interval +
           random_between(state.random, duration{0}, duration(early_election_jitter));
}

}  // namespace balsamdrift
