#include "entry/statement_entry.h"

#include "base/event_log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "entry/isolation_step.h"
#include "platform/line_instance_connection.h"
#include "platform/readiness_handler.h"

namespace balsamdrift {
namespace {

constexpr milliseconds tick_interval(10);

/// Interval of ticks while no caller waits for an answer. Most entries of a large site are idle
/// most of the time, and each tick wakes the process up.
constexpr milliseconds idle_tick_interval(40);

}  // namespace

statement_entry::statement_entry(statement_entry_options options, fleet_node& fleet)
    : options_(std::move(options)),
      fleet_(fleet),
      view_({options_.name, random_identity()}),
      sessions_(
          options_.sessions,
          {.now = [] { return monotonic_clock::now(); },
           .open = make_line_connection_opener(&owner_),
           .configuration = [this] { return view_.state(); },
           .holds_lease = [this](time_point now) { return view_.holds_lease(now); },
           .report_soon = [this] { lease_->renew_soon(); },
           .request_tokens =
               [this](std::uint64_t number, const customer_token_requests& it, bool isolated) {
                   lease_->request_tokens(number, it, isolated);
               },
           .answered_request_sent_at = [this] { return lease_->answered_request_sent_at(); }}),
      server_(options_.statements, sessions_),
      readiness_(options_.readiness, make_readiness_handler([this] { return is_ready(); }))
{
}

statement_entry::~statement_entry() { stop(); }

outcome<endpoint> statement_entry::start(const start_retry& retry)
{
    auto listening = readiness_.start(retry);
    if (!succeeded(listening)) {
        return listening;
    }
    auto callers = server_.start(retry);
    if (!succeeded(callers)) {
        return callers;
    }
    lease_ = std::make_unique<lease_client>(
        lease_client_options{
            .record = {.incarnation = view_.self().incarnation,
                       .address = fleet_.address(),
                       .failure_domain = options_.sessions.failure_domain,
                       .platform_address = to_string(value_of(listening))},
            .control = options_.control,
            .renew_interval = options_.lease_renew_interval,
            .make_report = [this] { return sessions_.report(); },
            .on_instructions =
                [this](const entry_instructions& it) { sessions_.on_instructions(it); },
            .on_token_grants =
                [this](std::uint64_t number, const customer_token_grants& it) {
                    sessions_.on_token_grants(number, it);
                }},
        view_, fleet_);
    QObject::connect(&timer_, &QTimer::timeout, &owner_, [this] { tick(); });
    timer_.start(tick_interval);
    lease_->start([this] {
        sessions_.on_configuration();
        configured_ = view_.state()->declared.version > 0;
    });
    return callers;
}

void statement_entry::receive(fleet_message message)
{
    if (message.channel == fleet_channel::lease) {
        lease_->receive(std::move(message));
    }
}

void statement_entry::tick()
{
    sessions_.tick();
    const time_point now = monotonic_clock::now();
    const isolation_step step =
        step_isolation({}, lease_->answered_request_sent_at(), view_.holds_lease(now), now);
    if (isolated_ == step.ready) {
        log_event(step.ready ? event_id::entry_in_contact : event_id::entry_isolated,
                  {{"control_answered_ms_ago",
                    milliseconds_text(now - lease_->answered_request_sent_at())}});
    }
    isolated_ = !step.ready;
    if (step.end_sessions_opened_before) {
        sessions_.end_idle_sessions(options_.sessions.min_idle_time,
                                    *step.end_sessions_opened_before);
    }
    const milliseconds interval = sessions_.is_answering() ? tick_interval : idle_tick_interval;
    if (timer_.intervalAsDuration() != interval) {
        timer_.setInterval(interval);
    }
    set_metric("balsamdrift_caller_sessions", "", static_cast<double>(sessions_.session_count()));
}

bool statement_entry::is_ready() const { return configured_ && !draining_ && !isolated_; }

void statement_entry::begin_drain()
{
    draining_ = true;
    lease_->drain();
}

void statement_entry::end_idle_sessions()
{
    sessions_.end_idle_sessions(options_.sessions.min_idle_time);
}

void statement_entry::stop()
{
    if (stopped_) {
        return;
    }
    stopped_ = true;
    timer_.stop();
    if (lease_) {
        lease_->release_lease();
    }
    server_.stop();
    readiness_.stop();
}

}  // namespace balsamdrift
