#include "pooling/session_service.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};

/// A connection as an instance sees it, and the events that have not been delivered yet.
struct fake_link {
    connection_target target;
    connection_events events;
    std::vector<statement> received;
    session_values values;
    bool in_transaction = false;
    bool closed = false;
};

/// An instance that runs statements at once and answers when the test lets it.
struct fake_instance {
    std::string name;
    bool primary = false;
    bool reachable = true;
    /// Answers nothing to statements, though connections are accepted.
    bool silent = false;
    /// Runs what it gets, but its words are lost from the first on.
    bool mute = false;
    log_position position{1, 100};
    std::map<std::string, std::string> items;
    /// The next statements that it refuses because its queue is full.
    int full_answers = 0;
    int connections = 0;
    int reads = 0;
};

/// One VM's sessions before a service of three instances, with a virtual clock.
struct vm_fixture {
    time_point now = start;
    bool lease = true;
    registry state;
    std::map<std::string, fake_instance> instances{
        {"a", {.name = "a", .primary = true}}, {"b", {.name = "b"}}, {"c", {.name = "c"}}};
    std::vector<std::shared_ptr<fake_link>> links;
    std::deque<std::function<void()>> events;
    int reports = 0;
    bool control_answers = true;
    time_point answered_at = start;
    token_pool tokens;
    session_service sessions;

    vm_fixture()
        : sessions(
              {.failure_domain = "brest-port"},
              {.now = [this] { return now; },
               .open = [this](const connection_target& target,
                              connection_events it) { return open(target, std::move(it)); },
               .configuration = [this] { return std::make_shared<const registry>(state); },
               .holds_lease = [this](time_point) { return lease; },
               .report_soon = [this] { ++reports; },
               .request_tokens = [this](std::uint64_t number, const customer_token_requests& asks,
                                        bool) { ask(number, asks); },
               .answered_request_sent_at =
                   [this] {
                       answered_at = control_answers ? now : answered_at;
                       return answered_at;
                   }})
    {
        state.index = 10;
        state.declared.version = 1;
        state.declared.services["registre"] = {.connections = 20};
        state.declared.routes["strict"] = route(read_consistency::primary);
        state.declared.routes["bounded"] = route(read_consistency::bounded_staleness);
        state.declared.routes["own"] = route(read_consistency::read_your_writes);
        state.declared.customers["agence"] = {.rate = 1000, .burst = 1000};
        state.declared.customers["port"] = {.rate = 1000, .burst = 1000};
        state.declared.customer_of_key = {{"key", "agence"}, {"other", "port"}};
        state.primaries["registre"] = {.instance = "a", .epoch = 10};
        sessions.on_configuration();
        sessions.on_instructions({.entry_count = 1,
                                  .directory_version = 1,
                                  .has_directory = true,
                                  .instances = directory()});
        now += milliseconds(10);
    }

    /// Control's part: answers at once from a pool of its own, unless it is silent.
    void ask(std::uint64_t number, const customer_token_requests& asks)
    {
        if (!control_answers) {
            return;
        }
        customer_token_grants shares;
        for (const auto& [name, it] : asks) {
            const auto customer = state.declared.customers.find(name);
            if (customer == state.declared.customers.end()) {
                shares[name] = {.retry_after_ms = 100};
                continue;
            }
            shares[name] =
                grant_tokens(tokens, {}, name, {customer->second.rate, customer->second.burst},
                             "entry", it, now);
        }
        sessions.on_token_grants(number, shares);
    }

    static declared_route route(read_consistency consistency)
    {
        return {.service = "registre",
                .consistency = consistency,
                .statement_timeout = seconds(1),
                .latency_objective = milliseconds(500),
                .max_staleness = milliseconds(1500)};
    }

    std::vector<instance_heartbeat> directory() const
    {
        std::vector<instance_heartbeat> all;
        for (const auto& [name, it] : instances) {
            all.push_back({.instance = name,
                           .service = "registre",
                           .address = "10.0.0.1:1",
                           .failure_domain = name == "b" ? "brest-port" : "rennes-nord",
                           .reports_primary = it.primary});
        }
        return all;
    }

    instance_connection open(const connection_target& target, connection_events it)
    {
        auto link = std::make_shared<fake_link>();
        link->target = target;
        link->events = std::move(it);
        links.push_back(link);
        fake_instance& instance = instances.at(target.instance);
        events.push_back([this, link, &instance] {
            if (link->closed) {
                return;
            }
            if (!instance.reachable) {
                link->closed = true;
                link->events.on_end(connection_end_reason::unreachable, {});
                return;
            }
            ++instance.connections;
            if (instance.mute) {
                return;
            }
            link->events.on_started({.position = instance.position});
        });
        return {.send =
                    [this, link](const statement& sent) {
                        events.push_back([this, link, sent] { receive(link, sent); });
                    },
                .close = [link] { link->closed = true; }};
    }

