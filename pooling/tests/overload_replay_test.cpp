#include <catch2/catch.hpp>
#include <deque>
#include <iostream>
#include <queue>
#include <random>
#include <set>

#include "pooling/session_service.h"

using namespace balsamdrift;

namespace {

/// Kind of a replayed caller, with the results of its operations.
struct caller_kind {
    std::string database;
    int callers = 0;
    /// Fraction of writes.
    double writes = 0;
    duration objective{};
    /// Operations that began within the burst, and those of them done within the objective.
    int begun = 0;
    int in_time = 0;
    int served = 0;
    int refusals = 0;
    int max_refusals = 0;
};

struct replayed_caller {
    caller_kind* kind = nullptr;
    std::size_t entry = 0;
    std::uint64_t session = 0;
    bool is_loud = false;
    /// The present operation.
    time_point began_at{};
    bool write = false;
    int attempts = 0;
};

struct replay_options {
    double burst_factor = 2.4;
    /// Factor of one customer of the bursting kind, in addition.
    double loud_factor = 1;
    int urgent_callers = 60;
    std::size_t entry_count = 40;
    int batch_callers = 340;
    unsigned seed = 20261204;
    duration burst_begin = seconds(12);
    duration burst_length = seconds(6);
    duration length = seconds(26);
};

constexpr std::size_t slot_count = 4;
constexpr std::size_t queue_limit = 16;
constexpr milliseconds one_way(1);
constexpr milliseconds tick_interval(5);
const time_point start{std::chrono::hours(1)};

/// Forty entries, three instances that run four statements each and queue sixteen, and closed-loop
/// callers who wait as long as a refusal tells them.
struct overload_replay {
    struct instance_model {
        int running = 0;
        std::deque<std::function<void()>> queue;
        int busy = 0;
    };
    struct timed_event {
        time_point at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const timed_event& other) const
        {
            return std::tuple(other.at, other.number) < std::tuple(at, number);
        }
    };

    explicit overload_replay(const replay_options& it) : options(it), random(it.seed)
    {
        kinds = {{"urgent", it.urgent_callers, 0.35, milliseconds(400)},
                 {"usual", 80, 0.1, milliseconds(800)},
                 {"batch", it.batch_callers, 0.05, milliseconds(1500)}};
        auto state = std::make_shared<registry>();
        state->index = 1;
        state->declared.version = 1;
        state->declared.services["s"] = {.connections = 100};
        int priority = 0;
        for (const caller_kind& kind : kinds) {
            state->declared.routes[kind.database] = {
                .service = "s",
                .consistency =
                    priority == 0 ? read_consistency::primary : read_consistency::bounded_staleness,
                .statement_timeout = std::chrono::duration_cast<milliseconds>(kind.objective * 2),
                .latency_objective = std::chrono::duration_cast<milliseconds>(kind.objective),
                .max_staleness = seconds(10),
                .priority = priority};
            ++priority;
        }
        for (int n = 0; n < 8; ++n) {
            const std::string name = std::to_string(n);
            state->declared.customer_of_key["key" + name] = "customer" + name;
        }
        state->primaries["s"] = {.instance = "a", .epoch = 1};
        configuration = state;
        std::vector<instance_heartbeat> directory;
        for (const char* name : {"a", "b", "c"}) {
            instances[name];
            directory.push_back({.instance = name,
                                 .service = "s",
                                 .address = "10.0.0.1:1",
                                 .failure_domain = "d",
                                 .slots = static_cast<int>(slot_count)});
        }
        for (std::size_t n = 0; n < it.entry_count; ++n) {
            entries.push_back(make_entry());
            entries[n]->on_configuration();
            entries[n]->on_instructions({.entry_count = static_cast<std::uint32_t>(it.entry_count),
                                         .directory_version = 1,
                                         .has_directory = true,
                                         .instances = directory});
            at(start + tick_interval * static_cast<std::int64_t>(n) /
                           static_cast<std::int64_t>(it.entry_count),
               [this, n] { tick(n); });
        }
        for (caller_kind& kind : kinds) {
            for (int n = 0; n < kind.callers; ++n) {
                const std::size_t entry = callers.size() % it.entry_count;
                const int customer = n % 8;
                auto opened = entries[entry]->open_session(kind.database,
                                                           "key" + std::to_string(customer), [] {});
                callers.push_back(std::make_unique<replayed_caller>(
                    replayed_caller{.kind = &kind,
                                    .entry = entry,
                                    .session = std::get<std::uint64_t>(opened),
                                    .is_loud = kind.database == "batch" && customer == 0}));
                think(*callers.back());
            }
        }
    }

    void at(time_point when, std::function<void()> run)
    {
        events.push({when, ++event_number, std::move(run)});
    }

