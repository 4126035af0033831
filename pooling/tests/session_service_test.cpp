#include "pooling/session_service.h"

#include <catch2/catch.hpp>
#include <deque>
#include <numeric>

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};

/// The instance's end of a connection.
struct fake_connection {
    connection_target target;
    connection_events events;
    std::vector<statement> received;
    session_values values;
    /// The values in force at each read, in order.
    std::vector<session_values> values_of_reads;
    bool in_transaction = false;
    bool closed = false;
    /// True while the instance waits with further rows.
    bool paused = false;
};

/// An instance that runs each statement when the test delivers it.
struct fake_instance {
    std::string name;
    bool primary = false;
    bool reachable = true;
    /// Accepts connections and runs statements, but its answers are lost.
    bool drops_answers = false;
    /// As above, and the acceptance of connections is lost too.
    bool drops_all_output = false;
    log_position position{1, 100};
    std::map<std::string, std::string> items;
    /// Number of statements that it will refuse next because its queue is full.
    int busy_refusals = 0;
    /// Number of connections that it will refuse next because it has too many.
    int full_refusals = 0;
    int connections = 0;
    int reads = 0;
    /// Time from a statement until its answer.
    duration delay{};
};

/// The session service of one VM, with a service of three instances and a virtual clock.
struct vm_fixture {
    time_point now = start;
    bool lease = true;
    registry state;
    std::map<std::string, fake_instance> instances{
        {"a", {.name = "a", .primary = true}}, {"b", {.name = "b"}}, {"c", {.name = "c"}}};
    std::vector<std::shared_ptr<fake_connection>> connections;
    std::deque<std::function<void()>> events;
    /// Answers of slow instances, by the time at which they are due.
    std::multimap<time_point, std::function<void()>> delayed;
    int reports = 0;
    bool control_answers = true;
    time_point answered_request_sent_at = start;
    token_pool tokens;
    session_service sessions;