    static statement_answer refuse(statement_error_code code)
    {
        return {.result = statement_error{code, ""}};
    }

    statement_answer run_at(fake_instance& instance, fake_link& link, const statement& sent)
    {
        if (instance.full_answers > 0) {
            --instance.full_answers;
            return refuse(statement_error_code::busy);
        }
        const bool floored = sent.min_position && instance.position < *sent.min_position;
        if (floored) {
            return refuse(statement_error_code::lagging);
        }
        const std::string item = sent.argument.substr(0, sent.argument.find(' '));
        switch (sent.kind) {
            case statement_kind::set_value: link.values[sent.name] = sent.argument; return {};
            case statement_kind::begin:
                if (!instance.primary) {
                    return refuse(statement_error_code::read_only);
                }
                link.in_transaction = true;
                return {.state = session_state::in_transaction};
            case statement_kind::begin_read_only:
                link.in_transaction = true;
                return {.state = session_state::in_transaction};
            case statement_kind::commit:
            case statement_kind::rollback:
                link.in_transaction = false;
                return {.result = statement_success{"receipt"}};
            case statement_kind::write:
                if (!instance.primary) {
                    return refuse(statement_error_code::read_only);
                }
                ++instance.position.lsn;
                instance.items[item] = sent.argument;
                break;
            case statement_kind::read: ++instance.reads; break;
            default: break;
        }
        return {.result = statement_success{"receipt"},
                .state = link.in_transaction ? session_state::in_transaction : session_state::idle};
    }

    void receive(const std::shared_ptr<fake_link>& link, const statement& sent)
    {
        fake_instance& instance = instances.at(link->target.instance);
        if (link->closed || !instance.reachable) {
            return;
        }
        link->received.push_back(sent);
        statement_answer answer = run_at(instance, *link, sent);
        answer.position = instance.position;
        if (!instance.silent && !instance.mute) {
            link->events.on_answer(answer);
        }
    }

    /// Delivers everything that is under way.
    void settle()
    {
        while (!events.empty()) {
            const auto event = std::move(events.front());
            events.pop_front();
            event();
        }
    }

    void pass(duration span)
    {
        const time_point end = now + span;
        while (now < end) {
            now += milliseconds(10);
            sessions.tick();
            settle();
        }
    }

    std::uint64_t open_session(const std::string& database, const std::string& key = "key")
    {
        auto opened = sessions.open_session(database, key, [] {});
        REQUIRE(std::holds_alternative<std::uint64_t>(opened));
        return std::get<std::uint64_t>(opened);
    }

    /// Runs a statement and lets time pass until it is answered.
    statement_answer run(std::uint64_t session, statement sent)
    {
        std::optional<statement_answer> answer = begin(session, std::move(sent));
        settle();
        for (int n = 0; n < 300 && !*answered; ++n) {
            pass(milliseconds(10));
        }
        REQUIRE(*answered);
        return last;
    }

    /// Runs a statement without waiting for its answer.
    std::optional<statement_answer> begin(std::uint64_t session, statement sent)
    {
        static int next = 0;
        if (sent.id.empty()) {
            sent.id = "q" + std::to_string(++next);
        }
        answered = std::make_shared<bool>(false);
        sessions.run(session, std::move(sent), [this, flag = answered](const statement_answer& it) {
            last = it;
            *flag = true;
        });
        return std::nullopt;
    }

    void change_primary(const primary_record& record)
    {
        state.primaries["registre"] = record;
        state.index = record.epoch;
        sessions.on_configuration();
    }

    std::shared_ptr<bool> answered;
    statement_answer last;
};

statement read_of(const std::string& item)
{
    return {.kind = statement_kind::read, .argument = item};
}

statement write_of(const std::string& item)
{
    return {.kind = statement_kind::write, .argument = item + " data"};
}

}  // namespace

TEST_CASE("a session reads its own writes at a replica or not at all there", "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("own");
    CHECK(is_success(vm.run(session, write_of("x"))));
    // The replicas have not received the commit: they refuse, and the primary answers.
    CHECK(is_success(vm.run(session, read_of("x"))));
    CHECK(vm.instances["b"].reads == 0);
    CHECK(vm.instances["c"].reads == 0);
    vm.instances["b"].position = vm.instances["a"].position;
    vm.pass(milliseconds(200));
    CHECK(is_success(vm.run(session, read_of("x"))));
    CHECK(vm.instances["b"].reads == 1);
}

