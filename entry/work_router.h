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

/// Sends each request to the owner of its group and matches the answer by the request's id. After a
/// change of owner a request is sent again if it may be repeated; otherwise its caller is told what
/// is known about its effect.
class work_router {
public:
    using answer_function = std::function<void(work_answer)>;

    work_router(entry_view& view, fleet_node& fleet, owner_host& owners);

    /// Sends a request and calls `on_answer` exactly once, at about its deadline at the latest.
    /// Returns the id of the request.
    std::uint64_t submit(work_request request, time_point deadline, answer_function on_answer);

    /// Handles the disconnection of a request's caller: the owner is told to drop the request.
    void cancel(std::uint64_t id);

    /// Handles another entry's request to this entry as the owner.
    void handle(const work_request& request, const std::string& sender);

    /// Handles an owner's answer.
    void handle(work_answer answer);

    /// Repeats requests that are due and answers those that are past their deadline. Called every
    /// few milliseconds.
    void tick();

    /// Number of unanswered requests.
    int pending() const { return pending_count_; }

private:
    /// An unanswered request.
    struct pending_work {
        work_request request;
        answer_function on_answer;
        time_point deadline{};
        /// Owner that it was last sent to; the name is empty if it was not sent or the receiver did
        /// not own the group.
        owner_record sent_to;
        time_point sent_at{};
        /// Earliest time at which it is sent again.
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