    vm_fixture()
        : sessions({.failure_domain = "brest-port",
                    .regions = {{"brest-port", "ouest"}, {"rennes-nord", "est"}}},
                   {.now = [this] { return now; },
                    .open = [this](const connection_target& target,
                                   connection_events it) { return open(target, std::move(it)); },
                    .configuration = [this] { return std::make_shared<const registry>(state); },
                    .holds_lease = [this](time_point) { return lease; },
                    .report_soon = [this] { ++reports; },
                    .request_tokens = [this](std::uint64_t number,
                                             const customer_token_requests& requests,
                                             bool) { grant_token_request(number, requests); },
                    .answered_request_sent_at =
                        [this] {
                            answered_request_sent_at =
                                control_answers ? now : answered_request_sent_at;
                            return answered_request_sent_at;
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

    /// Grants tokens at once, as control does, unless `control_answers` is false.
    void grant_token_request(std::uint64_t number, const customer_token_requests& requests)
    {
        if (!control_answers) {
            return;
        }
        customer_token_grants grants;
        for (const auto& [name, it] : requests) {
            const auto customer = state.declared.customers.find(name);
            if (customer == state.declared.customers.end()) {
                grants[name] = {.retry_after_ms = 100};
                continue;
            }
            grants[name] =
                grant_tokens(tokens, {}, name, {customer->second.rate, customer->second.burst},
                             "entry", it, now);
        }
        sessions.on_token_grants(number, grants);
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
        auto connection = std::make_shared<fake_connection>();
        connection->target = target;
        connection->events = std::move(it);
        connections.push_back(connection);
        fake_instance& instance = instances.at(target.instance);
        events.push_back([this, connection, &instance] {
            if (connection->closed) {
                return;
            }
            if (!instance.reachable) {
                connection->closed = true;
                connection->events.on_end(connection_end_reason::unreachable, {});
                return;
            }
            if (instance.full_refusals > 0) {
                --instance.full_refusals;
                connection->closed = true;
                connection->events.on_end(connection_end_reason::refused,
                                          {statement_error_code::too_many, ""});
                return;
            }
            ++instance.connections;
            if (instance.drops_all_output) {
                return;
            }
            connection->events.on_started({.position = instance.position});
        });
        return {.send =
                    [this, connection](const statement& sent) {
                        events.push_back([this, connection, sent] { receive(connection, sent); });
                    },
                .set_paused = [connection](bool paused) { connection->paused = paused; },
                .close = [connection] { connection->closed = true; }};
    }

    static statement_answer refuse(statement_error_code code)
    {
        return {.result = statement_error{code, ""}};
    }

    statement_answer run_at(fake_instance& instance, fake_connection& connection,
                            const statement& sent)
    {
        if (instance.busy_refusals > 0) {
            --instance.busy_refusals;
            return refuse(statement_error_code::busy);
        }
        const bool lags = sent.min_position && instance.position < *sent.min_position;
        if (lags) {
            return refuse(statement_error_code::lagging);
        }
        const std::string item = sent.argument.substr(0, sent.argument.find(' '));
        switch (sent.kind) {
            case statement_kind::set_value: connection.values[sent.name] = sent.argument; return {};
            case statement_kind::discard: connection.values.clear(); return {};
            case statement_kind::begin:
                if (!instance.primary) {
                    return refuse(statement_error_code::read_only);
                }
                connection.in_transaction = true;
                return {.state = session_state::in_transaction};
            case statement_kind::begin_read_only:
                connection.in_transaction = true;
                return {.state = session_state::in_transaction};
            case statement_kind::commit:
            case statement_kind::rollback:
                connection.in_transaction = false;
                return {.result = statement_success{"receipt"}};
            case statement_kind::write:
                if (!instance.primary) {
                    return refuse(statement_error_code::read_only);
                }
                ++instance.position.lsn;
                instance.items[item] = sent.argument;
                break;
            case statement_kind::read:
                ++instance.reads;
                connection.values_of_reads.push_back(connection.values);
                break;
            default: break;
        }
        return {.result = statement_success{"receipt"},
                .state = connection.in_transaction ? session_state::in_transaction
                                                   : session_state::idle};
    }

    void receive(const std::shared_ptr<fake_connection>& connection, const statement& sent)
    {
        fake_instance& instance = instances.at(connection->target.instance);
        if (connection->closed || !instance.reachable) {
            return;
        }
        connection->received.push_back(sent);
        statement_answer answer = run_at(instance, *connection, sent);
        answer.position = instance.position;
        if (instance.drops_answers || instance.drops_all_output) {
            return;
        }
        if (instance.delay == duration{}) {
            connection->events.on_answer(answer);
            return;
        }
        delayed.emplace(now + instance.delay, [connection, answer] {
            if (!connection->closed) {
                connection->events.on_answer(answer);
            }
        });
    }

    /// Delivers all events that are queued.
    void deliver_events()
    {
        while (!events.empty()) {
            const auto event = std::move(events.front());
            events.pop_front();
            event();
        }
    }

    /// Advances the clock in steps of 10 ms, with a tick and all events in each.
    void advance_time(duration elapsed)
    {
        const time_point end = now + elapsed;
        while (now < end) {
            now += milliseconds(10);
            while (!delayed.empty() && delayed.begin()->first <= now) {
                const auto event = delayed.begin()->second;
                delayed.erase(delayed.begin());
                event();
            }
            sessions.tick();
            deliver_events();
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
        std::optional<statement_answer> answer = submit(session, std::move(sent));
        deliver_events();
        for (int n = 0; n < 300 && !*answered; ++n) {
            advance_time(milliseconds(10));
        }
        REQUIRE(*answered);
        return last_answer;
    }

    /// Runs a statement without waiting for its answer.
    std::optional<statement_answer> submit(std::uint64_t session, statement sent)
    {
        static int next = 0;
        if (sent.id.empty()) {
            sent.id = "q" + std::to_string(++next);
        }
        answered = std::make_shared<bool>(false);
        sessions.run(session, std::move(sent), [this, flag = answered](const statement_answer& it) {
            last_answer = it;
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

    /// Puts orders to evacuate these domains in force, and no others.
    void evacuate(const std::set<std::string>& domains)
    {
        state.evacuated_domains = domains;
        ++state.index;
        sessions.on_configuration();
    }

    /// Number of statements that the instance has received.
    std::size_t received_count(const std::string& instance) const
    {
        std::size_t n = 0;
        for (const auto& it : connections) {
            n += it->target.instance == instance ? it->received.size() : 0;
        }
        return n;
    }

    std::shared_ptr<bool> answered;
    statement_answer last_answer;
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

TEST_CASE("a read-your-writes session reads from a replica only once it has the session's writes",
          "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("own");
    CHECK(is_success(vm.run(session, write_of("x"))));
    // The replicas have not received the commit and refuse, so the primary answers.
    CHECK(is_success(vm.run(session, read_of("x"))));
    CHECK(vm.instances["b"].reads == 0);
    CHECK(vm.instances["c"].reads == 0);
    vm.instances["b"].position = vm.instances["a"].position;
    vm.advance_time(milliseconds(200));
    CHECK(is_success(vm.run(session, read_of("x"))));
    CHECK(vm.instances["b"].reads == 1);
}

TEST_CASE("a read with primary consistency runs on the primary, and only under a lease",
          "[sessions]")
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

TEST_CASE("a write whose lease expires while it runs is reported as in doubt", "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    vm.submit(session, write_of("x"));
    vm.lease = false;
    vm.deliver_events();
    REQUIRE(*vm.answered);
    CHECK(error_code_of(vm.last_answer) == statement_error_code::in_doubt);
}

TEST_CASE("after a lost answer a write is in doubt and a read is retried on another instance",
          "[sessions]")
{
    vm_fixture vm;
    vm.state.declared.routes["own"].max_staleness = seconds(5);
    vm.sessions.on_configuration();
    const auto session = vm.open_session("own");
    CHECK(is_success(vm.run(session, write_of("x"))));
    vm.instances["a"].drops_answers = true;
    CHECK(error_code_of(vm.run(session, write_of("y"))) == statement_error_code::in_doubt);
    vm.instances["b"].position = vm.instances["a"].position;
    vm.instances["b"].drops_answers = true;
    vm.instances["c"].position = vm.instances["a"].position;
    CHECK(is_success(vm.run(session, read_of("x"))));
    CHECK(vm.instances["c"].reads == 1);
}

TEST_CASE("a write sent on a connection that was never accepted is in doubt", "[sessions]")
{
    vm_fixture vm;
    vm.instances["a"].drops_all_output = true;
    const auto session = vm.open_session("strict");
    const auto answer = vm.run(session, write_of("x"));
    CHECK(vm.instances["a"].items.contains("x"));
    CHECK(error_code_of(answer) == statement_error_code::in_doubt);
}

TEST_CASE("a suspended primary gets no statements, and a write that ran there is in doubt",
          "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    vm.instances["a"].drops_answers = true;
    vm.submit(session, write_of("x"));
    vm.deliver_events();
    vm.change_primary({.instance = "a", .phase = primary_phase::suspended, .epoch = 11});
    REQUIRE(*vm.answered);
    CHECK(error_code_of(vm.last_answer) == statement_error_code::in_doubt);
    CHECK(vm.sessions.report().settled_index == 11);
    const std::size_t before = vm.connections.back()->received.size();
    // The wait would be too long, so the write is refused at once with a retry delay.
    const auto answer = vm.run(session, write_of("y"));
    CHECK(error_code_of(answer) == statement_error_code::busy);
    CHECK(std::get<statement_error>(answer.result).text.starts_with("retry-after-ms="));
    CHECK(vm.connections.back()->received.size() == before);
}

TEST_CASE("a planned change of primary waits for running statements, then reports itself settled",
          "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    vm.submit(session, write_of("x"));
    vm.change_primary(
        {.instance = "a", .phase = primary_phase::suspended, .planned = true, .epoch = 11});
    CHECK(vm.sessions.report().settled_index == 10);
    vm.deliver_events();
    REQUIRE(*vm.answered);
    CHECK(is_success(vm.last_answer));
    vm.advance_time(milliseconds(20));
    CHECK(vm.sessions.report().settled_index == 11);
}

TEST_CASE("a session from before a promotion is served by the new primary", "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("own");
    CHECK(is_success(vm.run(session, write_of("x"))));
    vm.instances["a"].primary = false;
    vm.instances["a"].reachable = false;
    vm.instances["b"].primary = true;
    vm.instances["b"].position = {2, 50};
    vm.change_primary({.instance = "b", .epoch = 12, .generation = 1});
    // The session's newest commit is of an earlier generation. The promotion may have lost it, so
    // reads don't wait for it.
    CHECK(is_success(vm.run(session, read_of("x"))));
    CHECK(is_success(vm.run(session, write_of("x"))));
}

TEST_CASE("a transaction runs on one connection, which no other session uses meanwhile",
          "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, {.kind = statement_kind::begin, .id = "t1"})));
    // Begin on its own takes no connection.
    CHECK(vm.connections.empty());
    CHECK(is_success(vm.run(session, write_of("x"))));
    const auto other = vm.open_session("strict");
    CHECK(is_success(vm.run(other, read_of("x"))));
    CHECK(is_success(vm.run(session, read_of("x"))));
    CHECK(is_success(vm.run(session, {.kind = statement_kind::commit})));
    REQUIRE(vm.connections.size() == 2);
    CHECK(vm.connections[0]->received.size() == 4);
    CHECK(vm.connections[0]->received.front().id == "t1");
    CHECK(vm.connections[1]->received.size() == 1);
}

TEST_CASE("a transaction whose connection breaks before its commit is sent is aborted",
          "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, {.kind = statement_kind::begin})));
    CHECK(is_success(vm.run(session, write_of("x"))));
    vm.connections[0]->closed = true;
    vm.connections[0]->events.on_end(connection_end_reason::broken, {});
    const auto answer = vm.run(session, {.kind = statement_kind::commit});
    CHECK(error_code_of(answer) == statement_error_code::aborted);
    CHECK(answer.state == session_state::idle);
    CHECK(is_success(vm.run(session, read_of("x"))));
}

// Guards against an answer whose rows come from two instances, and against an instance that waits
// for ever.
TEST_CASE("a read whose rows were passed on is not repeated, and its instance waits for the caller",
          "[sessions]")
{
    vm_fixture vm;
    vm.instances.at("a").drops_answers = true;
    const auto session = vm.open_session("strict");
    std::vector<std::string> rows;
    std::optional<statement_answer> answer;
    vm.sessions.run(
        session, read_of("x"), [&](const statement_answer& it) { answer = it; },
        [&](const std::vector<std::string>& part) {
            rows.insert(rows.end(), part.begin(), part.end());
            return false;
        });
    vm.deliver_events();
    vm.advance_time(milliseconds(100));
    REQUIRE(vm.connections.size() == 1);
    fake_connection& connection = *vm.connections[0];
    connection.events.on_rows({"r1", "r2"});
    CHECK(rows == std::vector<std::string>{"r1", "r2"});
    CHECK(connection.paused);
    vm.sessions.resume_rows(session);
    CHECK(!connection.paused);
    connection.events.on_rows({"r3"});
    REQUIRE(connection.paused);
    SECTION("the connection breaks")
    {
        connection.closed = true;
        connection.events.on_end(connection_end_reason::broken, {});
        REQUIRE(answer);
        CHECK(error_code_of(*answer) == statement_error_code::failed);
    }
    SECTION("the instance reports an error")
    {
        connection.events.on_answer({.result = statement_error{statement_error_code::failed, ""}});
        REQUIRE(answer);
        CHECK(error_code_of(*answer) == statement_error_code::failed);
        CHECK(!connection.paused);
    }
    SECTION("the answer ends")
    {
        connection.events.on_answer({.rows = {"r4"}, .result = statement_success{"receipt"}});
        REQUIRE(answer);
        CHECK(is_success(*answer));
        CHECK(answer->rows == std::vector<std::string>{"r4"});
        CHECK(!connection.paused);
    }
    CHECK(vm.received_count("a") == 1);
    CHECK(vm.connections.size() == 1);
}

TEST_CASE("a connection is closed when its caller leaves inside a transaction", "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, {.kind = statement_kind::begin})));
    CHECK(is_success(vm.run(session, write_of("x"))));
    vm.sessions.close_session(session);
    CHECK(vm.connections[0]->closed);
}

TEST_CASE("session values and prepared statements are not visible to other sessions", "[sessions]")
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
    // All four reads ran on one connection, each with exactly the values of its session.
    REQUIRE(vm.connections.size() == 1);
    CHECK(vm.connections[0]->values_of_reads ==
          std::vector<session_values>{{{"lang", "fr"}}, {}, {{"lang", "en"}}, {{"lang", "fr"}}});
    CHECK(error_code_of(
              vm.run(second, {.kind = statement_kind::execute, .name = "s1", .argument = "x"})) ==
          statement_error_code::unknown_statement);
}

TEST_CASE("a connection serves one customer, and an idle one is replaced when the share is used up",
          "[sessions]")
{
    vm_fixture vm;
    vm.state.declared.services["registre"].connections = 3;
    vm.sessions.on_configuration();
    CHECK(is_success(vm.run(vm.open_session("strict", "key"), read_of("x"))));
    CHECK(is_success(vm.run(vm.open_session("strict", "other"), read_of("x"))));
    REQUIRE(vm.connections.size() == 2);
    CHECK(vm.connections[0]->closed);
    CHECK(vm.connections[1]->target.customer == "port");
}

TEST_CASE("with more entries than connections, an entry keeps none that no statement uses",
          "[sessions]")
{
    vm_fixture vm;
    vm.state.declared.services["registre"].connections = 59;
    vm.sessions.on_configuration();
    vm.sessions.on_instructions(
        {.entry_count = 84, .connections = {.shares = {}, .number = 1}, .directory_version = 1});
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, {.kind = statement_kind::begin})));
    CHECK(is_success(vm.run(session, write_of("x"))));
    vm.advance_time(milliseconds(100));
    REQUIRE(vm.connections.size() == 1);
    CHECK_FALSE(vm.connections[0]->closed);
    // A second session is not held up by the first one's transaction.
    CHECK(is_success(vm.run(vm.open_session("strict"), read_of("x"))));
    REQUIRE(vm.connections.size() == 2);
    CHECK(is_success(vm.run(session, {.kind = statement_kind::commit})));
    vm.advance_time(milliseconds(50));
    CHECK(vm.connections[0]->closed);
    CHECK(vm.connections[1]->closed);
}

TEST_CASE("a statement waits while the primary has too many connections, however often it refuses",
          "[sessions]")
{
    vm_fixture vm;
    vm.instances["a"].full_refusals = 6;
    const time_point sent_at = vm.now;
    CHECK(is_success(vm.run(vm.open_session("strict"), write_of("x"))));
    CHECK(vm.instances["a"].full_refusals == 0);
    CHECK(vm.instances["a"].items.size() == 1);
    CHECK(vm.now - sent_at < seconds(1));
}

TEST_CASE("changes of the directory that do not follow on the known version are not applied",
          "[sessions]")
{
    vm_fixture vm;
    const std::uint64_t known = vm.sessions.report().directory_version;
    entry_instructions change{.entry_count = 1,
                              .directory_version = known + 3,
                              .has_directory = true,
                              .directory_base = known + 1,
                              .removed = {"a"}};
    vm.sessions.on_instructions(change);
    CHECK(vm.sessions.report().directory_version == known);
    change.directory_base = known;
    vm.sessions.on_instructions(change);
    CHECK(vm.sessions.report().directory_version == known + 3);
    // A message that was overtaken brings nothing back.
    vm.sessions.on_instructions({.entry_count = 1,
                                 .directory_version = known + 1,
                                 .has_directory = true,
                                 .instances = vm.directory()});
    CHECK(vm.sessions.report().directory_version == known + 3);
    vm.advance_time(seconds(5));
    CHECK_FALSE(is_success(vm.run(vm.open_session("strict"), read_of("x"))));
}

TEST_CASE("replicas that are far behind are tried ever less often", "[sessions]")
{
    vm_fixture vm;
    CHECK(is_success(vm.run(vm.open_session("strict"), write_of("x"))));
    vm.instances["a"].position = {1, 500};
    CHECK(is_success(vm.run(vm.open_session("strict"), read_of("x"))));
    vm.advance_time(milliseconds(1600));
    vm.connections.clear();
    // For 3.6 seconds, a read every 30 ms requires a position that neither replica has.
    int served = 0;
    for (int n = 0; n < 120; ++n) {
        served += is_success(vm.run(vm.open_session("bounded"), read_of("x"))) ? 1 : 0;
        vm.instances["a"].position.lsn += 1;
        CHECK(is_success(vm.run(vm.open_session("strict"), read_of("x"))));
        vm.advance_time(milliseconds(30));
    }
    CHECK(served == 120);
    const auto sent_to_replicas = std::accumulate(
        vm.connections.begin(), vm.connections.end(), 0, [](int sum, const auto& it) {
            return sum + (it->target.instance == "a" ? 0 : static_cast<int>(it->received.size()));
        });
    // Two replicas, each after 0, 100, 300, 700, 1500, 2300 and 3100 ms.
    CHECK(sent_to_replicas <= 14);
    // Once they have caught up, they serve again.
    vm.instances["b"].position = {1, 10'000};
    vm.advance_time(milliseconds(900));
    for (int n = 0; n < 5; ++n) {
        CHECK(is_success(vm.run(vm.open_session("bounded"), read_of("x"))));
    }
    CHECK(vm.instances["b"].reads >= 5);
}

TEST_CASE("an open session whose key is withdrawn is refused at its next statement", "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, read_of("x"))));
    vm.state.declared.customer_of_key.erase("key");
    vm.sessions.on_configuration();
    CHECK(error_code_of(vm.run(session, read_of("x"))) == statement_error_code::not_authorized);
    CHECK(vm.instances["a"].reads == 1);
}

TEST_CASE("an open transaction runs nothing and commits nothing under a withdrawn key",
          "[sessions][keys]")
{
    vm_fixture vm;
    vm.state.declared.routes["open"] = vm_fixture::route(read_consistency::primary);
    vm.state.declared.routes["open"].open_to_all = true;
    vm.sessions.on_configuration();
    const std::string database = GENERATE("strict", "own", "open");
    const auto session = vm.open_session(database);
    CHECK(is_success(vm.run(session, {.kind = statement_kind::begin, .id = "t1"})));
    CHECK(is_success(vm.run(session, write_of("x"))));
    declared_configuration& conf = vm.state.declared;

    const std::string change = GENERATE("withdrawn", "passed on", "customer removed");
    const bool commits = GENERATE(true, false);
    INFO(database << ", " << change);
    if (change == "passed on") {
        conf.customer_of_key["key"] = "port";
    }
    else {
        conf.customer_of_key.erase("key");
    }
    if (change == "customer removed") {
        conf.customers.erase("agence");
    }
    const std::size_t before = vm.received_count("a");
    vm.sessions.on_configuration();
    // The instance rolls back at once, not only with the caller's next statement.
    CHECK(vm.connections[0]->closed);
    const statement next = commits ? statement{.kind = statement_kind::commit} : write_of("y");
    const statement_answer answer = vm.run(session, next);
    CHECK(error_code_of(answer) == statement_error_code::aborted);
    CHECK(answer.state == (commits ? session_state::idle : session_state::failed_transaction));
    if (!commits) {
        CHECK(is_success(vm.run(session, {.kind = statement_kind::rollback})));
    }
    CHECK(vm.received_count("a") == before);
    // The next operation is admitted, or not, like that of a new session.
    const statement_answer later = vm.run(session, read_of("x"));
    const auto holder = conf.customer_of_key.find("key");
    if (database != "open" && holder == conf.customer_of_key.end()) {
        CHECK(error_code_of(later) == statement_error_code::not_authorized);
    }
    else {
        CHECK(is_success(later));
        CHECK(vm.connections.back()->target.customer ==
              (holder == conf.customer_of_key.end() ? "" : holder->second));
    }
}

TEST_CASE("a transaction that begins while its key is withdrawn runs nothing", "[sessions][keys]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    vm.control_answers = false;
    vm.submit(session, {.kind = statement_kind::begin, .id = "t1"});
    vm.state.declared.customer_of_key.erase("key");
    vm.sessions.on_configuration();
    vm.sessions.on_token_grants(1, {{"agence", {.for_waiting = 10}}});
    if (*vm.answered && is_success(vm.last_answer)) {
        CHECK(error_code_of(vm.run(session, read_of("x"))) == statement_error_code::aborted);
    }
    CHECK(vm.connections.empty());
}

TEST_CASE("a statement that waits when its key is withdrawn is refused and not run",
          "[sessions][keys]")
{
    vm_fixture vm;
    const bool in_transaction = GENERATE(true, false);
    const auto session = vm.open_session("strict");
    if (in_transaction) {
        CHECK(is_success(vm.run(session, {.kind = statement_kind::begin, .id = "t1"})));
    }
    vm.instances["a"].full_refusals = 1;
    vm.submit(session, write_of("x"));
    vm.deliver_events();
    REQUIRE(!*vm.answered);
    vm.state.declared.customer_of_key["key"] = "port";
    vm.sessions.on_configuration();
    vm.advance_time(milliseconds(900));
    REQUIRE(*vm.answered);
    CHECK(error_code_of(vm.last_answer) ==
          (in_transaction ? statement_error_code::aborted : statement_error_code::busy));
    CHECK(vm.instances["a"].items.empty());
}

TEST_CASE("a statement that runs when its key is withdrawn is let finish", "[sessions][keys]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, {.kind = statement_kind::begin, .id = "t1"})));
    CHECK(is_success(vm.run(session, write_of("x"))));
    const bool commits = GENERATE(true, false);
    vm.submit(session, commits ? statement{.kind = statement_kind::commit} : read_of("x"));
    vm.state.declared.customer_of_key.erase("key");
    vm.sessions.on_configuration();
    vm.deliver_events();
    REQUIRE(*vm.answered);
    CHECK(is_success(vm.last_answer));
    const auto later = vm.run(session, commits ? read_of("x") : write_of("y"));
    CHECK(error_code_of(later) ==
          (commits ? statement_error_code::not_authorized : statement_error_code::aborted));
}

TEST_CASE("a change that leaves the key in place does not end a transaction", "[sessions][keys]")
{
    vm_fixture vm;
    declared_configuration& conf = vm.state.declared;
    conf.routes["open"] = vm_fixture::route(read_consistency::primary);
    conf.routes["open"].open_to_all = true;
    vm.sessions.on_configuration();
    const auto keyed = vm.open_session("strict");
    const auto unknown = vm.open_session("open", "no key");
    for (const auto session : {keyed, unknown}) {
        CHECK(is_success(vm.run(session, {.kind = statement_kind::begin, .id = "t"})));
        CHECK(is_success(vm.run(session, write_of("x"))));
    }
    // Routes and limits apply from the next transaction onward.
    conf.routes.erase("strict");
    conf.routes.erase("open");
    conf.customers["agence"].rate = 1;
    conf.customer_of_key.erase("other");
    conf.customer_of_key["added"] = "agence";
    ++conf.version;
    vm.sessions.on_configuration();
    vm.advance_time(milliseconds(500));
    for (const auto session : {keyed, unknown}) {
        CHECK(is_success(vm.run(session, {.kind = statement_kind::commit})));
    }
}

TEST_CASE("a transaction on a replica ends once its key may have been withdrawn",
          "[sessions][keys]")
{
    // Guards against reads under a withdrawn key by an entry that control cannot reach.
    vm_fixture vm;
    vm.state.declared.routes["bounded"].max_staleness = seconds(30);
    vm.sessions.on_configuration();
    REQUIRE(is_success(vm.run(vm.open_session("strict"), read_of("x"))));
    const auto session = vm.open_session("bounded");
    CHECK(is_success(vm.run(session, {.kind = statement_kind::begin_read_only, .id = "t"})));
    CHECK(is_success(vm.run(session, read_of("x"))));
    REQUIRE(vm.connections.back()->target.instance == "b");
    vm.advance_time(milliseconds(100));
    vm.lease = false;
    vm.advance_time(milliseconds(1900));
    CHECK(is_success(vm.run(session, read_of("x"))));
    vm.advance_time(milliseconds(150));
    CHECK(error_code_of(vm.run(session, read_of("x"))) == statement_error_code::aborted);
}

TEST_CASE("a session without access sets nothing and is ended once it is idle", "[sessions][keys]")
{
    vm_fixture vm;
    int ended = 0;
    const auto open = [&](const std::string& key) {
        return std::get<std::uint64_t>(
            vm.sessions.open_session("strict", key, [&ended] { ++ended; }));
    };
    const auto idle = open("key");
    const auto in_transaction = open("key");
    (void)open("other");
    CHECK(is_success(vm.run(in_transaction, {.kind = statement_kind::begin, .id = "t"})));
    vm.state.declared.customer_of_key.erase("key");
    vm.sessions.on_configuration();
    for (const auto kind : {statement_kind::set_value, statement_kind::prepare_read}) {
        const auto answer = vm.run(idle, {.kind = kind, .name = "n", .argument = "v"});
        CHECK(error_code_of(answer) == statement_error_code::not_authorized);
    }
    CHECK(ended == 0);
    // Without a lease, a newer configuration may hold the key again.
    vm.lease = false;
    vm.advance_time(milliseconds(500));
    CHECK(ended == 0);
    vm.lease = true;
    vm.advance_time(milliseconds(10));
    CHECK(ended == 1);
    vm.sessions.close_session(idle);
    // The caller of a transaction is told first that it was rolled back.
    CHECK(error_code_of(vm.run(in_transaction, {.kind = statement_kind::commit})) ==
          statement_error_code::aborted);
    vm.advance_time(milliseconds(150));
    CHECK(ended == 2);
}

TEST_CASE("statements beyond a customer's rate are refused and not run", "[sessions]")
{
    vm_fixture vm;
    vm.state.declared.customers["agence"] = {.rate = 10, .burst = 10};
    vm.sessions.on_configuration();
    // All at once: a caller that sends one statement after another is only slowed down.
    int refused = 0;
    int answered = 0;
    for (int n = 0; n < 40; ++n) {
        vm.sessions.run(vm.open_session("strict"), read_of("x"), [&](const statement_answer& it) {
            ++answered;
            refused += error_code_of(it) == statement_error_code::too_many;
        });
    }
    vm.advance_time(seconds(2));
    CHECK(answered == 40);
    CHECK(refused >= 20);
    CHECK(vm.instances["a"].reads + refused == 40);
}

TEST_CASE("without control, prefetched tokens are used, and then callers are refused at once",
          "[sessions]")
{
    vm_fixture vm;
    vm.state.declared.customers["agence"] = {.rate = 10, .burst = 10};
    vm.sessions.on_configuration();
    const auto session = vm.open_session("strict");
    for (int n = 0; n < 25; ++n) {
        vm.advance_time(milliseconds(200));
        CHECK(is_success(vm.run(session, read_of("x"))));
    }
    vm.control_answers = false;
    int served = 0;
    for (int n = 0; n < 5; ++n) {
        vm.advance_time(milliseconds(200));
        served += is_success(vm.run(session, read_of("x"))) ? 1 : 0;
    }
    // Prefetched tokens cover one second of the usual demand.
    CHECK(served == 5);
    for (int n = 0; n < 20; ++n) {
        (void)vm.run(session, read_of("x"));
    }
    const time_point before = vm.now;
    CHECK(error_code_of(vm.run(session, read_of("x"))) == statement_error_code::too_many);
    CHECK(vm.now == before);
}

TEST_CASE("a caller that waits for a token is served once control answers", "[sessions]")
{
    vm_fixture vm;
    vm.control_answers = false;
    const auto session = vm.open_session("strict");
    vm.submit(session, read_of("x"));
    vm.advance_time(milliseconds(100));
    CHECK_FALSE(*vm.answered);
    vm.control_answers = true;
    vm.advance_time(milliseconds(200));
    REQUIRE(*vm.answered);
    CHECK(is_success(vm.last_answer));
}

TEST_CASE("a caller that arrives before the first configuration waits for it until a timeout",
          "[sessions]")
{
    vm_fixture vm;
    const declared_configuration conf = std::exchange(vm.state.declared, {});
    vm.sessions.on_configuration();
    REQUIRE_FALSE(vm.sessions.is_configured());
    int called = 0;
    vm.sessions.await_configuration([&] { ++called; });
    vm.advance_time(milliseconds(500));
    CHECK(called == 0);
    vm.state.declared = conf;
    vm.sessions.on_configuration();
    CHECK(called == 1);
    vm.state.declared = {};
    vm.sessions.on_configuration();
    vm.sessions.await_configuration([&] { ++called; });
    vm.advance_time(milliseconds(1600));
    // Callers wait two seconds for an answer, so the timeout is shorter.
    CHECK(called == 2);
}

TEST_CASE("a stopping VM answers running statements and refuses new ones", "[sessions]")
{
    vm_fixture vm;
    const auto first = vm.open_session("strict");
    const auto second = vm.open_session("strict");
    CHECK(is_success(vm.run(first, read_of("x"))));
    vm.submit(first, read_of("x"));
    const auto running = vm.answered;
    vm.sessions.begin_closing();
    CHECK(vm.sessions.is_answering());
    // The running statement's answer is not delivered yet, so this is the refusal of the second.
    vm.submit(second, read_of("x"));
    REQUIRE(*vm.answered);
    CHECK(error_code_of(vm.last_answer) == statement_error_code::busy);
    vm.advance_time(milliseconds(50));
    CHECK(*running);
    CHECK(is_success(vm.last_answer));
    CHECK_FALSE(vm.sessions.is_answering());
}

TEST_CASE("a VM that exits answers a running write as in doubt", "[sessions]")
{
    vm_fixture vm;
    vm.instances["a"].drops_answers = true;
    const auto writer = vm.open_session("strict");
    vm.submit(writer, write_of("x"));
    vm.advance_time(milliseconds(50));
    const auto write = vm.answered;
    REQUIRE_FALSE(*write);
    vm.sessions.begin_closing();
    vm.sessions.finish_pending();
    CHECK(*write);
    // The instance may have run the write.
    CHECK(error_code_of(vm.last_answer) == statement_error_code::in_doubt);
    CHECK_FALSE(vm.sessions.is_answering());
}

TEST_CASE("a caller that leaves while it waits for a token gets no answer and runs nothing",
          "[sessions]")
{
    vm_fixture vm;
    vm.control_answers = false;
    const auto session = vm.open_session("strict");
    vm.submit(session, read_of("x"));
    vm.sessions.close_session(session);
    vm.control_answers = true;
    vm.advance_time(milliseconds(500));
    CHECK(vm.instances["a"].reads == 0);
    CHECK_FALSE(*vm.answered);
}

TEST_CASE("a write that the primary refuses because its queue is full is retried after a backoff",
          "[sessions]")
{
    vm_fixture vm;
    vm.instances["a"].busy_refusals = 2;
    const auto session = vm.open_session("strict");
    const time_point before = vm.now;
    CHECK(is_success(vm.run(session, write_of("x"))));
    CHECK(vm.now - before >= milliseconds(60));
    CHECK(vm.now - before < milliseconds(300));
}

TEST_CASE("a leaving instance gets no new reads", "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("bounded");
    CHECK(is_success(vm.run(session, read_of("x"))));
    vm.state.leaving["b"] = 0;
    vm.sessions.on_configuration();
    const int before = vm.instances["b"].reads;
    vm.advance_time(milliseconds(50));
    for (int n = 0; n < 5; ++n) {
        CHECK(is_success(vm.run(session, read_of("x"))));
    }
    CHECK(vm.instances["b"].reads == before);
}

TEST_CASE("an unreachable primary is reported as failing, and a read that needs it is refused",
          "[sessions]")
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

TEST_CASE("an entry without a lease does not refuse as unknown what a newer configuration may hold",
          "[sessions]")
{
    vm_fixture vm;
    const auto refusal_of = [&](const std::string& database, const std::string& key) {
        const auto opened = vm.sessions.open_session(database, key, [] {});
        REQUIRE(std::holds_alternative<statement_error>(opened));
        return std::get<statement_error>(opened);
    };
    CHECK(refusal_of("added", "key").code == statement_error_code::unknown_database);
    CHECK(refusal_of("strict", "added").code == statement_error_code::not_authorized);
    const auto without_route = vm.open_session("own");
    const auto without_key = vm.open_session("strict", "other");
    vm.state.declared.routes.erase("own");
    vm.state.declared.customer_of_key.erase("other");
    vm.sessions.on_configuration();
    const auto error_of = [&](std::uint64_t session) {
        const statement_answer answer = vm.run(session, read_of("x"));
        REQUIRE(std::holds_alternative<statement_error>(answer.result));
        return std::get<statement_error>(answer.result);
    };
    CHECK(error_of(without_route).code == statement_error_code::unknown_database);
    CHECK(error_of(without_key).code == statement_error_code::not_authorized);
    vm.lease = false;
    // Nothing ran, and the caller is told when to come back.
    for (const statement_error& it : {refusal_of("added", "key"), refusal_of("strict", "added"),
                                      error_of(without_route), error_of(without_key)}) {
        CHECK(it.code == statement_error_code::busy);
        // Counted from the lease's end, not from the start of the clock.
        CHECK(it.text.find("retry-after-ms=300 ") == 0);
    }
}

TEST_CASE("a key that may have been withdrawn is refused soon after the lease has expired",
          "[sessions]")
{
    // Guards against reads under a withdrawn key for as long as replicas are fresh enough.
    vm_fixture vm;
    vm.state.declared.routes["bounded"].max_staleness = seconds(30);
    vm.state.declared.routes["open"] = vm.state.declared.routes["bounded"];
    vm.state.declared.routes["open"].open_to_all = true;
    // A customer without a limit, which tokens do not hold back.
    vm.state.declared.customer_of_key["free"] = "unlimited";
    vm.sessions.on_configuration();
    const auto keyed = vm.open_session("bounded", "free");
    const auto open = vm.open_session("open", "free");
    REQUIRE(is_success(vm.run(vm.open_session("strict", "free"), read_of("x"))));
    vm.advance_time(milliseconds(100));
    vm.lease = false;
    vm.advance_time(milliseconds(1900));
    CHECK(is_success(vm.run(keyed, read_of("x"))));
    vm.advance_time(milliseconds(150));
    CHECK(error_code_of(vm.run(keyed, read_of("x"))) == statement_error_code::busy);
    CHECK(is_success(vm.run(open, read_of("x"))));
    vm.lease = true;
    vm.advance_time(milliseconds(20));
    CHECK(is_success(vm.run(keyed, read_of("x"))));
}

TEST_CASE("an entry that holds an evacuation order sends no new read into the domain",
          "[sessions][evacuation]")
{
    vm_fixture vm;
    const auto session = vm.open_session("bounded");
    CHECK(is_success(vm.run(session, write_of("x"))));
    vm.instances["b"].position = vm.instances["a"].position;
    vm.instances["c"].position = vm.instances["a"].position;
    const auto read_twenty_times = [&] {
        for (int n = 0; n < 20; ++n) {
            CHECK(is_success(vm.run(session, read_of("x"))));
        }
        return vm.received_count("b");
    };
    const std::size_t before = read_twenty_times();
    REQUIRE(before == 20);
    vm.evacuate({"brest-port"});
    CHECK(read_twenty_times() == before);
    vm.advance_time(milliseconds(10));
    // Idle connections there are closed.
    CHECK(std::all_of(vm.connections.begin(), vm.connections.end(),
                      [](const auto& it) { return it->closed || it->target.instance != "b"; }));
    vm.evacuate({});
    CHECK(read_twenty_times() == before + 20);
}

TEST_CASE("a statement that is being set up when the order arrives is not sent into the domain",
          "[sessions][evacuation]")
{
    vm_fixture vm;
    CHECK(is_success(vm.run(vm.open_session("strict"), write_of("x"))));
    vm.instances["b"].position = vm.instances["a"].position;
    vm.instances["c"].position = vm.instances["a"].position;
    vm.evacuate({"brest-port"});
    const auto session = vm.open_session("bounded");
    CHECK(is_success(vm.run(session, {.kind = statement_kind::set_value, .name = "v"})));
    vm.submit(session, read_of("x"));
    vm.evacuate({"rennes-nord"});
    vm.advance_time(milliseconds(100));
    REQUIRE(*vm.answered);
    CHECK(is_success(vm.last_answer));
    CHECK(vm.instances["b"].reads == 1);
    CHECK(vm.instances["c"].reads == 0);
}

TEST_CASE("a statement that waits is not dispatched into an evacuated domain but refused",
          "[sessions][evacuation]")
{
    vm_fixture vm;
    vm.advance_time(milliseconds(100));
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, write_of("x"))));
    vm.evacuate({"rennes-nord"});
    vm.advance_time(milliseconds(2400));
    const std::size_t before = vm.received_count("a");
    vm.lease = false;
    vm.submit(session, write_of("y"));
    vm.deliver_events();
    CHECK_FALSE(*vm.answered);
    vm.advance_time(milliseconds(90));
    CHECK_FALSE(*vm.answered);
    vm.now += milliseconds(10);
    vm.lease = true;
    vm.sessions.tick();
    REQUIRE(*vm.answered);
    const auto* const error = std::get_if<statement_error>(&vm.last_answer.result);
    REQUIRE(error != nullptr);
    CHECK(error->text == "retry-after-ms=300 evacuated");
    vm.advance_time(milliseconds(100));
    CHECK(vm.received_count("a") == before);
}

// Guards against the commit of a transaction whose caller was told that nothing of it is kept: an
// instance that refuses a statement without running it keeps the transaction open.
TEST_CASE("a transaction in which a statement was refused cannot be committed any more",
          "[sessions]")
{
    vm_fixture vm;
    vm.advance_time(milliseconds(100));
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, {.kind = statement_kind::begin})));
    CHECK(is_success(vm.run(session, write_of("x"))));
    const auto connection = vm.connections.back();
    const auto sent = [&](statement_kind kind) {
        return std::count_if(connection->received.begin(), connection->received.end(),
                             [&](const statement& it) { return it.kind == kind; });
    };
    std::ptrdiff_t refused_commits = 0;
    SECTION("the instance is busy")
    {
        vm.instances["a"].busy_refusals = 1;
        const auto refused = vm.run(session, read_of("x"));
        CHECK(error_code_of(refused) == statement_error_code::busy);
        CHECK(refused.state == session_state::failed_transaction);
        SECTION("and the caller commits")
        {
            const auto committed = vm.run(session, {.kind = statement_kind::commit});
            CHECK(error_code_of(committed) == statement_error_code::aborted);
            CHECK(committed.state == session_state::idle);
        }
        SECTION("and the caller rolls back")
        {
            CHECK(is_success(vm.run(session, {.kind = statement_kind::rollback})));
        }
        SECTION("and the caller goes on")
        {
            CHECK(error_code_of(vm.run(session, write_of("y"))) == statement_error_code::malformed);
            CHECK(error_code_of(vm.run(session, {.kind = statement_kind::commit})) ==
                  statement_error_code::aborted);
        }
        CHECK(sent(statement_kind::rollback) == 1);
        CHECK(vm.instances["a"].items.count("y") == 0);
        // The connection is used again.
        const std::size_t opened = vm.connections.size();
        CHECK(is_success(vm.run(session, write_of("z"))));
        CHECK(vm.connections.size() == opened);
    }
    SECTION("the instance has lost the lead")
    {
        vm.instances["a"].primary = false;
        CHECK(error_code_of(vm.run(session, write_of("y"))) == statement_error_code::read_only);
        CHECK(error_code_of(vm.run(session, {.kind = statement_kind::commit})) ==
              statement_error_code::aborted);
        CHECK(sent(statement_kind::rollback) == 1);
    }
    SECTION("the commit itself is refused")
    {
        vm.instances["a"].busy_refusals = 1;
        CHECK(error_code_of(vm.run(session, {.kind = statement_kind::commit})) ==
              statement_error_code::busy);
        refused_commits = 1;
        CHECK(connection->closed);
    }
    SECTION("the answer to the rollback is lost")
    {
        vm.instances["a"].busy_refusals = 1;
        vm.submit(session, read_of("x"));
        while (!*vm.answered) {
            const auto event = std::move(vm.events.front());
            vm.events.pop_front();
            event();
        }
        vm.instances["a"].drops_answers = true;
        CHECK(error_code_of(vm.run(session, {.kind = statement_kind::commit})) ==
              statement_error_code::aborted);
        vm.advance_time(seconds(3));
        CHECK(connection->closed);
    }
    SECTION("the statement's limit passes")
    {
        vm.instances["a"].drops_answers = true;
        CHECK(error_code_of(vm.run(session, write_of("y"))) == statement_error_code::aborted);
        CHECK(connection->closed);
        CHECK(error_code_of(vm.run(session, {.kind = statement_kind::commit})) ==
              statement_error_code::aborted);
    }
    CHECK(sent(statement_kind::commit) == refused_commits);
}

