// Guards against a statement that runs with the values, the prepared statements, the customer or
// the transaction of another session, now that sessions with different values share connections.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "pooling/tests/session_host.h"

using namespace balsamdrift;

namespace {

/// A session as its caller knows it.
struct modelled_session {
    std::uint64_t number = 0;
    std::string customer;
    session_values values;
    /// Shape of each prepared statement, by the caller's name for it.
    std::map<std::string, std::string> prepared;
    bool in_transaction = false;
    bool waits_for_answer = false;
};

/// A connection as the instance knows it.
struct modelled_connection {
    connection_target target;
    connection_events events;
    session_values values;
    std::map<std::string, std::string> prepared;
    /// Session whose transaction is open; empty outside a transaction.
    std::string transaction_of;
    bool closed = false;
};

/// One VM with an instance that checks each statement against the session that sent it. The
/// session's number is part of the statement's id.
struct shared_connections : test::session_host {
    std::mt19937 random;
    std::map<std::uint64_t, modelled_session> sessions;
    std::vector<std::string> violations;
    std::size_t opened = 0;
    std::size_t run = 0;
    int next_id = 0;

    explicit shared_connections(unsigned seed)
        : session_host({.failure_domain = "brest-port",
                        .regions = {{"brest-port", "ouest"}},
                        // Fewer than the callers prepare, so that names are used again.
                        .pool = {.prepared = {.max_statements = 2}}},
                       [this](const connection_target& target, connection_events it) {
                           return open(target, std::move(it));
                       }),
          random(seed)
    {
        state.declared.services["registre"] = {.connections = 12};
        state.declared.routes["strict"] = route(read_consistency::primary);
        for (const char* customer : {"agence", "port"}) {
            state.declared.customers[customer] = {.rate = 10'000, .burst = 10'000};
            state.declared.customer_of_key[customer] = customer;
        }
        put_in_force({{.instance = "a",
                       .service = "registre",
                       .address = "10.0.0.1:1",
                       .failure_domain = "brest-port",
                       .reports_primary = true}});
    }

    unsigned below(unsigned n) { return static_cast<unsigned>(random() % n); }

    instance_connection open(const connection_target& target, connection_events it)
    {
        ++opened;
        auto connection = std::make_shared<modelled_connection>();
        connection->target = target;
        connection->events = std::move(it);
        events.push_back([connection] {
            if (!connection->closed) {
                connection->events.on_started({.position = log_position{1, 1}});
            }
        });
        return {.send =
                    [this, connection](const statement& sent) {
                        events.push_back([this, connection, sent] { receive(*connection, sent); });
                    },
                .close = [connection] { connection->closed = true; }};
    }

    void receive(modelled_connection& it, const statement& sent)
    {
        if (it.closed) {
            return;
        }
        if (below(60) == 0) {
            // The statement may or may not have run; its answer is lost.
            it.closed = true;
            it.events.on_end(connection_end_reason::broken, {});
            return;
        }
        statement_answer answer{.result = statement_success{"receipt"},
                                .position = log_position{1, 1}};
        const bool own = sent.id.empty();
        if (!own && below(20) == 0) {
            answer.result = statement_error{statement_error_code::busy, ""};
        }
        else {
            ++run;
            run_on(it, sent);
        }
        answer.state =
            it.transaction_of.empty() ? session_state::idle : session_state::in_transaction;
        it.events.on_answer(answer);
    }

