#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <string>

#include "base/sharded.h"
#include "entry/entry_view.h"
#include "entry/owner_host.h"
#include "fleet/fleet_node.h"
#include "fleet/work_message.h"

namespace balsamdrift {

/// Brings each statement to the owner of its group and matches the answer by its id. Follows
/// changes of owners: what may be repeated is sent again, what may not is reported as it stands.
class work_router {
public:
    using answer_function = std::function<void(work_answer)>;

    work_router(entry_view& view, fleet_node& fleet, owner_host& owners);

    /// Sends a statement and answers it exactly once, at its deadline at the latest. Gives the id.
    std::uint64_t submit(work_request request, time_point deadline, answer_function on_answer);

    /// The caller left; nobody wants the answer any more.
    void cancel(std::uint64_t id);

    /// Another entry sends a statement to this one as the owner.
    void handle(const work_request& it, const std::string& sender);

    /// An owner answered.
    void handle(work_answer it);

    /// Sends again what is due and ends what is late; called now and then.
    void tick();

    /// Statements without an answer.
    int pending() const { return pending_count_; }

private:
    /// A statement without an answer.
    struct pending_work {
        work_request request;
        answer_function on_answer;
        time_point deadline{};
        /// Owner it was sent to last; an empty name if it was not sent.
        owner_record sent_to;
        time_point sent_at{};
        /// Not before this is it sent again.
        time_point retry_at{};
    };
    struct pending_shard {
        std::map<std::uint64_t, pending_work> by_id;
    };

    void send(std::uint64_t id);
    void finish(std::uint64_t id, work_answer answer);
    owner_record owner_of(const std::string& group) const;

    entry_view& view_;
    fleet_node& fleet_;
    owner_host& owners_;
    sharded<pending_shard> pending_;
    std::atomic<std::uint64_t> next_id_;
    std::atomic<int> pending_count_ = 0;
};

}  // namespace balsamdrift