TEST_CASE("an open transaction in an evacuated domain ends with the grace and sends nothing more",
          "[sessions][evacuation]")
{
    vm_fixture vm;
    vm.advance_time(milliseconds(100));
    const auto begin = [&](std::uint64_t session) {
        CHECK(is_success(vm.run(session, {.kind = statement_kind::begin})));
        CHECK(is_success(vm.run(session, write_of("x"))));
    };
    const auto idle = vm.open_session("strict");
    const auto active = vm.open_session("strict");
    const auto failed = vm.open_session("strict");
    begin(idle);
    begin(active);
    begin(failed);
    vm.evacuate({"rennes-nord"});
    vm.advance_time(milliseconds(2400));
    CHECK(is_success(vm.run(active, read_of("x"))));
    vm.instances["a"].busy_refusals = 1;
    CHECK_FALSE(is_success(vm.run(failed, read_of("x"))));
    const std::size_t before = vm.received_count("a");
    // No tick takes place between the end of the grace and these statements.
    vm.now += milliseconds(200);
    CHECK(error_code_of(vm.run(active, {.kind = statement_kind::commit})) ==
          statement_error_code::aborted);
    CHECK(is_success(vm.run(failed, {.kind = statement_kind::rollback})));
    vm.advance_time(milliseconds(100));
    CHECK(error_code_of(vm.run(idle, write_of("x"))) == statement_error_code::aborted);
    CHECK(vm.received_count("a") == before);
    CHECK(std::all_of(vm.connections.begin(), vm.connections.end(),
                      [](const auto& it) { return it->closed || it->target.instance != "a"; }));
}