    void run_on(modelled_connection& it, const statement& sent)
    {
        switch (sent.kind) {
            case statement_kind::discard:
                it.values.clear();
                it.prepared.clear();
                return;
            case statement_kind::set_value: it.values[sent.name] = sent.argument; return;
            case statement_kind::prepare_read:
            case statement_kind::prepare_write:
                if (!it.prepared.emplace(sent.name, sent.argument).second) {
                    violations.push_back("a name prepared twice: " + sent.name);
                }
                return;
            case statement_kind::deallocate:
                if (it.prepared.erase(sent.name) == 0) {
                    violations.push_back("an unknown name deallocated: " + sent.name);
                }
                return;
            case statement_kind::rollback:
                if (sent.id.empty()) {
                    // The service ends a transaction that has failed.
                    if (it.transaction_of.empty()) {
                        violations.push_back("rollback outside a transaction");
                    }
                    it.transaction_of.clear();
                    return;
                }
                break;
            default: break;
        }
        const std::string owner = sent.id.substr(0, sent.id.find('-'));
        const auto found = sessions.find(std::stoull(owner));
        if (found == sessions.end()) {
            return;
        }
        const modelled_session& session = found->second;
        const auto expect = [&](bool holds, const std::string& what) {
            if (!holds) {
                violations.push_back(what + " of statement " + sent.id);
            }
        };
        expect(it.target.customer == session.customer, "customer");
        expect(it.values == session.values, "values");
        expect(it.transaction_of.empty() || it.transaction_of == owner, "transaction");
        if (sent.kind == statement_kind::execute) {
            const auto shape = it.prepared.find(sent.name);
            const std::string wanted = sent.argument.substr(0, sent.argument.find(' '));
            expect(shape != it.prepared.end() && shape->second == wanted, "prepared statement");
        }
        if (sent.kind == statement_kind::begin) {
            it.transaction_of = owner;
        }
        else if (sent.kind == statement_kind::commit || sent.kind == statement_kind::rollback) {
            it.transaction_of.clear();
        }
    }

    void deliver()
    {
        for (int n = 0; n < 1000 && !events.empty(); ++n) {
            const auto event = std::move(events.front());
            events.pop_front();
            event();
        }
    }

    void open_session()
    {
        const std::string customer = below(3) == 0 ? "port" : "agence";
        auto opened_session = service.open_session("strict", customer, [] {});
        if (const auto* const number = std::get_if<std::uint64_t>(&opened_session)) {
            sessions[*number] = {.number = *number, .customer = customer};
        }
    }

    void submit(modelled_session& session)
    {
        statement it{.kind = statement_kind::read, .argument = "x"};
        const std::string name = "n" + std::to_string(below(2));
        switch (below(8)) {
            case 0:
                it = {.kind = statement_kind::set_value,
                      .name = "v" + std::to_string(below(2)),
                      .argument = std::to_string(below(3))};
                break;
            case 1:
                it = {.kind = below(2) == 0 ? statement_kind::prepare_read
                                            : statement_kind::prepare_write,
                      .name = name,
                      .argument = "shape" + std::to_string(below(3))};
                break;
            case 2:
                if (session.prepared.contains(name)) {
                    // The shape is repeated as the item, so that the instance can check it.
                    it = {.kind = statement_kind::execute,
                          .name = name,
                          .argument = session.prepared.at(name)};
                }
                break;
            case 3: it.kind = statement_kind::write; break;
            case 4:
                it = {.kind = session.in_transaction ? (below(2) == 0 ? statement_kind::commit
                                                                      : statement_kind::rollback)
                                                     : statement_kind::begin};
                break;
            default: break;
        }
        it.id = std::to_string(session.number) + "-" + std::to_string(++next_id);
        session.waits_for_answer = true;
        service.run(session.number, it,
                    [this, it, number = session.number](const statement_answer& answer) {
                        modelled_session& asked = sessions.at(number);
                        asked.waits_for_answer = false;
                        asked.in_transaction = answer.state != session_state::idle;
                        if (is_success(answer) && it.kind == statement_kind::set_value) {
                            asked.values[it.name] = it.argument;
                        }
                        const bool prepares = it.kind == statement_kind::prepare_read ||
                                              it.kind == statement_kind::prepare_write;
                        if (is_success(answer) && prepares) {
                            asked.prepared[it.name] = it.argument;
                        }
                    });
    }

    void step()
    {
        if (sessions.size() < 8) {
            open_session();
        }
        auto it = sessions.begin();
        std::advance(it, below(static_cast<unsigned>(sessions.size())));
        if (below(40) == 0) {
            const std::uint64_t number = it->first;
            sessions.erase(it);
            service.close_session(number);
        }
        else if (!it->second.waits_for_answer) {
            submit(it->second);
        }
        if (below(3) == 0) {
            deliver();
        }
        now += milliseconds(below(15));
        service.tick();
    }
};

}  // namespace

TEST_CASE("no statement meets the state of another session on a shared connection", "[sessions]")
{
    for (unsigned seed = 1; seed <= 30; ++seed) {
        shared_connections model(seed);
        for (int n = 0; n < 2000; ++n) {
            model.step();
        }
        model.deliver();
        INFO("seed " << seed);
        CHECK(model.violations == std::vector<std::string>{});
        // Connections are in fact shared.
        CHECK(model.opened * 2 < model.run);
    }
}
