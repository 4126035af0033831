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

/// Result of checking a request against its customer's rate.
enum class rate_check_result : std::uint8_t {
    admitted,
    /// The customer's rate and burst are used up.
    over_rate,
    /// The owner of the bucket could not be reached before the deadline.
    unavailable,
};

/// Enforces customers' rates over the whole fleet with one token bucket per customer. The owner of
/// the customer's shard holds the bucket. Other entries request tokens from it, with one message
/// for all requests of a customer that wait here.
class token_service {
public:
    using rate_check_handler = std::function<void(rate_check_result, duration retry_after)>;

    token_service(entry_view& view, fleet_node& fleet);

    /// Takes a token for one request of the customer and calls `on_done` once, soon after
    /// `deadline` at the latest. Safe from any thread.
    void admit(const std::string& customer, time_point deadline, rate_check_handler on_done);

    /// Handles another entry's request to this entry as the owner.
    void handle(const token_request& request, const std::string& sender);

    /// Handles an owner's answer.
    void handle(const token_answer& answer);

    /// Proposes to release the customer shards that this entry owns, with the levels of their
    /// buckets: all shards when `draining`, otherwise the recalled ones. Called repeatedly until
    /// the release is recorded.
    void release(bool draining, const std::function<void(const registry_command&)>& propose);

    /// Repeats unanswered requests to owners and rejects requests past their deadline. Called every
    /// few milliseconds.
    void tick();

private:
    /// A bucket and the ownership epoch to which it belongs.
    struct owned_bucket {
        token_bucket bucket;
        std::uint64_t epoch = 0;
    };
    struct bucket_shard {
        std::map<std::string, owned_bucket> by_customer;
    };

    /// A caller's request that waits for a token.
    struct waiting_request {
        time_point deadline{};
        rate_check_handler on_done;
    };
    /// The requests of one customer that wait for the owner's answer.
    struct pending_customer {
        std::vector<waiting_request> waiting;
        /// Id of the unanswered token_request to the owner; zero if there is none.
        std::uint64_t request_id = 0;
        /// Number of tokens requested by it.
        std::uint32_t requested = 0;
        time_point requested_at{};
    };
    struct pending_shard {
        std::map<std::string, pending_customer> by_customer;
    };

    /// Takes tokens from a bucket that this entry owns.
    token_answer take_tokens(const token_request& request);
    void send_request(const std::string& customer);
    void apply_answer(const token_answer& answer);

    entry_view& view_;
    fleet_node& fleet_;
    /// Epochs of released customer shards. Their buckets must not grant tokens any more.
    struct released_shard {
        std::map<std::string, std::uint64_t> epoch_by_item;
    };

    std::map<std::string, double> collect_levels(const std::string& item, std::uint64_t epoch);
    bool is_released(const std::string& item, std::uint64_t epoch);

    sharded<bucket_shard> buckets_;
    sharded<released_shard> released_;
    /// Bucket levels of the released shards, kept so that a repeated proposal has the same levels.
    /// Used only by release().
    std::map<std::string, std::map<std::string, double>> released_levels_;
    sharded<pending_shard> pending_;
    std::atomic<std::uint64_t> next_request_id_ = 1;
};

}  // namespace balsamdrift