TEST_CASE("without a replica elsewhere what needs an evacuated primary is refused with the reason",
          "[sessions][evacuation]")
{
    vm_fixture vm;
    vm.advance_time(milliseconds(100));
    const auto session = vm.open_session("strict");
    vm.evacuate({"rennes-nord", "brest-port"});
    CHECK(is_success(vm.run(session, write_of("x"))));
    vm.advance_time(milliseconds(2500));
    const std::size_t before = vm.received_count("a");
    vm.submit(session, write_of("y"));
    REQUIRE(*vm.answered);
    const auto* const error = std::get_if<statement_error>(&vm.last_answer.result);
    REQUIRE(error != nullptr);
    CHECK(error->code == statement_error_code::busy);
    CHECK(error->text == "retry-after-ms=1000 evacuated");
    CHECK(vm.received_count("a") == before);
}

TEST_CASE("a primary that was promoted away from an evacuated domain gets nothing more",
          "[sessions][evacuation]")
{
    vm_fixture vm;
    vm.state.declared.routes["bounded"].statement_timeout = seconds(5);
    vm.sessions.on_configuration();
    vm.advance_time(milliseconds(100));
    const auto session = vm.open_session("bounded");
    CHECK(is_success(vm.run(session, write_of("x"))));
    vm.evacuate({"rennes-nord"});
    vm.change_primary(
        {.instance = "a", .phase = primary_phase::suspended, .planned = true, .epoch = 20});
    vm.submit(session, write_of("y"));
    vm.deliver_events();
    CHECK_FALSE(*vm.answered);
    const std::size_t before = vm.received_count("a");
    vm.instances["b"].primary = true;
    vm.change_primary({.instance = "b", .epoch = 21, .generation = 1});
    vm.advance_time(milliseconds(100));
    CHECK(*vm.answered);
    CHECK(is_success(vm.last_answer));
    for (int n = 0; n < 20; ++n) {
        CHECK(is_success(vm.run(session, read_of("x"))));
    }
    CHECK(vm.received_count("a") == before);
}