TEST_CASE("a read of a strict route goes to the primary and only under a lease", "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, read_of("x"))));
    CHECK(vm.instances["a"].reads == 1);
    vm.lease = false;
    const auto answer = vm.run(session, read_of("x"));
    CHECK(error_code_of(answer) == statement_error_code::busy);
    CHECK(vm.instances["a"].reads == 1);
}

TEST_CASE("a write whose lease ran out while it was under way is never told as a success",
          "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    vm.begin(session, write_of("x"));
    vm.lease = false;
    vm.settle();
    REQUIRE(*vm.answered);
    CHECK(error_code_of(vm.last) == statement_error_code::in_doubt);
}

TEST_CASE("an answer that is lost leaves a write in doubt, and a read goes elsewhere", "[sessions]")
{
    vm_fixture vm;
    vm.state.declared.routes["own"].max_staleness = seconds(5);
    vm.sessions.on_configuration();
    const auto session = vm.open_session("own");
    CHECK(is_success(vm.run(session, write_of("x"))));
    vm.instances["a"].silent = true;
    CHECK(error_code_of(vm.run(session, write_of("y"))) == statement_error_code::in_doubt);
    vm.instances["b"].position = vm.instances["a"].position;
    vm.instances["b"].silent = true;
    vm.instances["c"].position = vm.instances["a"].position;
    CHECK(is_success(vm.run(session, read_of("x"))));
    CHECK(vm.instances["c"].reads == 1);
}

TEST_CASE("a write that was sent ahead on a connection without any answer is in doubt",
          "[sessions]")
{
    vm_fixture vm;
    vm.instances["a"].mute = true;
    const auto session = vm.open_session("strict");
    const auto answer = vm.run(session, write_of("x"));
    CHECK(vm.instances["a"].items.contains("x"));
    CHECK(error_code_of(answer) == statement_error_code::in_doubt);
}

TEST_CASE("a suspended primary gets nothing more, and what ran there is told as unknown",
          "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    vm.instances["a"].silent = true;
    vm.begin(session, write_of("x"));
    vm.settle();
    vm.change_primary({.instance = "a", .phase = primary_phase::suspended, .epoch = 11});
    REQUIRE(*vm.answered);
    CHECK(error_code_of(vm.last) == statement_error_code::in_doubt);
    CHECK(vm.sessions.report().settled_index == 11);
    const std::size_t before = vm.links.back()->received.size();
    // Too long to wait for: refused at once, with when to come back.
    const auto answer = vm.run(session, write_of("y"));
    CHECK(error_code_of(answer) == statement_error_code::busy);
    CHECK(std::get<statement_error>(answer.result).text.starts_with("retry-after-ms="));
    CHECK(vm.links.back()->received.size() == before);
}

TEST_CASE("a planned change waits for what runs and tells control when it has ended", "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    vm.begin(session, write_of("x"));
    vm.change_primary(
        {.instance = "a", .phase = primary_phase::suspended, .planned = true, .epoch = 11});
    CHECK(vm.sessions.report().settled_index == 10);
    vm.settle();
    REQUIRE(*vm.answered);
    CHECK(is_success(vm.last));
    vm.pass(milliseconds(20));
    CHECK(vm.sessions.report().settled_index == 11);
}

TEST_CASE("after a promotion a session from before it is served by the new primary", "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("own");
    CHECK(is_success(vm.run(session, write_of("x"))));
    vm.instances["a"].primary = false;
    vm.instances["a"].reachable = false;
    vm.instances["b"].primary = true;
    vm.instances["b"].position = {2, 50};
    vm.change_primary({.instance = "b", .epoch = 12, .generation = 1});
    // The old position names what the promotion may have rolled back; nobody waits for it.
    CHECK(is_success(vm.run(session, read_of("x"))));
    CHECK(is_success(vm.run(session, write_of("x"))));
}

TEST_CASE("statements of one transaction stay on one connection, and nobody else uses it",
          "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, {.kind = statement_kind::begin, .id = "t1"})));
    // The beginning alone takes no connection.
    CHECK(vm.links.empty());
    CHECK(is_success(vm.run(session, write_of("x"))));
    const auto other = vm.open_session("strict");
    CHECK(is_success(vm.run(other, read_of("x"))));
    CHECK(is_success(vm.run(session, read_of("x"))));
    CHECK(is_success(vm.run(session, {.kind = statement_kind::commit})));
    REQUIRE(vm.links.size() == 2);
    CHECK(vm.links[0]->received.size() == 4);
    CHECK(vm.links[0]->received.front().id == "t1");
    CHECK(vm.links[1]->received.size() == 1);
}