    std::unique_ptr<session_service> make_entry()
    {
        return std::make_unique<session_service>(
            session_service_options{.failure_domain = "d"},
            session_service_hooks{
                .now = [this] { return now; },
                .open = [this](const connection_target& target,
                               connection_events it) { return open(target, std::move(it)); },
                .configuration = [this] { return configuration; },
                .holds_lease = [](time_point) { return true; },
                .report_soon = [] {},
                .request_tokens = [](std::uint64_t, const customer_token_requests&, bool) {},
                .answered_request_sent_at = [this] { return now; }});
    }

    void tick(std::size_t entry)
    {
        entries[entry]->tick();
        at(now + tick_interval, [this, entry] { tick(entry); });
    }

    instance_connection open(const connection_target& target, connection_events it)
    {
        const auto callbacks = std::make_shared<connection_events>(std::move(it));
        const auto closed = std::make_shared<bool>(false);
        instance_model& instance = instances.at(target.instance);
        at(now + 2 * one_way, [callbacks, closed] {
            if (!*closed) {
                callbacks->on_started({.position = log_position{1, 100}});
            }
        });
        const auto reply = [this, callbacks, closed](statement_answer answer) {
            answer.position = log_position{1, 100};
            at(now + one_way, [callbacks, closed, answer] {
                if (!*closed) {
                    callbacks->on_answer(answer);
                }
            });
        };
        return {.send =
                    [this, &instance, reply](const statement& sent) {
                        at(now + one_way,
                           [this, &instance, reply, sent] { receive(instance, sent, reply); });
                    },
                .close = [closed] { *closed = true; }};
    }

    void receive(instance_model& instance, const statement& sent,
                 const std::function<void(statement_answer)>& reply)
    {
        const auto run = [this, &instance, sent, reply] {
            ++instance.running;
            if (sent.kind == statement_kind::write) {
                written.insert(sent.id);
            }
            const duration took =
                milliseconds(15) +
                scaled(milliseconds(25), std::exponential_distribution<>(1)(random));
            at(now + took, [&instance, reply] {
                reply({});
                --instance.running;
                if (!instance.queue.empty()) {
                    const auto next = std::move(instance.queue.front());
                    instance.queue.pop_front();
                    next();
                }
            });
        };
        if (instance.running < static_cast<int>(slot_count)) {
            run();
        }
        else if (instance.queue.size() < queue_limit) {
            instance.queue.push_back(run);
        }
        else {
            ++instance.busy;
            last_busy_at = now;
            reply({.result = statement_error{statement_error_code::busy, ""}});
        }
    }

    bool in_burst(time_point when) const
    {
        return when >= start + options.burst_begin &&
               when < start + options.burst_begin + options.burst_length;
    }

    void think(replayed_caller& caller)
    {
        double factor = 1;
        if (in_burst(now) && caller.kind->database == "batch") {
            factor = options.burst_factor * (caller.is_loud ? options.loud_factor : 1);
        }
        const duration pause =
            scaled(seconds(2), std::exponential_distribution<>(1)(random) / factor);
        at(now + pause, [this, &caller] {
            caller.began_at = now;
            caller.attempts = 0;
            caller.write = std::bernoulli_distribution(caller.kind->writes)(random);
            caller.kind->begun += in_burst(now) ? 1 : 0;
            loud_begun += caller.is_loud && in_burst(now) ? 1 : 0;
            attempt(caller);
        });
    }

    void attempt(replayed_caller& caller)
    {
        ++caller.attempts;
        const std::string id = std::to_string(++next_id);
        statement sent{.kind = caller.write ? statement_kind::write : statement_kind::read,
                       .id = id,
                       .argument = "item data"};
        entries[caller.entry]->run(
            caller.session, std::move(sent),
            [this, &caller, id](const statement_answer& it) { on_answer(caller, id, it); });
    }

    void on_answer(replayed_caller& caller, const std::string& id, const statement_answer& it)
    {
        caller_kind& kind = *caller.kind;
        const bool counted = in_burst(caller.began_at);
        const duration took = now - caller.began_at;
        if (is_success(it)) {
            kind.served += counted ? 1 : 0;
            kind.in_time += counted && took <= kind.objective ? 1 : 0;
            loud_in_time += caller.is_loud && counted && took <= kind.objective ? 1 : 0;
            kind.max_refusals = std::max(kind.max_refusals, caller.attempts - 1);
            think(caller);
            return;
        }
        const auto& error = std::get<statement_error>(it.result);
        if (error.code != statement_error_code::busy) {
            ++failures;
            think(caller);
            return;
        }
        refused.insert(id);
        ++kind.refusals;
        last_refusal_at = now;
        const std::string prefix = "retry-after-ms=";
        const milliseconds wait(std::stoi(error.text.substr(prefix.size())));
        shortest_wait = std::min(shortest_wait, wait);
        if (took + wait > 2 * kind.objective) {
            kind.max_refusals = std::max(kind.max_refusals, caller.attempts);
            think(caller);
            return;
        }
        at(now + wait, [this, &caller] { attempt(caller); });
    }

