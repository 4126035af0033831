#include "entry/token_service.h"

#include <algorithm>

#include "base/codec.h"
#include "base/metrics.h"
#include "core/registry/item_id.h"

namespace balsamdrift {
namespace {

constexpr milliseconds answer_timeout(250);
constexpr milliseconds pause_after_refusal(20);

/// A bucket for a customer that this epoch has not seen yet. Only a customer that was created
/// during the epoch certainly spent nothing before.
token_bucket first_bucket(const std::string& name, const customer_record& customer,
                          const owner_record& owner, time_point now)
{
    const bucket_limits limits{customer.rate, customer.burst};
    const auto level = owner.bucket_levels.find(name);
    if (level != owner.bucket_levels.end()) {
        token_bucket bucket = make_empty_bucket(limits, now);
        bucket.tokens = std::min(level->second, limits.burst);
        return bucket;
    }
    const bool untouched = owner.epoch == 1 || customer.created_index > owner.epoch_start_index;
    return untouched ? make_full_bucket(limits, now) : make_empty_bucket(limits, now);
}

}  // namespace

token_service::token_service(entry_view& view, fleet_node& fleet) : view_(view), fleet_(fleet) {}

void token_service::admit(const std::string& customer, time_point deadline,
                          admission_handler on_done)
{
    const bool first = pending_.with(customer, [&](pending_shard& shard) {
        pending_customer& it = shard.by_customer[customer];
        it.waiting.push_back({deadline, std::move(on_done)});
        return it.question == 0;
    });
    if (first) {
        ask(customer);
    }
}

void token_service::ask(const std::string& customer)
{
    const auto state = view_.state();
    const std::string item = customer_item(customer);
    const auto owner = state->owners.find(item);
    const bool owned = owner != state->owners.end() && !owner->second.entry.name.empty();
    const token_request question = pending_.with(customer, [&](pending_shard& shard) {
        pending_customer& it = shard.by_customer[customer];
        if (it.waiting.empty() || it.question != 0) {
            return token_request{};
        }
        it.question = next_question_++;
        it.asked = static_cast<std::uint32_t>(it.waiting.size());
        it.asked_at = monotonic_clock::now();
        return token_request{it.question, customer, it.asked};
    });
    if (question.id == 0 || !owned) {
        return;
    }
    if (owner->second.entry == view_.self()) {
        resolve(take_owned(question));
        return;
    }
    const auto entry = state->entries.find(owner->second.entry.name);
    if (entry != state->entries.end()) {
        fleet_.send(entry->second.address, fleet_channel::work,
                    encode_variant(work_message(question)));
    }
}

token_answer token_service::take_owned(const token_request& it)
{
    token_answer answer{.id = it.id, .customer = it.customer};
    const time_point now = monotonic_clock::now();
    const auto state = view_.state();
    const std::string item = customer_item(it.customer);
    const auto owner = state->owners.find(item);
    const auto customer = state->customers.find(it.customer);
    if (owner == state->owners.end() || customer == state->customers.end() ||
        !view_.owns(item, owner->second.epoch, now) || is_released(item, owner->second.epoch)) {
        answer.not_owner = true;
        return answer;
    }
    buckets_.with(it.customer, [&](bucket_shard& shard) {
        const auto [found, fresh] = shard.by_customer.try_emplace(it.customer);
        owned_bucket& owned = found->second;
        if (fresh || owned.epoch != owner->second.epoch) {
            owned = {first_bucket(it.customer, customer->second, owner->second, now),
                     owner->second.epoch};
        }
        const bucket_limits limits{customer->second.rate, customer->second.burst};
        if (owned.bucket.limits != limits) {
            change_limits(owned.bucket, limits, now);
        }
        while (answer.granted < it.count) {
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

void token_service::handle(const token_request& it, const std::string& sender)
{
    fleet_.send(sender, fleet_channel::work, encode_variant(work_message(take_owned(it))));
}

void token_service::handle(const token_answer& it) { resolve(it); }

void token_service::resolve(const token_answer& answer)
{
    std::vector<waiting_request> settled;
    const bool more = pending_.with(answer.customer, [&](pending_shard& shard) {
        const auto found = shard.by_customer.find(answer.customer);
        if (found == shard.by_customer.end() || found->second.question != answer.id) {
            return false;
        }
        pending_customer& it = found->second;
        if (answer.not_owner) {
            // Asked again by tick() once the configuration had time to arrive.
            it.asked_at = monotonic_clock::now() - answer_timeout + pause_after_refusal;
            return false;
        }
        it.question = 0;
        const auto count = std::min<std::size_t>(it.asked, it.waiting.size());
        const auto end = it.waiting.begin() + static_cast<std::ptrdiff_t>(count);
        settled.assign(std::make_move_iterator(it.waiting.begin()), std::make_move_iterator(end));
        it.waiting.erase(it.waiting.begin(), end);
        if (it.waiting.empty()) {
            shard.by_customer.erase(found);
            return false;
        }
        return true;
    });
    for (std::size_t n = 0; n < settled.size(); ++n) {
        const bool granted = n < answer.granted;
        settled[n].on_done(granted ? admission::admitted : admission::over_rate,
                           milliseconds(answer.retry_after_ms));
    }
    if (more) {
        ask(answer.customer);
    }
}

bool token_service::is_released(const std::string& item, std::uint64_t epoch)
{
    return released_.with(item, [&](released_shard& shard) {
        const auto it = shard.epoch_by_item.find(item);
        return it != shard.epoch_by_item.end() && it->second == epoch;
    });
}

std::map<std::string, double> token_service::take_levels(const std::string& item,
                                                         std::uint64_t epoch)
{
    std::map<std::string, double> levels;
    const time_point now = monotonic_clock::now();
    buckets_.for_each([&](bucket_shard& shard) {
        for (auto& [customer, it] : shard.by_customer) {
            if (it.epoch == epoch && customer_item(customer) == item) {
                change_limits(it.bucket, it.bucket.limits, now);
                levels[customer] = it.bucket.tokens;
            }
        }
    });
    // Customers that never asked in this epoch still have what they had when it began.
    const auto state = view_.state();
    const auto owner = state->owners.find(item);
    for (const auto& [name, customer] : state->customers) {
        if (customer_item(name) == item && !levels.contains(name)) {
            levels[name] = first_bucket(name, customer, owner->second, now).tokens;
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
        const bool first = released_.with(item, [&](released_shard& shard) {
            return std::exchange(shard.epoch_by_item[item], owner.epoch) != owner.epoch;
        });
        if (first) {
            handed_back_[item] = take_levels(item, owner.epoch);
        }
        propose(release_item{item, owner.epoch, handed_back_[item]});
    }
}

void token_service::tick()
{
    const time_point now = monotonic_clock::now();
    std::vector<std::string> ask_again;
    std::vector<waiting_request> late;
    pending_.for_each([&](pending_shard& shard) {
        for (auto& [customer, it] : shard.by_customer) {
            if (it.question != 0 && now - it.asked_at < answer_timeout) {
                continue;
            }
            // An answer that is still under way no longer counts; its tokens are lost, not doubled.
            it.question = 0;
            const auto first_late = std::stable_partition(
                it.waiting.begin(), it.waiting.end(),
                [&](const waiting_request& waiting) { return waiting.deadline > now; });
            late.insert(late.end(), std::make_move_iterator(first_late),
                        std::make_move_iterator(it.waiting.end()));
            it.waiting.erase(first_late, it.waiting.end());
            ask_again.push_back(customer);
        }
        std::erase_if(shard.by_customer, [](const auto& it) { return it.second.waiting.empty(); });
    });
    for (const waiting_request& it : late) {
        it.on_done(admission::unavailable, answer_timeout);
    }
    for (const std::string& customer : ask_again) {
        ask(customer);
    }
}

}  // namespace balsamdrift