TEST_CASE("a transaction whose connection breaks is aborted before its commit was sent",
          "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, {.kind = statement_kind::begin})));
    CHECK(is_success(vm.run(session, write_of("x"))));
    vm.links[0]->closed = true;
    vm.links[0]->events.on_end(connection_end_reason::broken, {});
    const auto answer = vm.run(session, {.kind = statement_kind::commit});
    CHECK(error_code_of(answer) == statement_error_code::aborted);
    CHECK(answer.state == session_state::idle);
    CHECK(is_success(vm.run(session, read_of("x"))));
}

TEST_CASE("a caller that leaves inside a transaction takes the connection along", "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, {.kind = statement_kind::begin})));
    CHECK(is_success(vm.run(session, write_of("x"))));
    vm.sessions.close_session(session);
    CHECK(vm.links[0]->closed);
}

TEST_CASE("session values and prepared names never leak between sessions", "[sessions]")
{
    vm_fixture vm;
    const auto first = vm.open_session("strict");
    const auto second = vm.open_session("strict");
    const auto set = [](const std::string& value) {
        return statement{.kind = statement_kind::set_value, .name = "lang", .argument = value};
    };
    CHECK(is_success(vm.run(first, set("fr"))));
    CHECK(is_success(vm.run(first, read_of("x"))));
    CHECK(is_success(vm.run(second, read_of("x"))));
    CHECK(is_success(vm.run(second, set("en"))));
    CHECK(is_success(vm.run(second, read_of("x"))));
    CHECK(is_success(vm.run(first, read_of("x"))));
    CHECK(vm.links[0]->values == session_values{{"lang", "fr"}});
    CHECK(vm.links[1]->values == session_values{{"lang", "en"}});
    CHECK(error_code_of(
              vm.run(second, {.kind = statement_kind::execute, .name = "s1", .argument = "x"})) ==
          statement_error_code::unknown_statement);
}

TEST_CASE("connections belong to one customer, and an idle one is replaced when none is left",
          "[sessions]")
{
    vm_fixture vm;
    vm.state.declared.services["registre"].connections = 3;
    vm.sessions.on_configuration();
    CHECK(is_success(vm.run(vm.open_session("strict", "key"), read_of("x"))));
    CHECK(is_success(vm.run(vm.open_session("strict", "other"), read_of("x"))));
    REQUIRE(vm.links.size() == 2);
    CHECK(vm.links[0]->closed);
    CHECK(vm.links[1]->target.customer == "port");
}

TEST_CASE("a withdrawn key stops at the next statement of an open session", "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, read_of("x"))));
    vm.state.declared.customer_of_key.erase("key");
    vm.sessions.on_configuration();
    CHECK(error_code_of(vm.run(session, read_of("x"))) == statement_error_code::not_authorized);
    CHECK(vm.instances["a"].reads == 1);
}

TEST_CASE("a customer beyond its rate is refused before anything runs", "[sessions]")
{
    vm_fixture vm;
    vm.state.declared.customers["agence"] = {.rate = 10, .burst = 10};
    vm.sessions.on_configuration();
    const auto session = vm.open_session("strict");
    int refused = 0;
    for (int n = 0; n < 40; ++n) {
        refused += error_code_of(vm.run(session, read_of("x"))) == statement_error_code::too_many;
    }
    CHECK(refused >= 20);
    CHECK(vm.instances["a"].reads + refused == 40);
}

TEST_CASE("while control is silent callers live on kept tokens, and then hear at once",
          "[sessions]")
{
    vm_fixture vm;
    vm.state.declared.customers["agence"] = {.rate = 10, .burst = 10};
    vm.sessions.on_configuration();
    const auto session = vm.open_session("strict");
    for (int n = 0; n < 25; ++n) {
        vm.pass(milliseconds(200));
        CHECK(is_success(vm.run(session, read_of("x"))));
    }
    vm.control_answers = false;
    int served = 0;
    for (int n = 0; n < 5; ++n) {
        vm.pass(milliseconds(200));
        served += is_success(vm.run(session, read_of("x"))) ? 1 : 0;
    }
    // A second without control at the usual demand is covered by what is kept.
    CHECK(served == 5);
    for (int n = 0; n < 20; ++n) {
        (void)vm.run(session, read_of("x"));
    }
    const time_point before = vm.now;
    CHECK(error_code_of(vm.run(session, read_of("x"))) == statement_error_code::too_many);
    CHECK(vm.now == before);
}

