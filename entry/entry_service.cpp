#include "entry/entry_service.h"

#include <nlohmann/json.hpp>

#include "base/codec.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "operators/timeline_json.h"
#include "platform/announcement_request.h"

namespace balsamdrift {
namespace {

using nlohmann::json;

json position_to_json(const log_position& it) { return {{"term", it.term}, {"lsn", it.lsn}}; }

json instance_to_json(const std::string& name, const instance_state& it, const group_status& group)
{
    const auto running = group.running.find(name);
    const auto age = staleness_bound(group.state, name, monotonic_clock::now());
    json row{{"instance", name},
             {"address", to_string(it.address)},
             {"failure_domain", it.failure_domain},
             {"reachable", it.reachable},
             {"leaving", it.leaving},
             {"role", it.in_recovery ? "replica" : "primary"},
             {"received", position_to_json(it.received)},
             {"applied", position_to_json(it.applied)},
             {"running", running == group.running.end() ? 0 : running->second}};
    if (age && it.in_recovery) {
        row["age_ms"] = to_milliseconds(*age).count();
    }
    return row;
}

json group_to_json(const group_status& it)
{
    json instances = json::array();
    for (const auto& [name, instance] : it.state.instances) {
        instances.push_back(instance_to_json(name, instance, it));
    }
    return {{"group", it.group},
            {"epoch", it.epoch},
            {"primary", it.state.primary},
            {"primary_term", it.state.primary_term},
            {"primary_serves", it.state.primary_serves},
            {"queued", it.queued},
            {"connections", it.connections},
            {"transactions", it.transactions},
            {"instances", instances}};
}

}  // namespace

entry_service::entry_service(entry_options options, fleet_node& fleet)
    : options_(std::move(options)),
      fleet_(fleet),
      view_({options_.name, random_identity()}),
      owners_({.threads = options_.database_threads, .failure_domain = options_.failure_domain},
              view_, [this](const registry_command& it) { lease_->propose(it); }),
      router_(view_, fleet_, owners_),
      tokens_(view_, fleet_),
      relay_(view_, fleet_, owners_),
      statements_(view_, tokens_, router_),
      callers_(options_.callers,
               [this](const http_request& request, const http_responder& responder) {
                   serve_caller(request, responder);
               }),
      platform_(options_.platform,
                [this](const http_request& request, const http_responder& responder) {
                    serve_platform(request, responder);
                })
{
}

entry_service::~entry_service() { stop(); }

outcome<entry_addresses> entry_service::start(const start_retry& retry)
{
    auto callers = callers_.start(retry);
    if (!succeeded(callers)) {
        return failure_of(callers);
    }
    auto platform = platform_.start(retry);
    if (!succeeded(platform)) {
        return failure_of(platform);
    }
    lease_ = std::make_unique<lease_client>(
        lease_client_options{.record = {.incarnation = view_.self().incarnation,
                                        .address = fleet_.address(),
                                        .failure_domain = options_.failure_domain,
                                        .platform_address = to_string(value_of(platform))},
                             .control = options_.control,
                             .renew_interval = options_.lease_renew_interval},
        view_, fleet_);
    lease_->moveToThread(&lease_thread_);
    lease_thread_.start();
    QMetaObject::invokeMethod(lease_.get(),
                              [this] { lease_->start([this] { on_view_changed(); }); });
    return entry_addresses{value_of(callers), value_of(platform)};
}

void entry_service::receive(fleet_message message)
{
    if (message.channel == fleet_channel::lease) {
        lease_->receive(std::move(message));
    }
    else if (message.channel == fleet_channel::work) {
        handle_work_message(message);
    }
}

void entry_service::handle_work_message(const fleet_message& message)
{
    auto decoded = decode_variant<work_message>(message.body);
    if (!succeeded(decoded)) {
        return;
    }
    std::visit(overloaded{
                   [&](const work_request& it) { router_.handle(it, message.sender); },
                   [&](work_answer& it) { router_.handle(std::move(it)); },
                   [&](const token_request& it) { tokens_.handle(it, message.sender); },
                   [&](const token_answer& it) { tokens_.handle(it); },
                   [&](const announcement& it) { owners_.handle_announcement(it); },
                   [&](const work_cancel& it) { owners_.cancel(it); },
               },
               value_of(decoded));
}

void entry_service::on_view_changed()
{
    owners_.on_view_changed();
    relay_.on_view_changed();
}

void entry_service::tick()
{
    router_.tick();
    tokens_.tick();
    tokens_.release(draining_, [this](const registry_command& it) { lease_->propose(it); });
    set_metric("balsamdrift_caller_connections", "", callers_.open_connections());
    set_metric("balsamdrift_pending_statements", "", router_.pending());
}

bool entry_service::is_ready() const
{
    return !draining_ && view_.holds_lease(monotonic_clock::now());
}

http_response entry_service::make_readiness_response() const
{
    if (is_ready()) {
        return {.content_type = "text/plain", .body = "ready\n"};
    }
    return {.status = 503,
            .content_type = "text/plain",
            .body = draining_ ? "the VM is stopping\n" : "the VM is cut off from control\n"};
}

void entry_service::serve_caller(const http_request& request, const http_responder& responder)
{
    if (request.path == "/livez") {
        responder.send({.content_type = "text/plain", .body = "ok\n"});
    }
    else if (request.path == "/readyz") {
        responder.send(make_readiness_response());
    }
    else if (request.path == "/metrics") {
        responder.send({.content_type = "text/plain", .body = render_metrics()});
    }
    else {
        statements_.handle(request, responder);
    }
}

void entry_service::serve_platform(const http_request& request, const http_responder& responder)
{
    if (request.path == "/v1/announcements" && request.method == "POST") {
        auto parsed = parse_announcement(request.body);
        if (!succeeded(parsed)) {
            responder.send(make_problem(400, "invalid_announcement", failure_of(parsed).message));
            return;
        }
        relay_.receive(value_of(parsed));
        responder.send({.status = 204});
        return;
    }
    if (request.path == "/livez" || request.path == "/readyz" || request.path == "/metrics") {
        serve_caller(request, responder);
        return;
    }
    if (!has_operator_token(request, options_.operator_token)) {
        responder.send(
            make_problem(401, "operator_unknown", "the operator token is missing or wrong"));
    }
    else if (request.path == "/v1/timeline") {
        responder.send(make_timeline_response(request));
    }
    else if (request.path == "/v1/status") {
        responder.send(make_status_response());
    }
    else {
        responder.send(make_problem(404, "not_found", "no such resource"));
    }
}

http_response entry_service::make_status_response()
{
    const auto state = view_.state();
    json groups = json::array();
    for (const group_status& it : owners_.status()) {
        groups.push_back(group_to_json(it));
    }
    const json body{{"entry", options_.name},
                    {"failure_domain", options_.failure_domain},
                    {"ready", is_ready()},
                    {"version", state->version},
                    {"index", state->index},
                    {"registry_hash", state_hash(*state)},
                    {"preset", to_string(state->preset.in_force)},
                    {"caller_connections", callers_.open_connections()},
                    {"pending_statements", router_.pending()},
                    {"groups", groups}};
    return {.body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

void entry_service::begin_drain()
{
    draining_ = true;
    owners_.drain();
    QMetaObject::invokeMethod(lease_.get(), [this] { lease_->drain(); });
}

void entry_service::refuse_new_statements()
{
    statements_.drain();
    callers_.drain();
}

bool entry_service::is_drained() const
{
    return router_.pending() == 0 && callers_.open_requests() == 0 && owners_.owned_groups() == 0;
}

void entry_service::stop()
{
    if (stopped_) {
        return;
    }
    stopped_ = true;
    if (lease_) {
        QMetaObject::invokeMethod(
            lease_.get(), [this] { lease_->release_lease(); }, Qt::BlockingQueuedConnection);
    }
    owners_.stop();
    callers_.stop();
    platform_.stop();
    lease_thread_.quit();
    lease_thread_.wait();
}

}  // namespace balsamdrift
