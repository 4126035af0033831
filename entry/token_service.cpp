#include "entry/token_service.h"

#include <algorithm>

#include "base/codec.h"
#include "base/metrics.h"
#include "core/registry/item_id.h"

namespace balsamdrift {
namespace {

/// A request to an owner that is not answered within this time is repeated.
constexpr milliseconds answer_timeout(250);

/// Delay before a request is repeated that reached an entry which is not the owner.
constexpr milliseconds not_owner_retry_delay(20);

/// Creates the bucket of a customer that has not requested tokens in this epoch. Without a level
/// from the previous owner the bucket is full only if the customer cannot have spent tokens before:
/// in the first epoch, or if the customer was created during this one.
token_bucket make_initial_bucket(const std::string& name, const customer_record& customer,
                                 const owner_record& owner, time_point now)
{
    const bucket_limits limits{customer.rate, customer.burst};
    const auto level = owner.bucket_levels.find(name);
    if (level != owner.bucket_levels.end()) {
        token_bucket bucket = make_empty_bucket(limits, now);
        bucket.tokens = std::min(level->second, limits.burst);
        return bucket;
    }
    const bool never_used = owner.epoch == 1 || customer.created_index > owner.epoch_start_index;
    return never_used ? make_full_bucket(limits, now) : make_empty_bucket(limits, now);
}

}  // namespace

token_service::token_service(entry_view& view, fleet_node& fleet) : view_(view), fleet_(fleet) {}

void token_service::admit(const std::string& customer, time_point deadline,
                          rate_check_handler on_done)
{
    const bool no_request_pending = pending_.with(customer, [&](pending_shard& shard) {
        pending_customer& it = shard.by_customer[customer];
        it.waiting.push_back({deadline, std::move(on_done)});
        return it.request_id == 0;
    });
    if (no_request_pending) {
        send_request(customer);
    }
}

void token_service::send_request(const std::string& customer)
{
    const auto state = view_.state();
    const std::string item = customer_item(customer);
    const auto owner = state->owners.find(item);
    const bool has_owner = owner != state->owners.end() && !owner->second.entry.name.empty();
    const token_request request = pending_.with(customer, [&](pending_shard& shard) {
        pending_customer& it = shard.by_customer[customer];
        if (it.waiting.empty() || it.request_id != 0) {
            return token_request{};
        }
        it.request_id = next_request_id_++;
        it.requested = static_cast<std::uint32_t>(it.waiting.size());
        it.requested_at = monotonic_clock::now();
        return token_request{it.request_id, customer, it.requested};
    });
    if (request.id == 0 || !has_owner) {
        return;
    }
    if (owner->second.entry == view_.self()) {
        apply_answer(take_tokens(request));
        return;
    }
    const auto entry = state->entries.find(owner->second.entry.name);
    if (entry != state->entries.end()) {
        fleet_.send(entry->second.address, fleet_channel::work,
                    encode_variant(work_message(request)));
    }
}

token_answer token_service::take_tokens(const token_request& request)
{
    token_answer answer{.id = request.id, .customer = request.customer};
    const time_point now = monotonic_clock::now();
    const auto state = view_.state();
    const std::string item = customer_item(request.customer);
    const auto owner = state->owners.find(item);
    const auto customer = state->customers.find(request.customer);
    if (owner == state->owners.end() || customer == state->customers.end() ||
        !view_.owns(item, owner->second.epoch, now) || is_released(item, owner->second.epoch)) {
        answer.not_owner = true;
        return answer;
    }
    buckets_.with(request.customer, [&](bucket_shard& shard) {
        const auto [found, inserted] = shard.by_customer.try_emplace(request.customer);
        owned_bucket& owned = found->second;
        if (inserted || owned.epoch != owner->second.epoch) {
            owned = {make_initial_bucket(request.customer, customer->second, owner->second, now),
                     owner->second.epoch};
        }
        const bucket_limits limits{customer->second.rate, customer->second.burst};
        if (owned.bucket.limits != limits) {
            change_limits(owned.bucket, limits, now);
        }
        while (answer.granted < request.count) {
            const auto taken = take_token(owned.bucket, now);
            if (const auto* refused = std::get_if<token_refused>(&taken)) {
                answer.retry_after_ms = to_milliseconds(refused->retry_after).count();
                break;
            }
            ++answer.granted;
        }
    });
    return answer;
}

void token_service::handle(const token_request& request, const std::string& sender)
{
    fleet_.send(sender, fleet_channel::work, encode_variant(work_message(take_tokens(request))));
}

void token_service::handle(const token_answer& answer) { apply_answer(answer); }

void token_service::apply_answer(const token_answer& answer)
{
    std::vector<waiting_request> answered;
    const bool more_waiting = pending_.with(answer.customer, [&](pending_shard& shard) {
        const auto found = shard.by_customer.find(answer.customer);
        if (found == shard.by_customer.end() || found->second.request_id != answer.id) {
            return false;
        }
        pending_customer& it = found->second;
        if (answer.not_owner) {
            // tick() repeats the request once the new configuration has had time to arrive.
            it.requested_at = monotonic_clock::now() - answer_timeout + not_owner_retry_delay;
            return false;
        }
        it.request_id = 0;
        const auto count = std::min<std::size_t>(it.requested, it.waiting.size());
        const auto end = it.waiting.begin() + static_cast<std::ptrdiff_t>(count);
        answered.assign(std::make_move_iterator(it.waiting.begin()), std::make_move_iterator(end));
        it.waiting.erase(it.waiting.begin(), end);
        if (it.waiting.empty()) {
            shard.by_customer.erase(found);
            return false;
        }
        return true;
    });
    for (std::size_t n = 0; n < answered.size(); ++n) {
        const bool granted = n < answer.granted;
        answered[n].on_done(granted ? rate_check_result::admitted : rate_check_result::over_rate,
                            milliseconds(answer.retry_after_ms));
    }
    if (more_waiting) {
        send_request(answer.customer);
    }
}

bool token_service::is_released(const std::string& item, std::uint64_t epoch)
{
    return released_.with(item, [&](released_shard& shard) {
        const auto it = shard.epoch_by_item.find(item);
        return it != shard.epoch_by_item.end() && it->second == epoch;
    });
}

std::map<std::string, double> token_service::collect_levels(const std::string& item,
                                                            std::uint64_t epoch)
{
    std::map<std::string, double> levels;
    const time_point now = monotonic_clock::now();
    buckets_.for_each([&](bucket_shard& shard) {
        for (auto& [customer, it] : shard.by_customer) {
            if (it.epoch == epoch && customer_item(customer) == item) {
                // Setting the same limits refills the bucket up to now.
                change_limits(it.bucket, it.bucket.limits, now);
                levels[customer] = it.bucket.tokens;
            }
        }
    });
    // Customers that requested no tokens in this epoch still have those that they had at its start.
    const auto state = view_.state();
    const auto owner = state->owners.find(item);
    for (const auto& [name, customer] : state->customers) {
        if (customer_item(name) == item && !levels.contains(name)) {
            levels[name] = make_initial_bucket(name, customer, owner->second, now).tokens;
        }
    }
    return levels;
}

void token_service::release(bool draining,
                            const std::function<void(const registry_command&)>& propose)
{
    const auto state = view_.state();
    for (const auto& row : state->owners) {
        const std::string& item = row.first;
        const owner_record& owner = row.second;
        const bool ours = owner.entry == view_.self() && group_of_item(item).empty();
        if (!ours || (!draining && !owner.recalled)) {
            continue;
        }
        const bool newly_released = released_.with(item, [&](released_shard& shard) {
            return std::exchange(shard.epoch_by_item[item], owner.epoch) != owner.epoch;
        });
        if (newly_released) {
            released_levels_[item] = collect_levels(item, owner.epoch);
        }
        propose(release_item{item, owner.epoch, released_levels_[item]});
    }
}

void token_service::tick()
{
    const time_point now = monotonic_clock::now();
    std::vector<std::string> to_repeat;
    std::vector<waiting_request> expired;
    pending_.for_each([&](pending_shard& shard) {
        for (auto& [customer, it] : shard.by_customer) {
            if (it.request_id != 0 && now - it.requested_at < answer_timeout) {
                continue;
            }
            // An answer that arrives later is ignored: its tokens are lost rather than granted
            // twice.
            it.request_id = 0;
            const auto first_expired = std::stable_partition(
                it.waiting.begin(), it.waiting.end(),
                [&](const waiting_request& waiting) { return waiting.deadline > now; });
            expired.insert(expired.end(), std::make_move_iterator(first_expired),
                           std::make_move_iterator(it.waiting.end()));
            it.waiting.erase(first_expired, it.waiting.end());
            to_repeat.push_back(customer);
        }
        std::erase_if(shard.by_customer, [](const auto& it) { return it.second.waiting.empty(); });
    });
    for (const waiting_request& it : expired) {
        it.on_done(rate_check_result::unavailable, answer_timeout);
    }
    for (const std::string& customer : to_repeat) {
        send_request(customer);
    }
}

}  // namespace balsamdrift
