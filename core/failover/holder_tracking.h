#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "core/failover/commit_holder.h"
#include "core/instances/instance_directory.h"
#include "core/statements/instance_status.h"

namespace balsamdrift {

/// An instance's answer to a status request, and when the request was sent.
struct dated_status {
    instance_status status;
    time_point requested_at{};
};

/// The newest status of each instance, by name.
using status_answers = std::map<std::string, dated_status>;

/// A recorded holder that is not in the directory. It may run all the same: its reports may go to a
/// member that cannot pass them on, or be taken for those of an earlier incarnation. It is asked
/// directly, at its recorded address.
struct departed_holder {
    /// When it last answered, or if it has not, when this leader first missed it.
    time_point last_heard_at{};
    /// Its newest answer.
    std::optional<dated_status> answer;
    /// When it was known not to run any more. Unset again by an answer.
    std::optional<time_point> ended_at;
    /// True once a later incarnation has reported from the same address. That one would answer in
    /// place of this one, so this one is not asked any more.
    bool superseded = false;
    /// When the newest request was sent.
    std::optional<time_point> requested_at;
};

/// What the leader knows about holders that have left the directory. Not replicated: a new leader
/// starts with an empty state.
struct holder_tracking {
    std::map<commit_holder, departed_holder> departed;
    /// Instances that were in the directory lately, and when, while the service had no synchronous
    /// replicas and its holders were not recorded.
    std::map<commit_holder, time_point> recent;
    time_point recent_updated_at{};
    /// Status of the serving primary, with which the answers of its replicas are compared.
    std::optional<dated_status> primary_sample;
};

/// The incarnation that the heartbeat describes.
commit_holder holder_of(const instance_heartbeat& it);

/// The instance in the directory that this holder is, or null if that incarnation has left it.
const known_instance* find_holder(const std::vector<known_instance>& instances,
                                  const commit_holder& holder);

/// The instance that has the holder's log: itself, or after it left as announced, the next one at
/// its address. Null if there is none.
const known_instance* find_log_of(const std::vector<known_instance>& instances,
                                  const commit_holder& holder);

/// The holders that should be recorded: the instances in the directory, and the recorded ones that
/// have left it. Notes which holders departed. One whose name and address a later incarnation has
/// does not run any more.
commit_holders holders_to_record(holder_tracking& tracking, const commit_holders& recorded,
                                 const std::vector<known_instance>& instances, time_point now);

/// Notes the instances in the directory while holders are not recorded. One that leaves it is kept
/// for `lifetime`: it may acknowledge commits once synchronous replicas are declared.
void note_recent_instances(holder_tracking& tracking, const std::vector<known_instance>& instances,
                           duration lifetime, time_point now);

/// Takes the newest answer of the serving primary as sample if it was requested at `since` or later
/// and there is no such sample yet. Drops an earlier sample.
void take_primary_sample(holder_tracking& tracking, const status_answers& answers,
                         const std::string& primary, time_point since);

/// True when the instance answered a request that was sent after the sample, and had received what
/// the primary then had.
bool has_caught_up(const holder_tracking& tracking, const status_answers& answers,
                   const std::string& instance);

}  // namespace balsamdrift
