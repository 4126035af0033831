#include "operators/operator_api.h"

#include <nlohmann/json.hpp>

#include "base/event_log.h"
#include "base/metrics.h"
#include "core/registry/item_id.h"
#include "operators/change_json.h"
#include "operators/timeline_json.h"

namespace balsamdrift {
namespace {

using nlohmann::json;

http_response json_response(const json& body, unsigned status = 200)
{
    return {.status = status, .body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

json member_json(const voter& it) { return {{"name", it.id.name}, {"address", it.address}}; }

json group_json(const std::string& name, const group_record& it, const registry& state)
{
    json object{{"group", name},
                {"instances", it.instances},
                {"connections", it.connections},
                {"slots", it.slots},
                {"ack", it.ack == acknowledgement::primary ? "primary" : "replicated"},
                {"customers", it.customers},
                {"version", it.version},
                {"primary", it.primary},
                {"primary_term", it.primary_term}};
    if (const auto owner = state.owners.find(group_item(name)); owner != state.owners.end()) {
        object["owner"] = owner->second.entry.name;
        object["epoch"] = owner->second.epoch;
    }
    return object;
}

http_response result_response(const change_result& res)
{
    const json body{
        {"status", to_string(res.status)}, {"version", res.version}, {"message", res.message}};
    switch (res.status) {
        case change_status::accepted: return json_response(body);
        case change_status::invalid: return json_response(body, 422);
        default: return json_response(body, 409);
    }
}

}  // namespace

operator_api::operator_api(control_service& control, std::string operator_token)
    : control_(control), operator_token_(std::move(operator_token))
{
}

void operator_api::handle(const http_request& request, const http_responder& responder)
{
    if (request.path == "/livez") {
        responder.send({.content_type = "text/plain", .body = "ok\n"});
        return;
    }
    if (request.path == "/readyz") {
        const bool ready = control_.status().serves;
        responder.send({.status = ready ? 200U : 503U,
                        .content_type = "text/plain",
                        .body = ready ? "ready\n" : "the data folder cannot be used\n"});
        return;
    }
    if (request.path == "/metrics") {
        responder.send({.content_type = "text/plain", .body = render_metrics()});
        return;
    }
    if (!has_operator_token(request, operator_token_)) {
        responder.send(
            make_problem(401, "operator_unknown", "the operator token is missing or wrong"));
        return;
    }
    if (request.method == "POST" && request.path == "/v1/changes") {
        apply_change(request, responder);
    }
    else if (request.method == "GET" && request.path == "/v1/status") {
        responder.send(status());
    }
    else if (request.method == "GET" && request.path == "/v1/configuration") {
        responder.send(configuration());
    }
    else if (request.method == "GET" && request.path == "/v1/timeline") {
        responder.send(make_timeline_response(request));
    }
    else {
        responder.send(make_problem(404, "not_found", "no such resource"));
    }
}

void operator_api::apply_change(const http_request& request, const http_responder& responder)
{
    auto parsed = parse_change(request.body);
    if (!succeeded(parsed)) {
        responder.send(make_problem(400, "invalid_change", failure_of(parsed).message));
        return;
    }
    const operator_change& it = value_of(parsed);
    const std::string operator_name = it.operator_name;
    const std::string change_id = it.change_id;
    control_.propose(it, [responder, operator_name, change_id](const proposal_outcome& res) {
        std::visit(overloaded{
                       [&](const change_result& result) {
                           const bool accepted = result.status == change_status::accepted;
                           log_event(accepted ? event_id::change_accepted
                                              : event_id::change_refused,
                                     {{"operator", operator_name},
                                      {"change", change_id},
                                      {"status", to_string(result.status)}});
                           responder.send(result_response(result));
                       },
                       [&](const not_leading& it) {
                           http_response response = make_problem(
                               421, "not_leading", "this member does not lead; ask " + it.leader);
                           responder.send(std::move(response));
                       },
                       [&](const unsettled&) {
                           responder.send(make_problem(
                               503, "unsettled",
                               "the leader changed; send the same change again for its answer"));
                       },
                   },
                   res);
    });
}

http_response operator_api::status() const
{
    const control_status it = control_.status();
    json members = json::array();
    for (const voter& member : it.members.voters) {
        members.push_back(member_json(member));
    }
    json entries = json::array();
    json groups = json::array();
    if (it.state) {
        for (const auto& [name, record] : it.state->entries) {
            const auto index = it.entry_index.find(name);
            entries.push_back(
                {{"entry", name},
                 {"failure_domain", record.failure_domain},
                 {"platform", record.platform_address},
                 {"index", index == it.entry_index.end() ? json() : json(index->second)}});
        }
        for (const auto& [name, record] : it.state->groups) {
            groups.push_back(group_json(name, record, *it.state));
        }
    }
    return json_response(
        {{"member", it.name},
         {"leads", it.leads},
         {"leader", it.leader},
         {"term", it.term},
         {"commit_index", it.commit_index},
         {"registry_hash", it.state ? state_hash(*it.state) : 0},
         {"version", it.state ? it.state->version : 0},
         {"preset", it.state ? to_string(it.state->preset.in_force) : "ordinary"},
         {"preset_switching", it.state && it.state->preset.switching},
         {"evacuated_domains", it.state ? it.state->evacuated_domains : std::set<std::string>()},
         {"members", members},
         {"entries", entries},
         {"groups", groups}});
}

http_response operator_api::configuration() const
{
    const control_status it = control_.status();
    json customers = json::array();
    json keys = json::array();
    for (const auto& [name, record] : it.state->customers) {
        customers.push_back({{"customer", name},
                             {"rate", record.rate},
                             {"burst", record.burst},
                             {"version", record.version}});
    }
    for (const auto& [hash, record] : it.state->keys) {
        keys.push_back({{"key_id", record.key_id}, {"customer", record.customer}});
    }
    return json_response({{"version", it.state->version},
                          {"preset_version", it.state->preset.version},
                          {"customers", customers},
                          {"keys", keys}});
}

}  // namespace balsamdrift
