#include "base/codec.h"
#include "base/compression.h"
#include "base/event_log.h"
#include "control/control_service.h"
#include "core/registry/domain_order.h"

namespace balsamdrift {
namespace {

/// HTTP clients of platform_api time out after 1 s, so a submission ends before that.
constexpr milliseconds submission_timeout(850);

/// A submission is passed to the leader again if the leader has not answered within this time.
constexpr milliseconds submission_retry_interval(300);

/// Commands of at least this size are no orders for a failure domain and are not decoded.
constexpr std::size_t max_order_bytes = 1024;

/// Failure domain of an encoded order; empty for any other command.
std::string encoded_order_domain(const std::string& data)
{
    if (data.size() >= max_order_bytes) {
        return {};
    }
    auto plain = decompress(data);
    if (!succeeded(plain)) {
        return {};
    }
    auto command = decode_variant<registry_command>(value_of(plain));
    return succeeded(command) ? ordered_domain(value_of(command)) : std::string();
}

}  // namespace

void control_service::submit(const registry_command& command, submit_handler on_done)
{
    add_submission({.command = encode_command(command), .on_done = std::move(on_done)});
}

void control_service::read_declared_configuration(submit_handler on_done)
{
    add_submission({.on_done = std::move(on_done)});
}

void control_service::handle_heartbeat(const instance_heartbeat& it, submit_handler on_done)
{
    add_submission({.heartbeat = it, .on_done = std::move(on_done)});
}

void control_service::add_submission(submission added)
{
    QMetaObject::invokeMethod(
        this,
        [this, added = std::move(added)] {
            const time_point now = monotonic_clock::now();
            const std::uint64_t id = next_submission_++;
            submission& it = submissions_.emplace(id, added).first->second;
            it.deadline = now + submission_timeout;
            if (it.heartbeat) {
                remember_domain(it.heartbeat->failure_domain);
            }
            dispatch_submission(id, it, now);
            schedule_tick();
        },
        Qt::QueuedConnection);
}

void control_service::dispatch_submission(std::uint64_t id, submission& it, time_point now)
{
    if (consensus_ && holds_leadership(*consensus_, now)) {
        it.sent_at = now;
        if (it.heartbeat) {
            coordinator_.handle_heartbeat(registry_, *it.heartbeat, now);
            complete_submission(id, true, {});
            return;
        }
        run_submission(it.command, [this, id](bool settled, const std::string& text) {
            if (settled || !text.empty()) {
                complete_submission(id, settled, text);
            }
        });
        return;
    }
    const std::string leader = leader_address();
    if (!leader.empty() && leader != fleet_.address()) {
        it.sent_at = now;
        send_message(leader, it.heartbeat ? lease_message(relayed_heartbeat{*it.heartbeat, id})
                                          : lease_message(relayed_command{id, it.command}));
    }
    else if (!consensus_) {
        // Nothing tells this member when there is a leader again, so the caller asks another one.
        complete_submission(id, false, {});
    }
}

void control_service::complete_submission(std::uint64_t id, bool settled, const std::string& text)
{
    const auto found = submissions_.find(id);
    if (found == submissions_.end()) {
        return;
    }
    const submission done = std::move(found->second);
    submissions_.erase(found);
    // Each instance reports about once a second, so only what fails is logged of that.
    if (!done.heartbeat || !settled) {
        log_event(event_id::submission_settled, {{"submission", std::to_string(id)},
                                                 {"request", done.heartbeat         ? "heartbeat"
                                                             : done.command.empty() ? "read"
                                                                                    : "change"},
                                                 {"settled", settled ? "yes" : "no"},
                                                 {"sent", done.sent_at ? "yes" : "no"},
                                                 {"leader", leader_address()}});
    }
    done.on_done(settled, text);
}

void control_service::run_submission(const std::string& command, submit_handler on_done)
{
    if (command.empty()) {
        on_done(true, registry_.declared.document);
        return;
    }
    if (const std::string refusal = refusal_of(encoded_order_domain(command)); !refusal.empty()) {
        on_done(false, refusal);
        return;
    }
    queued_proposals_.push_back(
        {command, [on_done = std::move(on_done)](const proposal_outcome& res) {
             on_done(std::holds_alternative<change_result>(res), {});
         }});
    flush_proposals();
}

void control_service::check_submissions(time_point now)
{
    // Passing a submission on may complete it and others, so the ids are copied first.
    std::vector<std::uint64_t> ids;
    ids.reserve(submissions_.size());
    for (const auto& [id, it] : submissions_) {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
        const auto found = submissions_.find(id);
        if (found == submissions_.end()) {
            continue;
        }
        submission& it = found->second;
        if (now >= it.deadline) {
            complete_submission(id, false, {});
        }
        else if (!it.sent_at || now - *it.sent_at >= submission_retry_interval) {
            dispatch_submission(id, it, now);
        }
    }
}

}  // namespace balsamdrift
