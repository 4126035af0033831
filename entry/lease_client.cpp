#include "entry/lease_client.h"

#include <algorithm>
#include <set>

#include "base/codec.h"
#include "base/compression.h"
#include "base/event_log.h"
#include "base/metrics.h"

namespace balsamdrift {
namespace {

constexpr milliseconds tick_interval(20);

/// An entry that control has not answered for this long asks through other entries as well.
constexpr milliseconds relay_after(400);

/// While another entry passes its questions on, an entry tries control itself this often.
constexpr milliseconds direct_interval(1000);

/// Other entries that are asked to pass a question on.
constexpr int relay_count = 2;

/// Shortest pause between two requests that follow a member's hint, since hints may contradict.
constexpr milliseconds hint_pause(40);

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
    ask();
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
    if (!leader_.empty()) {
        send(leader_, message);
        return;
    }
    send_to_all(message);
}

void lease_client::send_to_all(const lease_message& message)
{
    std::set<std::string> all(options_.control.begin(), options_.control.end());
    all.insert(members_.begin(), members_.end());
    for (const std::string& it : all) {
        send(it, message);
    }
}

void lease_client::ask_soon()
{
    renew_at_ = std::min(renew_at_, std::max(monotonic_clock::now(), asked_at_ + hint_pause));
}

void lease_client::ask()
{
    if (given_back_) {
        return;
    }
    asked_at_ = monotonic_clock::now();
    renew_at_ = asked_at_ + options_.renew_interval;
    const std::int64_t sent_at =
        std::chrono::duration_cast<std::chrono::nanoseconds>(asked_at_.time_since_epoch()).count();
    lease_request request{view_.self().name, options_.record, registry_.index,
                          sent_at,           draining_,       {}};
    if (options_.make_report) {
        request.report = options_.make_report();
    }
    const bool relayed = !leader_.empty() && !is_control(leader_);
    if (relayed && asked_at_ - direct_at_ >= direct_interval) {
        direct_at_ = asked_at_;
        send_to_all(request);
    }
    send_to_control(request);
    if (leader_.empty() && asked_at_ - answered_at_ >= relay_after) {
        ask_through_others(request);
    }
}

bool lease_client::is_control(const std::string& address) const
{
    const auto among = [&](const std::vector<std::string>& all) {
        return std::find(all.begin(), all.end(), address) != all.end();
    };
    return among(options_.control) || among(members_);
}

void lease_client::ask_through_others(const lease_request& request)
{
    std::vector<std::string> others;
    for (const auto& [name, it] : registry_.entries) {
        if (name != view_.self().name) {
            others.push_back(it.address);
        }
    }
    std::shuffle(others.begin(), others.end(), random_);
    others.resize(std::min<std::size_t>(others.size(), relay_count));
    for (const std::string& it : others) {
        send(it, request);
    }
}

void lease_client::handle(const lease_request& it, const std::string& sender)
{
    // Another entry is cut off from control; this one passes its question on if it is not.
    if (reaches_control()) {
        send(leader_, relayed_lease_request{sender, it});
    }
}

bool lease_client::reaches_control() const
{
    return !leader_.empty() && is_control(leader_) &&
           answered_at_ >= asked_at_ - options_.renew_interval;
}

void lease_client::ask_tokens(std::uint64_t number, customer_token_requests asks, bool alone)
{
    if (given_back_ || leader_.empty()) {
        return;
    }
    send(leader_, rate_token_request{view_.self(), {}, number, std::move(asks), alone});
}

void lease_client::handle(const rate_token_request& it, const std::string& sender)
{
    if (reaches_control()) {
        send(leader_, rate_token_request{it.entry, sender, it.number, it.requests, it.isolated});
    }
}

void lease_client::handle(const rate_token_grant& it, const std::string&)
{
    if (!it.origin.empty()) {
        send(it.origin, rate_token_grant{it.entry, {}, it.number, it.shares});
    }
    else if (it.entry == view_.self() && options_.on_tokens) {
        options_.on_tokens(it.number, it.shares);
    }
}

void lease_client::handle(const relayed_lease_grant& it, const std::string&)
{
    send(it.origin, it.grant);
}

void lease_client::on_tick()
{
    const time_point now = monotonic_clock::now();
    const bool unanswered = answered_at_ < asked_at_ && now - asked_at_ >= options_.answer_timeout;
    if (unanswered) {
        // The leader is gone, or this entry is cut off: ask every member.
        leader_.clear();
    }
    if (unanswered || now >= renew_at_) {
        ask();
    }
    const bool holds = view_.holds_lease(now);
    if (held_ && !holds) {
        log_event(event_id::lease_lost);
        count_metric("balsamdrift_lease_losses_total");
    }
    else if (!held_ && holds) {
        log_event(event_id::lease_acquired);
    }
    held_ = holds;
}

bool lease_client::adopt(const lease_grant& it)
{
    const std::uint64_t before = registry_.index;
    if (!it.snapshot.empty()) {
        auto plain = decompress(it.snapshot);
        if (!succeeded(plain)) {
            return false;
        }
        auto decoded = decode<registry>(value_of(plain));
        if (!succeeded(decoded)) {
            return false;
        }
        // An older registry than the one in force is never taken over.
        if (value_of(decoded).index > registry_.index) {
            registry_ = std::move(value_of(decoded));
        }
    }
    for (const log_entry& entry : it.entries) {
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
    return registry_.index != before;
}

void lease_client::handle(const lease_grant& it, const std::string& sender)
{
    if (it.incarnation != view_.self().incarnation || given_back_) {
        return;
    }
    const std::uint64_t version = registry_.version;
    const bool changed = adopt(it);
    if (changed) {
        view_.publish(std::make_shared<const registry>(registry_));
    }
    // What came before the grant may have been lost on its way.
    const bool current = registry_.index >= it.index;
    if (it.lease_ms > 0 && current) {
        if (is_control(sender)) {
            direct_at_ = monotonic_clock::now();
        }
        // Control itself is preferred to an entry that passes on.
        if (is_control(sender) || leader_.empty() || !is_control(leader_)) {
            leader_ = sender;
        }
        const time_point sent_at{std::chrono::nanoseconds(it.sent_at)};
        answered_at_ = std::max(answered_at_, sent_at);
        if (!it.instructions.control.empty()) {
            members_ = it.instructions.control;
        }
        // The lease counts from before the question was sent.
        view_.set_lease_end(answered_at_ + milliseconds(it.lease_ms));
    }
    if (registry_.version != version) {
        log_event(event_id::configuration_in_force, {{"version", std::to_string(registry_.version)},
                                                     {"index", std::to_string(registry_.index)}});
    }
    if (options_.on_instructions) {
        options_.on_instructions(it.instructions);
    }
    if (changed) {
        on_change_();
        // The leader learns at once what is in force here.
        if (it.lease_ms == 0) {
            ask();
        }
    }
}

void lease_client::handle(const not_leader& it, const std::string&)
{
    if (!it.leader.empty() && it.leader != leader_) {
        leader_ = it.leader;
        renew_at_ = std::min(renew_at_, asked_at_ + hint_pause);
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
    ask();
}

void lease_client::give_back()
{
    if (given_back_) {
        return;
    }
    given_back_ = true;
    view_.set_lease_end(time_point{});
    timer_.stop();
    send_to_control(lease_release{view_.self()});
}

}  // namespace balsamdrift
