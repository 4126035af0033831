#include "entry/lease_client.h"

#include <algorithm>
#include <set>

#include "base/codec.h"
#include "base/compression.h"
#include "base/event_log.h"
#include "base/metrics.h"

namespace balsamdrift {
namespace {

/// Renewals and timeouts are late by at most this, which is little against the renewal interval.
constexpr milliseconds tick_interval(40);

/// An entry that control has not answered for this long sends its requests through other entries
/// too.
constexpr milliseconds relay_threshold(400);

/// While another entry forwards its requests, an entry tries to reach control directly this often.
constexpr milliseconds direct_attempt_interval(1000);

/// Number of other entries that a request is sent through.
constexpr int max_relays = 2;

/// Shortest interval between requests that follow control members' hints to the leader. Hints may
/// contradict each other and would otherwise cause a burst of requests.
constexpr milliseconds min_hint_interval(40);

}  // namespace

lease_client::lease_client(lease_client_options options, entry_view& view, fleet_node& fleet)
    : options_(std::move(options)), view_(view), fleet_(fleet)
{
    connect(&timer_, &QTimer::timeout, this, &lease_client::on_tick);
}

void lease_client::start(std::function<void()> on_change)
{
    on_change_ = std::move(on_change);
    timer_.start(tick_interval);
    send_lease_request();
}

void lease_client::receive(fleet_message message)
{
    QMetaObject::invokeMethod(
        this,
        [this, message = std::move(message)] {
            auto decoded = decode_variant<lease_message>(message.body);
            if (succeeded(decoded)) {
                std::visit([&](const auto& it) { handle(it, message.sender); }, value_of(decoded));
            }
        },
        Qt::QueuedConnection);
}

void lease_client::send(const std::string& address, const lease_message& message)
{
    fleet_.send(address, fleet_channel::lease, encode_variant(message));
}

void lease_client::send_to_control(const lease_message& message)
{
    if (!upstream_.empty()) {
        send(upstream_, message);
        return;
    }
    send_to_all(message);
}

void lease_client::send_to_all(const lease_message& message)
{
    std::set<std::string> all(options_.control.begin(), options_.control.end());
    all.insert(control_members_.begin(), control_members_.end());
    for (const std::string& it : all) {
        send(it, message);
    }
}

void lease_client::renew_soon()
{
    renew_at_ =
        std::min(renew_at_, std::max(monotonic_clock::now(), requested_at_ + min_hint_interval));
}

void lease_client::send_lease_request()
{
    if (released_) {
        return;
    }
    requested_at_ = monotonic_clock::now();
    renew_at_ = requested_at_ + options_.renew_interval;
    const std::int64_t sent_at =
        std::chrono::duration_cast<std::chrono::nanoseconds>(requested_at_.time_since_epoch())
            .count();
    lease_request request{view_.self().name, options_.record, registry_.index,
                          sent_at,           draining_,       {}};
    if (options_.make_report) {
        request.report = options_.make_report();
    }
    if (send_renewal(request)) {
        return;
    }
    if (options_.make_report) {
        request.report_number = record_full_report(reports_, request.report);
    }
    const bool relayed = !upstream_.empty() && !is_control_member(upstream_);
    if (relayed && requested_at_ - control_contact_at_ >= direct_attempt_interval) {
        control_contact_at_ = requested_at_;
        send_to_all(request);
    }
    send_to_control(request);
    if (upstream_.empty() && requested_at_ - answered_request_sent_at_ >= relay_threshold) {
        send_through_other_entries(request);
    }
}

bool lease_client::send_renewal(const lease_request& request)
{
    if (!options_.make_report || upstream_.empty() || !is_control_member(upstream_)) {
        return false;
    }
    std::optional<report_delta> delta = make_next_delta(reports_, upstream_, request.report);
    if (!delta) {
        return false;
    }
    send(upstream_, lease_renewal{.incarnation = request.record.incarnation,
                                  .index = request.index,
                                  .sent_at = request.sent_at,
                                  .draining = request.draining,
                                  .report = std::move(*delta),
                                  .control_checksum = address_list_checksum(control_members_)});
    return true;
}

void lease_client::handle(const renewal_refused& refusal, const std::string& sender)
{
    if (refusal.incarnation == view_.self().incarnation) {
        record_missing_base(reports_, sender);
        renew_soon();
    }
}

entry_instructions lease_client::complete_instructions(const lease_grant& grant) const
{
    entry_instructions instructions = grant.instructions;
    if (grant.shares.base == 0) {
        return instructions;
    }
    if (const auto shares = shares_of_grant(reports_, grant.shares)) {
        instructions.connections.shares = *shares;
    }
    else {
        // Without a number of entries, the shares in force are kept.
        instructions.entry_count = 0;
    }
    return instructions;
}

bool lease_client::is_control_member(const std::string& address) const
{
    const auto is_in = [&](const std::vector<std::string>& all) {
        return std::find(all.begin(), all.end(), address) != all.end();
    };
    return is_in(options_.control) || is_in(control_members_);
}

void lease_client::send_through_other_entries(const lease_request& request)
{
    std::vector<std::string> others;
    for (const auto& [name, it] : registry_.entries) {
        if (name != view_.self().name) {
            others.push_back(it.address);
        }
    }
    std::shuffle(others.begin(), others.end(), random_);
    others.resize(std::min<std::size_t>(others.size(), max_relays));
    for (const std::string& it : others) {
        send(it, request);
    }
}

void lease_client::handle(const lease_request& request, const std::string& sender)
{
    // The sender cannot reach control; this entry forwards the request if it can.
    if (has_control_contact()) {
        send(upstream_, relayed_lease_request{sender, request});
    }
    else {
        // Without any answer, the sender would take the connection between the two for broken. It
        // asks other entries next.
        fleet_.send(sender, fleet_channel::lease, encode_variant(lease_message(not_leader{})),
                    reply_expected::no);
    }
}

bool lease_client::has_control_contact() const
{
    return !upstream_.empty() && is_control_member(upstream_) &&
           answered_request_sent_at_ >= requested_at_ - options_.renew_interval;
}

void lease_client::request_tokens(std::uint64_t number, customer_token_requests requests,
                                  bool isolated)
{
    if (released_ || upstream_.empty()) {
        return;
    }
    send(upstream_, rate_token_request{view_.self(), {}, number, std::move(requests), isolated});
}

void lease_client::handle(const rate_token_request& request, const std::string& sender)
{
    if (has_control_contact()) {
        send(upstream_, rate_token_request{request.entry, sender, request.number, request.requests,
                                           request.isolated});
    }
}

void lease_client::handle(const rate_token_grant& grant, const std::string&)
{
    if (!grant.origin.empty()) {
        send(grant.origin, rate_token_grant{grant.entry, {}, grant.number, grant.grants});
    }
    else if (grant.entry == view_.self() && options_.on_token_grants) {
        options_.on_token_grants(grant.number, grant.grants);
    }
}

void lease_client::handle(const relayed_lease_grant& relayed, const std::string&)
{
    send(relayed.origin, relayed.grant);
}

void lease_client::on_tick()
{
    const time_point now = monotonic_clock::now();
    const bool unanswered =
        answered_request_sent_at_ < requested_at_ && now - requested_at_ >= options_.answer_timeout;
    if (unanswered) {
        // The leader is lost, or this entry cannot reach it: the request goes to every member.
        upstream_.clear();
    }
    if (unanswered || now >= renew_at_) {
        send_lease_request();
    }
    const bool lease_held = view_.holds_lease(now);
    if (lease_was_held_ && !lease_held) {
        log_event(event_id::lease_lost,
                  {{"index", std::to_string(registry_.index)},
                   {"control_answered_ms_ago", milliseconds_text(now - answered_request_sent_at_)},
                   {"upstream", upstream_}});
        count_metric("balsamdrift_lease_losses_total");
    }
    else if (!lease_was_held_ && lease_held) {
        log_event(event_id::lease_acquired);
    }
    lease_was_held_ = lease_held;
}

bool lease_client::apply_grant(const lease_grant& grant)
{
    const std::uint64_t index_before = registry_.index;
    if (!grant.snapshot.empty()) {
        auto decompressed = decompress(grant.snapshot);
        if (!succeeded(decompressed)) {
            return false;
        }
        auto decoded = decode<registry>(value_of(decompressed));
        if (!succeeded(decoded)) {
            return false;
        }
        // A registry that is older than the one in force is ignored.
        if (value_of(decoded).index > registry_.index) {
            registry_ = std::move(value_of(decoded));
        }
    }
    for (const log_entry& entry : grant.entries) {
        if (entry.index <= registry_.index) {
            continue;
        }
        if (entry.index != registry_.index + 1) {
            break;
        }
        if (entry.kind == entry_kind::command) {
            (void)apply_encoded(registry_, entry.index, entry.data);
        }
        registry_.index = entry.index;
    }
    return registry_.index != index_before;
}

void lease_client::handle(const lease_grant& grant, const std::string& sender)
{
    if (grant.incarnation != view_.self().incarnation || released_) {
        return;
    }
    const std::uint64_t version = registry_.version;
    const bool changed = apply_grant(grant);
    if (changed) {
        view_.publish(std::make_shared<const registry>(registry_));
    }
    // The lease counts only once the leader's index is in force here: messages with earlier
    // configuration may have been lost, and the entry could serve under a replaced primary.
    const bool up_to_date = registry_.index >= grant.index;
    if (grant.lease_ms > 0 && up_to_date) {
        if (is_control_member(sender)) {
            control_contact_at_ = monotonic_clock::now();
        }
        // A control member is preferred to an entry that forwards requests.
        if (is_control_member(sender) || upstream_.empty() || !is_control_member(upstream_)) {
            upstream_ = sender;
        }
        const time_point sent_at{std::chrono::nanoseconds(grant.sent_at)};
        answered_request_sent_at_ = std::max(answered_request_sent_at_, sent_at);
        if (!grant.instructions.control.empty()) {
            control_members_ = grant.instructions.control;
        }
        // Counting from the moment when the request was sent, the lease ends here before it ends on
        // the leader.
        view_.set_lease_end(answered_request_sent_at_ + milliseconds(grant.lease_ms));
    }
    if (registry_.version != version) {
        log_event(event_id::configuration_in_force, {{"version", std::to_string(registry_.version)},
                                                     {"index", std::to_string(registry_.index)}});
    }
    if (options_.on_instructions) {
        options_.on_instructions(complete_instructions(grant));
    }
    record_confirmed_report(reports_, sender, grant.confirmed_report);
    if (changed) {
        on_change_();
        // Unrequested configuration is confirmed at once: the request names the index in force.
        if (grant.lease_ms == 0) {
            send_lease_request();
        }
    }
}

void lease_client::handle(const not_leader& refusal, const std::string&)
{
    if (!refusal.leader.empty() && refusal.leader != upstream_) {
        upstream_ = refusal.leader;
        renew_at_ = std::min(renew_at_, requested_at_ + min_hint_interval);
    }
}

void lease_client::propose(const registry_command& command)
{
    std::string data = encode_command(command);
    QMetaObject::invokeMethod(
        this, [this, data = std::move(data)] { send_to_control(owner_command{data}); },
        Qt::QueuedConnection);
}

void lease_client::drain()
{
    draining_ = true;
    send_lease_request();
}

void lease_client::release_lease()
{
    if (released_) {
        return;
    }
    released_ = true;
    view_.set_lease_end(time_point{});
    timer_.stop();
    send_to_control(lease_release{view_.self()});
}

}  // namespace balsamdrift