TEST_CASE("an entry that starts with the order in force sends nothing to the primary there",
          "[sessions][evacuation]")
{
    vm_fixture vm;
    // The fixture's entry has not had an answer from control before its first configuration.
    vm.evacuate({"rennes-nord"});
    vm.submit(vm.open_session("strict"), write_of("x"));
    CHECK(*vm.answered);
    CHECK(error_code_of(vm.last_answer) == statement_error_code::busy);
    CHECK(vm.connections.empty());
}

TEST_CASE("a route with home regions is not served outside them, and refused if none can serve",
          "[sessions][regions]")
{
    vm_fixture vm;
    vm.instances["b"].position = {1, 200};
    vm.instances["c"].position = {1, 200};
    const auto restrict_to = [&](std::set<std::string> route, std::set<std::string> customer) {
        vm.state.declared.routes["bounded"].allowed_regions = std::move(route);
        vm.state.declared.customers["agence"].allowed_regions = std::move(customer);
        vm.sessions.on_configuration();
    };
    const auto session = vm.open_session("bounded");
    restrict_to({"est"}, {});
    for (int n = 0; n < 20; ++n) {
        CHECK(is_success(vm.run(session, read_of("x"))));
    }
    CHECK(vm.received_count("b") == 0);
    // Both lists apply, to the primary as well.
    restrict_to({"ouest", "est"}, {"ouest"});
    const std::size_t before = vm.received_count("a") + vm.received_count("c");
    for (int n = 0; n < 20; ++n) {
        CHECK(is_success(vm.run(session, read_of("x"))));
    }
    vm.submit(session, write_of("x"));
    REQUIRE(*vm.answered);
    const auto* const error = std::get_if<statement_error>(&vm.last_answer.result);
    REQUIRE(error != nullptr);
    CHECK(error->code == statement_error_code::busy);
    CHECK(error->text == "retry-after-ms=1000 home_region");
    restrict_to({"ouest"}, {"est"});
    vm.submit(session, read_of("x"));
    REQUIRE(*vm.answered);
    CHECK(error_code_of(vm.last_answer) == statement_error_code::busy);
    CHECK(vm.received_count("a") + vm.received_count("c") == before);
}