TEST_CASE("a caller that waits for a token is served once control has one", "[sessions]")
{
    vm_fixture vm;
    vm.control_answers = false;
    const auto session = vm.open_session("strict");
    vm.begin(session, read_of("x"));
    vm.pass(milliseconds(100));
    CHECK_FALSE(*vm.answered);
    vm.control_answers = true;
    vm.pass(milliseconds(200));
    REQUIRE(*vm.answered);
    CHECK(is_success(vm.last));
}

TEST_CASE("a caller that comes before the first configuration waits for it, but not for long",
          "[sessions]")
{
    vm_fixture vm;
    const declared_configuration conf = std::exchange(vm.state.declared, {});
    vm.sessions.on_configuration();
    REQUIRE_FALSE(vm.sessions.is_configured());
    int called = 0;
    vm.sessions.await_configuration([&] { ++called; });
    vm.pass(milliseconds(500));
    CHECK(called == 0);
    vm.state.declared = conf;
    vm.sessions.on_configuration();
    CHECK(called == 1);
    vm.state.declared = {};
    vm.sessions.on_configuration();
    vm.sessions.await_configuration([&] { ++called; });
    vm.pass(milliseconds(1600));
    // Callers close what is not open after two seconds.
    CHECK(called == 2);
}

TEST_CASE("a VM that stops answers what runs and refuses what comes", "[sessions]")
{
    vm_fixture vm;
    const auto first = vm.open_session("strict");
    const auto second = vm.open_session("strict");
    CHECK(is_success(vm.run(first, read_of("x"))));
    vm.begin(first, read_of("x"));
    const auto running = vm.answered;
    vm.sessions.begin_closing();
    CHECK(vm.sessions.is_answering());
    // The answer to the first comes later, so this is the refusal of the second.
    vm.begin(second, read_of("x"));
    REQUIRE(*vm.answered);
    CHECK(error_code_of(vm.last) == statement_error_code::busy);
    vm.pass(milliseconds(50));
    CHECK(*running);
    CHECK(is_success(vm.last));
    CHECK_FALSE(vm.sessions.is_answering());
}

TEST_CASE("a VM that ends leaves no caller without an answer", "[sessions]")
{
    vm_fixture vm;
    vm.instances["a"].silent = true;
    const auto writer = vm.open_session("strict");
    vm.begin(writer, write_of("x"));
    vm.pass(milliseconds(50));
    const auto write = vm.answered;
    REQUIRE_FALSE(*write);
    vm.sessions.begin_closing();
    vm.sessions.finish_pending();
    CHECK(*write);
    // It may have run.
    CHECK(error_code_of(vm.last) == statement_error_code::in_doubt);
    CHECK_FALSE(vm.sessions.is_answering());
}

TEST_CASE("a caller that leaves while it waits for a token is forgotten", "[sessions]")
{
    vm_fixture vm;
    vm.control_answers = false;
    const auto session = vm.open_session("strict");
    vm.begin(session, read_of("x"));
    vm.sessions.close_session(session);
    vm.control_answers = true;
    vm.pass(milliseconds(500));
    CHECK(vm.instances["a"].reads == 0);
    CHECK_FALSE(*vm.answered);
}

TEST_CASE("a write that a full primary refuses is sent there again a little later", "[sessions]")
{
    vm_fixture vm;
    vm.instances["a"].full_answers = 2;
    const auto session = vm.open_session("strict");
    const time_point before = vm.now;
    CHECK(is_success(vm.run(session, write_of("x"))));
    CHECK(vm.now - before >= milliseconds(60));
    CHECK(vm.now - before < milliseconds(300));
}

TEST_CASE("an instance that leaves gets no new work", "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("bounded");
    CHECK(is_success(vm.run(session, read_of("x"))));
    vm.state.leaving["b"] = 0;
    vm.sessions.on_configuration();
    const int before = vm.instances["b"].reads;
    vm.pass(milliseconds(50));
    for (int n = 0; n < 5; ++n) {
        CHECK(is_success(vm.run(session, read_of("x"))));
    }
    CHECK(vm.instances["b"].reads == before);
}

TEST_CASE("an instance that refuses connections is reported and reads go elsewhere", "[sessions]")
{
    vm_fixture vm;
    vm.instances["a"].reachable = false;
    const auto session = vm.open_session("strict");
    const auto answer = vm.run(session, read_of("x"));
    CHECK(error_code_of(answer) == statement_error_code::busy);
    CHECK(vm.reports > 0);
    const entry_report report = vm.sessions.report();
    REQUIRE(report.primaries.size() == 1);
    CHECK(report.primaries[0].failing);
}
