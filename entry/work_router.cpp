#include "entry/work_router.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "base/codec.h"
#include "base/random.h"
#include "core/registry/item_id.h"
#include "entry/answers.h"

namespace balsamdrift {
namespace {

/// Delay before a request is sent again if its group has no owner or the receiver was not the
/// owner.
constexpr milliseconds not_owner_retry_delay(20);

/// A repeatable request that is not answered within this time is sent again, in case a message was
/// lost.
constexpr milliseconds resend_interval(1000);

/// Retry delay of callers that are refused because this VM holds no lease.
constexpr milliseconds no_lease_retry_after(500);

/// True when a second run does no harm, or the owner detects it by the idempotency key.
bool may_resend(const work_request& request)
{
    return request.kind == work_kind::read || request.kind == work_kind::idempotent_write ||
           !request.idempotency_key.empty();
}

bool is_transactional(const work_request& request)
{
    return request.kind == work_kind::transaction_statement || request.kind == work_kind::commit ||
           request.kind == work_kind::rollback;
}

/// Builds the answer to a request that had been sent when the owner changed and may not be sent
/// again.
work_answer owner_changed_answer(const work_request& request)
{
    if (request.kind == work_kind::write || request.kind == work_kind::commit) {
        return unknown_answer("the owner of the group changed while the statement was under way");
    }
    if (is_transactional(request)) {
        return not_run_answer("transaction_lost",
                              "the owner of the group changed; the transaction was rolled back");
    }
    return not_run_answer("owner_changed", "the owner of the group changed", milliseconds(100));
}

/// Builds the answer to a request whose deadline has passed.
work_answer deadline_answer(const work_request& request, bool sent)
{
    if (!sent) {
        return not_run_answer("no_owner", "no VM owned the group in time", milliseconds(500));
    }
    return request.kind == work_kind::begin
               ? not_run_answer("deadline_exceeded", "the transaction was not opened in time")
               : unknown_answer("no answer came in time");
}

}  // namespace

work_router::work_router(entry_view& view, fleet_node& fleet, owner_host& owners)
    : view_(view), fleet_(fleet), owners_(owners), next_id_(random_identity())
{
}

owner_record work_router::owner_of(const std::string& group) const
{
    const auto state = view_.state();
    const auto it = state->owners.find(group_item(group));
    return it == state->owners.end() ? owner_record{} : it->second;
}

std::uint64_t work_router::submit(work_request request, time_point deadline,
                                  answer_function on_answer)
{
    const std::uint64_t id = next_id_++;
    request.id = id;
    ++pending_count_;
    pending_.with(id, [&](pending_shard& shard) {
        shard.by_id[id] = {
            .request = std::move(request), .on_answer = std::move(on_answer), .deadline = deadline};
    });
    send(id);
    return id;
}

void work_router::send(std::uint64_t id)
{
    const time_point now = monotonic_clock::now();
    std::optional<work_request> request;
    owner_record owner;
    pending_.with(id, [&](pending_shard& shard) {
        const auto found = shard.by_id.find(id);
        if (found == shard.by_id.end() || found->second.deadline <= now) {
            return;
        }
        pending_work& it = found->second;
        owner = owner_of(it.request.group);
        it.retry_at = now + not_owner_retry_delay;
        if (owner.entry.name.empty()) {
            return;
        }
        it.sent_to = owner;
        it.sent_at = now;
        it.retry_at = now + resend_interval;
        it.request.remaining_ms = to_milliseconds(it.deadline - now).count();
        request = it.request;
    });
    if (!request) {
        return;
    }
    if (owner.entry == view_.self()) {
        owners_.submit(std::move(*request),
                       [this](work_answer answer) { handle(std::move(answer)); });
        return;
    }
    const auto state = view_.state();
    const auto entry = state->entries.find(owner.entry.name);
    if (entry != state->entries.end()) {
        fleet_.send(entry->second.address, fleet_channel::work,
                    encode_variant(work_message(std::move(*request))));
    }
}

void work_router::handle(const work_request& request, const std::string& sender)
{
    owners_.submit(request, [this, sender](work_answer answer) {
        fleet_.send(sender, fleet_channel::work, encode_variant(work_message(std::move(answer))));
    });
}

void work_router::handle(work_answer answer)
{
    const std::uint64_t id = answer.id;
    if (answer.code != "not_owner") {
        finish(id, std::move(answer));
        return;
    }
    // The request did not run. It is sent again once the configuration names the owner, except in a
    // transaction, which ended with its owner.
    const bool transaction_lost = pending_.with(id, [&](pending_shard& shard) {
        const auto found = shard.by_id.find(id);
        if (found == shard.by_id.end()) {
            return false;
        }
        found->second.sent_to = {};
        found->second.retry_at = monotonic_clock::now() + not_owner_retry_delay;
        return is_transactional(found->second.request);
    });
    if (transaction_lost) {
        work_answer reply = not_run_answer(
            "transaction_lost", "the owner of the group changed; the transaction was rolled back");
        finish(id, std::move(reply));
    }
}

void work_router::finish(std::uint64_t id, work_answer answer)
{
    answer_function on_answer;
    pending_.with(id, [&](pending_shard& shard) {
        const auto found = shard.by_id.find(id);
        if (found != shard.by_id.end()) {
            on_answer = std::move(found->second.on_answer);
            shard.by_id.erase(found);
        }
    });
    if (on_answer) {
        --pending_count_;
        answer.id = id;
        on_answer(std::move(answer));
    }
}

void work_router::cancel(std::uint64_t id)
{
    std::optional<work_cancel> cancelled;
    owner_record owner;
    pending_.with(id, [&](pending_shard& shard) {
        const auto found = shard.by_id.find(id);
        if (found != shard.by_id.end()) {
            cancelled =
                work_cancel{id, found->second.request.group, found->second.request.customer};
            owner = found->second.sent_to;
        }
    });
    if (!cancelled || owner.entry.name.empty()) {
        return;
    }
    if (owner.entry == view_.self()) {
        owners_.cancel(*cancelled);
        return;
    }
    const auto state = view_.state();
    if (const auto it = state->entries.find(owner.entry.name); it != state->entries.end()) {
        fleet_.send(it->second.address, fleet_channel::work,
                    encode_variant(work_message(*cancelled)));
    }
}

void work_router::tick()
{
    const time_point now = monotonic_clock::now();
    std::vector<std::uint64_t> to_repeat;
    std::vector<work_answer> answers;
    pending_.for_each([&](pending_shard& shard) {
        for (auto& [id, it] : shard.by_id) {
            const bool sent = !it.sent_to.entry.name.empty();
            work_answer reply;
            if (it.deadline <= now) {
                reply = deadline_answer(it.request, sent);
            }
            else if (!sent && !view_.holds_lease(now)) {
                reply = not_run_answer("not_ready", "the VM is cut off from control; use another",
                                       no_lease_retry_after);
            }
            else if (sent && owner_of(it.request.group).epoch != it.sent_to.epoch &&
                     !may_resend(it.request)) {
                reply = owner_changed_answer(it.request);
            }
            else {
                const bool owner_changed =
                    sent && owner_of(it.request.group).epoch != it.sent_to.epoch;
                const bool due = now >= it.retry_at && (!sent || may_resend(it.request));
                if (owner_changed || due) {
                    to_repeat.push_back(id);
                }
                continue;
            }
            reply.id = id;
            answers.push_back(std::move(reply));
        }
    });
    for (work_answer& it : answers) {
        const std::uint64_t id = it.id;
        finish(id, std::move(it));
    }
    for (const std::uint64_t id : to_repeat) {
        send(id);
    }
}

}  // namespace balsamdrift