TEST_CASE("a read at home is served although the primary and its position are elsewhere",
          "[sessions][regions]")
{
    vm_fixture vm;
    vm.state.declared.routes["bounded"].allowed_regions = {"ouest"};
    vm.sessions.on_configuration();
    const auto session = vm.open_session("bounded");
    for (int n = 0; n < 5; ++n) {
        CHECK(is_success(vm.run(session, read_of("x"))));
        vm.advance_time(seconds(2));
    }
    CHECK(vm.instances["b"].reads == 5);
    CHECK(vm.received_count("a") == 0);
}

TEST_CASE("a transaction is not continued on an instance outside regions that were set meanwhile",
          "[sessions][regions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("strict");
    CHECK(is_success(vm.run(session, {.kind = statement_kind::begin})));
    CHECK(is_success(vm.run(session, write_of("x"))));
    const std::size_t before = vm.received_count("a");
    vm.state.declared.customers["agence"].allowed_regions = {"ouest"};
    vm.sessions.on_configuration();
    CHECK(error_code_of(vm.run(session, {.kind = statement_kind::commit})) ==
          statement_error_code::aborted);
    CHECK(vm.received_count("a") == before);
}

TEST_CASE("a cold instance gets no more than the entry's allocation in any second",
          "[sessions][warmup]")
{
    vm_fixture vm;
    vm.state.declared.services["registre"].warmup_rate = 10;
    vm.instances["b"].position = {1, 200};
    vm.instances["c"].position = {1, 200};
    vm.sessions.on_configuration();
    CHECK(is_success(vm.run(vm.open_session("strict"), read_of("x"))));
    std::uint64_t version = 1;
    const auto instruct = [&](std::int64_t warmup_left_ms, const warmup_grant& grant) {
        std::vector<instance_heartbeat> all = vm.directory();
        all[1].warmup_left_ms = warmup_left_ms;
        vm.sessions.on_instructions({.entry_count = 1,
                                     .directory_version = ++version,
                                     .has_directory = true,
                                     .instances = all,
                                     .warmup = grant});
    };
    const auto session = vm.open_session("bounded");
    const auto reads_of_b = [&] {
        const int before = vm.instances["b"].reads;
        for (int n = 0; n < 20; ++n) {
            CHECK(is_success(vm.run(session, read_of("x"))));
        }
        return vm.instances["b"].reads - before;
    };
    // Without an allocation it gets nothing, and the others serve.
    instruct(4000, {});
    CHECK(reads_of_b() == 0);
    vm.advance_time(seconds(1));
    CHECK(vm.sessions.report().warmup.demand.contains("b"));
    const warmup_grant three{.per_second = {{"b", 3}}, .number = 5, .valid_ms = 3000};
    instruct(3900, three);
    CHECK(reads_of_b() == 3);
    vm.advance_time(milliseconds(900));
    CHECK(reads_of_b() == 0);
    vm.advance_time(milliseconds(200));
    CHECK(reads_of_b() == 3);
    // An earlier grant that arrives late changes nothing.
    instruct(2800, {.per_second = {{"b", 20}}, .number = 4, .valid_ms = 3000});
    vm.advance_time(milliseconds(1100));
    CHECK(reads_of_b() == 3);
    vm.advance_time(milliseconds(1100));
    CHECK(is_success(vm.run(vm.open_session("strict"), read_of("x"))));
    vm.lease = false;
    CHECK(reads_of_b() == 0);
    vm.lease = true;
    // Without answers of control the grant runs out.
    vm.control_answers = false;
    vm.advance_time(milliseconds(200));
    CHECK(reads_of_b() == 0);
    instruct(0, three);
    CHECK(reads_of_b() == 20);
}

// Guards against estimates that keep all reads at a slow home, or away from one that has recovered.
TEST_CASE("reads leave a slow home in part and return once it has recovered", "[sessions]")
{
    vm_fixture vm;
    const auto session = vm.open_session("bounded");
    const auto reads_at_home = [&](int count) {
        const int before = vm.instances["b"].reads;
        for (int n = 0; n < count; ++n) {
            CHECK(is_success(vm.run(session, read_of("x"))));
            vm.advance_time(milliseconds(100));
        }
        return vm.instances["b"].reads - before;
    };
    // A few reads need the primary, whose position is the measure of the replicas' staleness.
    CHECK(reads_at_home(50) > 40);
    vm.instances["b"].delay = milliseconds(400);
    (void)reads_at_home(100);
    const int while_slow = reads_at_home(100);
    CHECK(while_slow > 0);
    CHECK(while_slow < 50);
    vm.instances["b"].delay = duration{};
    (void)reads_at_home(1000);
    CHECK(reads_at_home(50) > 40);
}