    void run()
    {
        while (!events.empty() && events.top().at < start + options.length) {
            const timed_event event = events.top();
            events.pop();
            now = event.at;
            event.run();
        }
        if (std::getenv("REPLAY_PRINT") != nullptr) {
            for (const caller_kind& it : kinds) {
                std::cerr << it.database << " begun " << it.begun << " in time " << it.in_time
                          << " served " << it.served << " refusals " << it.refusals << " max "
                          << it.max_refusals << "\n";
            }
            std::cerr << "busy a " << instances["a"].busy << " b " << instances["b"].busy << " c "
                      << instances["c"].busy << " last busy "
                      << milliseconds_text(last_busy_at - start) << " last refusal "
                      << milliseconds_text(last_refusal_at - start) << " failures " << failures
                      << " loud " << loud_in_time << "/" << loud_begun << "\n";
        }
    }

    replay_options options;
    time_point now = start;
    std::mt19937 random;
    std::priority_queue<timed_event> events;
    std::uint64_t event_number = 0;
    std::uint64_t next_id = 0;
    std::shared_ptr<const registry> configuration;
    std::map<std::string, instance_model> instances;
    std::vector<caller_kind> kinds;
    std::vector<std::unique_ptr<session_service>> entries;
    std::vector<std::unique_ptr<replayed_caller>> callers;
    /// Ids of the attempts that were refused, and of the writes that ran.
    std::set<std::string> refused;
    std::set<std::string> written;
    time_point last_busy_at = start;
    time_point last_refusal_at = start;
    milliseconds shortest_wait{1000};
    int failures = 0;
    int loud_begun = 0;
    int loud_in_time = 0;
};

}  // namespace

TEST_CASE(
    "in a burst of the least urgent kind the urgent kind keeps its target, and the burst waits",
    "[replay]")
{
    // Guards against entries that send an overloaded instance as much of each kind as it is asked
    // for, so that urgent work waits behind the burst or is refused.
    overload_replay day({});
    day.run();
    const caller_kind& urgent = day.kinds[0];
    const caller_kind& batch = day.kinds[2];
    CHECK(urgent.in_time >= urgent.begun * 95 / 100);
    CHECK(urgent.refusals == 0);
    CHECK(batch.refusals > 0);
    CHECK(batch.served >= batch.begun * 9 / 10);
    CHECK(batch.refusals <= batch.begun / 5);
    CHECK(batch.max_refusals <= 4);
    CHECK(day.shortest_wait >= milliseconds(50));
    CHECK(day.failures == 0);
    // Drained soon after the burst, without a second wave.
    CHECK(day.last_refusal_at < start + seconds(20));
    CHECK(day.last_busy_at < start + seconds(20));
    // A refused write has certainly not run.
    std::vector<std::string> both;
    std::set_intersection(day.refused.begin(), day.refused.end(), day.written.begin(),
                          day.written.end(), std::back_inserter(both));
    CHECK(both.empty());
}

TEST_CASE("a customer at five times its rate within the burst is served after the others",
          "[replay]")
{
    // Guards against shedding that makes all customers of a kind pay for one of them.
    overload_replay day({.loud_factor = 5});
    day.run();
    const caller_kind& urgent = day.kinds[0];
    CHECK(urgent.in_time >= urgent.begun * 95 / 100);
    REQUIRE(day.loud_begun > 0);
    const double loud = static_cast<double>(day.loud_in_time) / day.loud_begun;
    const double others = static_cast<double>(day.kinds[2].in_time - day.loud_in_time) /
                          (day.kinds[2].begun - day.loud_begun);
    CHECK(loud < others);
}

TEST_CASE("without a burst no instance answers BUSY and nothing is refused", "[replay]")
{
    overload_replay day({.burst_factor = 1});
    day.run();
    CHECK(day.refused.empty());
    CHECK(day.last_busy_at == start);
}

TEST_CASE("while the urgent kind is idle nothing is reserved for it", "[replay]")
{
    // Guards against capacity that stays unused for a kind which does not ask for it.
    overload_replay idle({.urgent_callers = 0});
    idle.run();
    overload_replay day({});
    day.run();
    const caller_kind& batch = idle.kinds[2];
    CHECK(batch.in_time > day.kinds[2].in_time);
    CHECK(batch.in_time >= batch.begun * 97 / 100);
}
