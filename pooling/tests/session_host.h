#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "pooling/session_service.h"

namespace balsamdrift::test {

/// The session service of one VM with a virtual clock. Its configuration has one service,
/// "registre", whose primary is the instance "a". Control grants every request for tokens in full,
/// and the VM always holds its lease.
struct session_host {
    time_point now{std::chrono::hours(1)};
    registry state;
    /// What happens next, in order.
    std::deque<std::function<void()>> events;
    session_service service;

    session_host(session_service_options options, connection_opener open)
        : service(std::move(options),
                  {.now = [this] { return now; },
                   .open = std::move(open),
                   .configuration = [this] { return std::make_shared<const registry>(state); },
                   .holds_lease = [](time_point) { return true; },
                   .report_soon = [] {},
                   .request_tokens =
                       [this](std::uint64_t number, const customer_token_requests& requests, bool) {
                           customer_token_grants grants;
                           for (const auto& [name, it] : requests) {
                               grants[name] = {.for_waiting = it.waiting, .for_prefetch = 50};
                           }
                           events.push_back(
                               [this, number, grants] { service.on_token_grants(number, grants); });
                       },
                   .answered_request_sent_at = [this] { return now; }})
    {
    }

    static declared_route route(read_consistency consistency)
    {
        return {.service = "registre",
                .consistency = consistency,
                .statement_timeout = seconds(1),
                .latency_objective = milliseconds(500)};
    }

    /// Puts the declared configuration in force, with these instances of the service.
    void put_in_force(const std::vector<instance_heartbeat>& instances)
    {
        state.index = 10;
        state.declared.version = 1;
        state.primaries["registre"] = {.instance = "a", .epoch = 10};
        service.on_configuration();
        service.on_instructions({.entry_count = 1,
                                 .directory_version = 1,
                                 .has_directory = true,
                                 .instances = instances});
    }
};

}  // namespace balsamdrift::test
