#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/sharded.h"
#include "core/rates/token_bucket.h"
#include "entry/entry_view.h"
#include "fleet/fleet_node.h"
#include "fleet/work_message.h"

namespace balsamdrift {

/// How a request fared against its customer's rate.
enum class admission : std::uint8_t {
    admitted,
    /// The customer's rate and burst are used up.
    over_rate,
    /// The owner of the bucket could not be reached before the deadline.
    unavailable,
};

/// Counts every customer's requests in one bucket for the whole fleet. The owner of the customer's
/// shard holds the bucket; other entries ask it, all requests that wait here in one message.
class token_service {
public:
    using admission_handler = std::function<void(admission, duration retry_after)>;

    token_service(entry_view& view, fleet_node& fleet);

    /// Takes a token for one request of the customer. Safe from any thread.
    void admit(const std::string& customer, time_point deadline, admission_handler on_done);

    /// Another entry asks this one as the owner.
    void handle(const token_request& it, const std::string& sender);

    /// The owner answered.
    void handle(const token_answer& it);

    /// Hands the customer shards back that this entry owns: all when `draining`, else the recalled
    /// ones. The buckets' levels go with them.
    void release(bool draining, const std::function<void(const registry_command&)>& propose);

    /// Repeats unanswered questions and gives up on late ones; called now and then.
    void tick();

private:
    /// A bucket and the epoch of the ownership it belongs to.
    struct owned_bucket {
        token_bucket bucket;
        std::uint64_t epoch = 0;
    };
    struct bucket_shard {
        std::map<std::string, owned_bucket> by_customer;
    };

    struct waiting_request {
        time_point deadline{};
        admission_handler on_done;
    };
    /// The requests of one customer that wait for the owner's answer.
    struct pending_customer {
        std::vector<waiting_request> waiting;
        /// The question under way; zero if none.
        std::uint64_t question = 0;
        std::uint32_t asked = 0;
        time_point asked_at{};
    };
    struct pending_shard {
        std::map<std::string, pending_customer> by_customer;
    };

    token_answer take_owned(const token_request& it);
    void ask(const std::string& customer);
    void resolve(const token_answer& it);

    entry_view& view_;
    fleet_node& fleet_;
    /// Epochs that were handed back and must not grant any more.
    struct released_shard {
        std::map<std::string, std::uint64_t> epoch_by_item;
    };

    std::map<std::string, double> take_levels(const std::string& item, std::uint64_t epoch);
    bool is_released(const std::string& item, std::uint64_t epoch);

    sharded<bucket_shard> buckets_;
    sharded<released_shard> released_;
    /// Levels of the shards handed back, for repeats of the proposal; used by release() alone.
    std::map<std::string, std::map<std::string, double>> handed_back_;
    sharded<pending_shard> pending_;
    std::atomic<std::uint64_t> next_question_ = 1;
};

}  // namespace balsamdrift
