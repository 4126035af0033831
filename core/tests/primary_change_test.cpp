#include "core/failover/primary_change.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <set>

#include "base/outcome.h"

using namespace balsamdrift;

namespace {

const time_point start{std::chrono::hours(1)};

/// Simulates a service with three instances, its primary record and the platform on a virtual
/// clock. Tests inject faults by setting the members.
struct service_fixture {
    primary_change_state state;
    primary_change_view view{.service = "registre"};
    std::map<std::string, instance_status> statuses{
        {"a", {true, 1, {1, 100}}}, {"b", {false, 1, {1, 90}}}, {"c", {false, 1, {1, 95}}}};
    std::map<std::string, bool> up{{"a", true}, {"b", true}, {"c", true}};
    time_point now = start;
    bool entries_settled = true;
    promotion_answer platform_answer = promotion_answer::accepted;
    /// Instances whose promotion the platform rejects, regardless of `platform_answer`.
    std::set<std::string> rejected;
    /// Time that the platform takes to carry out and answer each request; the next one first.
    /// Requests beyond these are answered at once.
    std::deque<duration> platform_delays;
    /// A request that the platform has not carried out yet.
    struct delayed_promotion {
        std::string instance;
        time_point due_at{};
    };
    std::vector<delayed_promotion> delayed_promotions;
    /// Instances that refuse status requests.
    std::set<std::string> busy;
    std::vector<std::string> promoted;
    std::vector<std::string> stepped_down;
    int status_requests = 0;
    /// Requests to holders that are not in the directory.
    int holder_status_requests = 0;
    /// Instances whose heartbeats do not arrive.
    std::set<std::string> unheard;
    std::vector<primary_phase> phases;
    int blocked_reports = 0;
    /// True while instance a announces that it is leaving.
    bool primary_leaving = false;
    /// Other instances that announce that they are leaving.
    std::set<std::string> leaving;
    /// Addresses of instances that use that of an earlier one.
    std::map<std::string, std::string> addresses;
    std::vector<std::string> missing_holders;
    /// Start of instances that have started again.
    std::map<std::string, std::int64_t> born;
    /// Instances that warm up.
    std::set<std::string> cold;

    void receive_heartbeat(const std::string& name)
    {
        known_instance it{.last_heartbeat = {.instance = name,
                                             .service = "registre",
                                             .address = addresses.contains(name)
                                                            ? addresses[name]
                                                            : "10.0.0.1:" + name,
                                             .reports_primary = statuses[name].is_primary,
                                             .leaving = (primary_leaving && name == "a") ||
                                                        leaving.contains(name),
                                             .born_ms = born[name],
                                             .warmup_left_ms = cold.contains(name) ? 5000 : 0},
                          .last_heartbeat_at = now};
        std::erase_if(view.instances, [&](const known_instance& other) {
            return other.last_heartbeat.instance == name;
        });
        view.instances.push_back(it);
    }

    void perform(const primary_action& action)
    {
        std::visit(
            overloaded{
                [&](const propose_phase& it) {
                    const bool finished = view.record.phase == primary_phase::chosen &&
                                          it.phase == primary_phase::serving;
                    std::string predecessor;
                    if (it.phase != primary_phase::serving) {
                        predecessor = view.record.phase == primary_phase::serving
                                          ? view.record.instance
                                          : view.record.predecessor;
                    }
                    view.record = {.instance = it.instance,
                                   .phase = it.phase,
                                   .planned = it.planned,
                                   .epoch = view.record.epoch + 1,
                                   .generation = view.record.generation + (finished ? 1 : 0),
                                   .predecessor = predecessor,
                                   .newest_term = it.newest_term,
                                   .late_promotion = it.late_promotion};
                    phases.push_back(it.phase);
                },
                [&](const request_status& it) {
                    ++status_requests;
                    const bool answers = up[it.instance] && !busy.contains(it.instance);
                    handle_status_answer(
                        state, it.instance,
                        answers ? std::optional(statuses[it.instance]) : std::nullopt, now);
                },
                [&](const request_holder_status& it) { ask_holder(it.holder); },
                [&](const request_promotion& it) {
                    promoted.push_back(it.instance);
                    if (platform_delays.empty()) {
                        carry_out_promotion(it.instance);
                        return;
                    }
                    delayed_promotions.push_back({it.instance, now + platform_delays.front()});
                    platform_delays.pop_front();
                },
                [&](const request_step_down& it) { stepped_down.push_back(it.instance); },
                [&](const report_blocked_evacuation&) { ++blocked_reports; },
                [&](const propose_holders& it) { view.holders = it.holders; },
                [&](const report_missing_holder& it) { missing_holders.push_back(it.instance); },
            },
            action);
    }

    /// An instance that has ended refuses the request; one that is down is silent.
    void ask_holder(const commit_holder& holder)
    {
        ++holder_status_requests;
        const auto it = up.find(holder.instance);
        if (it == up.end()) {
            handle_holder_status(state, holder, status_failure::not_running, now, now);
        }
        else if (!it->second || busy.contains(holder.instance)) {
            handle_holder_status(state, holder, status_failure::no_answer, now, now);
        }
        else {
            handle_holder_status(state, holder, statuses[holder.instance], now, now);
        }
    }

    void carry_out_promotion(const std::string& name)
    {
        const promotion_answer answer =
            rejected.contains(name) ? promotion_answer::rejected : platform_answer;
        handle_promotion_answer(state, name, answer, now);
        if (answer == promotion_answer::accepted && up[name]) {
            statuses[name].is_primary = true;
            statuses[name].term = 2;
        }
    }

    void carry_out_due_promotions()
    {
        for (const delayed_promotion& it : delayed_promotions) {
            if (it.due_at <= now) {
                carry_out_promotion(it.instance);
            }
        }
        std::erase_if(delayed_promotions,
                      [&](const delayed_promotion& it) { return it.due_at <= now; });
    }

    /// Instance a ends without notice, and an entry reports that it fails.
    void lose_primary()
    {
        up["a"] = false;
        handle_entry_report(state, view.record, "a", true, std::nullopt, now);
    }

    /// The directory forgets the instance, whether it runs or not.
    void remove_from_directory(const std::string& name)
    {
        std::erase_if(view.instances, [&](const known_instance& other) {
            return other.last_heartbeat.instance == name;
        });
    }

    /// The instance ends and deregisters.
    void deregister(const std::string& name)
    {
        up.erase(name);
        remove_from_directory(name);
    }

    /// The instance runs on, but the directory loses it and receives no further heartbeat of it.
    void hide(const std::string& name)
    {
        unheard.insert(name);
        remove_from_directory(name);
    }

    /// Another instance starts at the address of one that has left, with its log.
    void start_successor(const std::string& name, const std::string& left)
    {
        up[name] = true;
        statuses[name] = statuses[left];
        addresses[name] = "10.0.0.1:" + left;
        receive_heartbeat(name);
    }

    /// Advances the clock. Instances that are up send a heartbeat every second.
    void run(duration span)
    {
        const time_point end = now + span;
        while (now < end) {
            now += milliseconds(10);
            carry_out_due_promotions();
            if ((now - start) % seconds(1) == duration{0}) {
                for (const auto& [name, alive] : up) {
                    if (alive && !unheard.contains(name)) {
                        receive_heartbeat(name);
                    }
                }
            }
            view.entries_settled = entries_settled;
            for (const primary_action& it : advance(state, view, {}, now)) {
                perform(it);
            }
        }
    }
};

}  // namespace

TEST_CASE("an instance that reports itself as primary is recorded without a promotion", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    CHECK(it.view.record.instance == "a");
    CHECK(it.view.record.phase == primary_phase::serving);
    CHECK(it.promoted.empty());
    CHECK(it.status_requests == 0);
}

TEST_CASE("a lost primary is replaced by the most advanced replica", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.lose_primary();
    it.run(seconds(4));
    CHECK(it.view.record.instance == "c");
    CHECK(it.view.record.phase == primary_phase::serving);
    CHECK(it.view.record.generation == 1);
    CHECK(it.promoted == std::vector<std::string>{"c"});
}

TEST_CASE("a primary that serves entries is not replaced even if control cannot reach it",
          "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.up["a"] = false;
    for (int n = 0; n < 100; ++n) {
        handle_entry_report(it.state, it.view.record, "a", true, milliseconds(50), it.now);
        it.run(milliseconds(100));
    }
    CHECK(it.view.record.instance == "a");
    CHECK(it.promoted.empty());
}

TEST_CASE("a new leader does not replace a primary whose heartbeat it has not received yet",
          "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    REQUIRE(it.view.record.instance == "a");
    // A new leader starts with an empty state and receives the heartbeats of the replicas first.
    it.state = {};
    it.view.instances.clear();
    it.receive_heartbeat("b");
    it.receive_heartbeat("c");
    handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
    it.run(milliseconds(900));
    CHECK(it.view.record.phase == primary_phase::serving);
    it.run(seconds(3));
    CHECK(it.view.record.instance == "a");
    CHECK(it.promoted.empty());
}

TEST_CASE("no replica is promoted before every entry has stopped using the old primary",
          "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.entries_settled = false;
    it.lose_primary();
    it.run(seconds(6));
    CHECK(it.view.record.phase == primary_phase::suspended);
    CHECK(it.promoted.empty());
    it.entries_settled = true;
    it.run(seconds(3));
    CHECK(it.view.record.instance == "c");
}

TEST_CASE("a replica whose promotion is rejected is skipped", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.up["a"] = false;
    it.rejected = {"c"};
    handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
    it.run(seconds(5));
    REQUIRE(!it.promoted.empty());
    CHECK(it.promoted.front() == "c");
    CHECK(it.view.record.instance == "b");
    CHECK(it.view.record.phase == primary_phase::serving);
}

TEST_CASE("when every promotion was rejected the replicas are tried again", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.up["a"] = false;
    it.rejected = {"b", "c"};
    handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
    it.run(seconds(5));
    CHECK(it.view.record.phase != primary_phase::serving);
    it.rejected = {};
    it.run(seconds(5));
    CHECK(it.view.record.phase == primary_phase::serving);
    CHECK(it.view.record.instance != "a");
}

TEST_CASE("the only replica left is tried again after its promotion was rejected", "[primary]")
{
    service_fixture it;
    it.up["b"] = false;
    it.run(seconds(3));
    it.up["a"] = false;
    it.rejected = {"c"};
    handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
    it.run(seconds(6));
    CHECK(it.view.record.phase != primary_phase::serving);
    it.rejected = {};
    it.run(seconds(5));
    CHECK(it.view.record.phase == primary_phase::serving);
    CHECK(it.view.record.instance == "c");
}

TEST_CASE("a lost primary that returns serves again when no replica can take over", "[primary]")
{
    service_fixture it;
    it.up["b"] = false;
    it.run(seconds(3));
    it.up["a"] = false;
    it.rejected = {"c"};
    handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
    it.run(seconds(2));
    it.up["c"] = false;
    it.up["a"] = true;
    it.run(seconds(12));
    CHECK(it.view.record.phase == primary_phase::serving);
    CHECK(it.view.record.instance == "a");
}

TEST_CASE("status requests to other instances do not count against the chosen replica", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.up["a"] = false;
    it.up["b"] = false;
    it.platform_answer = promotion_answer::unclear;
    handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
    it.run(seconds(2));
    REQUIRE(it.view.record.phase == primary_phase::chosen);
    // Late answers to the requests that were sent while the replica was chosen.
    for (int n = 0; n < 5; ++n) {
        handle_status_answer(it.state, "b", std::nullopt, it.now);
    }
    it.run(milliseconds(50));
    CHECK(it.view.record.phase == primary_phase::chosen);
    CHECK(it.view.record.instance == "c");
}

TEST_CASE("after an unclear answer the same promotion request is repeated", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.up["a"] = false;
    it.platform_answer = promotion_answer::unclear;
    handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
    it.run(seconds(3));
    CHECK(it.promoted.size() > 1);
    CHECK(std::all_of(it.promoted.begin(), it.promoted.end(),
                      [](const std::string& name) { return name == "c"; }));
}

// Guards against two promotions of one service that are under way at once and take effect in either
// order.
TEST_CASE("no other replica is chosen while a promotion may still take effect", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.up["a"] = false;
    it.platform_delays = {milliseconds(1900)};
    it.busy = {"c"};
    handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
    it.run(milliseconds(600));
    it.busy.clear();
    it.run(milliseconds(300));
    REQUIRE(it.promoted == std::vector<std::string>{"c"});
    it.busy = {"c"};
    SECTION("the same leader waits for the answer")
    {
        it.run(milliseconds(1500));
        CHECK(it.promoted == std::vector<std::string>{"c"});
        it.busy.clear();
        it.run(seconds(2));
        CHECK(it.view.record.instance == "c");
        CHECK(it.view.record.phase == primary_phase::serving);
    }
    SECTION("a new leader requests the recorded promotion again")
    {
        it.state = {};
        it.platform_answer = promotion_answer::not_executed;
        it.run(milliseconds(3500));
        CHECK(std::all_of(it.promoted.begin(), it.promoted.end(),
                          [](const std::string& name) { return name == "c"; }));
        CHECK(it.view.record.phase == primary_phase::chosen);
    }
}

// Guards against a second request for a promotion that the platform carries out after the next
// change of primary: the instance would replace the new primary without notice.
TEST_CASE("no other instance is promoted while a repeated request may still be carried out",
          "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.platform_answer = promotion_answer::unclear;
    it.lose_primary();
    it.run(milliseconds(1500));
    REQUIRE(it.promoted.size() > 1);
    // The first of these requests takes effect.
    it.statuses["c"].is_primary = true;
    it.statuses["c"].term = 2;
    it.run(seconds(1));
    REQUIRE(it.view.record.instance == "c");
    REQUIRE(it.view.record.phase == primary_phase::serving);
    it.promoted.clear();
    it.platform_answer = promotion_answer::accepted;
    it.statuses["b"].received = it.statuses["c"].received;
    const bool new_leader = GENERATE(false, true);
    if (new_leader) {
        it.state = {};
    }
    SECTION("a leaving primary serves on meanwhile")
    {
        it.leaving = {"c"};
        it.run(milliseconds(1500));
        CHECK(it.view.record.phase == primary_phase::serving);
    }
    SECTION("a lost primary is replaced later")
    {
        it.up["c"] = false;
        handle_entry_report(it.state, it.view.record, "c", true, std::nullopt, it.now);
        it.run(milliseconds(1500));
    }
    CHECK(it.promoted.empty());
    it.run(seconds(7));
    REQUIRE(!it.promoted.empty());
    CHECK(it.promoted.front() == "b");
    CHECK(it.view.record.phase == primary_phase::serving);
}

// Guards against a gap for writes after a change of primary that went as usual.
TEST_CASE("a promotion that was requested once does not delay the next change", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.lose_primary();
    it.run(seconds(2));
    REQUIRE(it.view.record.instance == "c");
    it.up["c"] = false;
    handle_entry_report(it.state, it.view.record, "c", true, std::nullopt, it.now);
    it.run(seconds(2));
    CHECK(it.promoted == std::vector<std::string>{"c", "b"});
}

TEST_CASE("a replica that is lost after its promotion was accepted is replaced", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.up["a"] = false;
    it.platform_answer = promotion_answer::unclear;
    handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
    it.run(milliseconds(900));
    REQUIRE(it.view.record.phase == primary_phase::chosen);
    it.up["c"] = false;
    it.platform_answer = promotion_answer::accepted;
    it.run(seconds(8));
    CHECK(it.view.record.instance == "b");
    CHECK(it.view.record.phase == primary_phase::serving);
}

TEST_CASE("a leaving primary is replaced once a replica has received everything", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.primary_leaving = true;
    it.run(milliseconds(1200));
    CHECK(it.view.record.phase == primary_phase::suspended);
    CHECK(it.view.record.planned);
    it.statuses["b"].received = {1, 100};
    it.run(seconds(4));
    CHECK(it.view.record.instance == "b");
    CHECK(it.view.record.phase == primary_phase::serving);
}

TEST_CASE("a cold replica succeeds a primary only if no other has all commits", "[primary]")
{
    service_fixture it;
    it.cold = {"c"};
    it.run(seconds(3));
    SECTION("in a planned change the warm one catches up")
    {
        it.primary_leaving = true;
        it.statuses["c"].received = {1, 100};
        it.run(milliseconds(1200));
        CHECK(it.promoted.empty());
        it.statuses["b"].received = {1, 100};
        it.run(seconds(4));
        CHECK(it.view.record.instance == "b");
    }
    SECTION("after a loss the warm one is chosen if it has as much")
    {
        it.statuses["b"].received = it.statuses["c"].received;
        it.lose_primary();
        it.run(seconds(4));
        CHECK(it.view.record.instance == "b");
    }
    SECTION("after a loss no commit is given up for a warm one")
    {
        it.lose_primary();
        it.run(seconds(4));
        CHECK(it.view.record.instance == "c");
    }
    SECTION("a cold one is used if there is no other")
    {
        it.cold = {"b", "c"};
        it.run(seconds(1));
        it.primary_leaving = true;
        it.run(seconds(5));
        CHECK(it.view.record.instance == "c");
    }
}

TEST_CASE("a replaced primary that returns is asked to step down", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.lose_primary();
    it.run(seconds(4));
    REQUIRE(it.view.record.instance == "c");
    it.up["a"] = true;
    it.run(seconds(4));
    CHECK(!it.stepped_down.empty());
    CHECK(it.stepped_down.front() == "a");
}

TEST_CASE(
    "with synchronous replicas none is chosen while one that may have the commit has not answered",
    "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.run(seconds(3));
    it.up["a"] = false;
    it.up["c"] = false;
    handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
    it.run(seconds(10));
    CHECK(it.promoted.empty());
    it.up["c"] = true;
    it.run(seconds(4));
    CHECK(it.view.record.instance == "c");
}

// Guards against the loss of a commit that only a leaving replica has received.
TEST_CASE("with synchronous replicas a leaving one that alone has a commit succeeds a lost primary",
          "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.run(seconds(3));
    it.leaving = {"c"};
    it.run(seconds(1));
    it.lose_primary();
    it.run(seconds(2));
    REQUIRE(!it.promoted.empty());
    CHECK(it.promoted.front() == "c");
    // It hands over once the other replica has caught up.
    it.statuses["b"].received = it.statuses["c"].received;
    it.run(seconds(3));
    CHECK(it.view.record.instance == "b");
}

// Guards against a count of answers that falls with the directory: the replica that has the last
// commits ends and deregisters while the successor is chosen.
TEST_CASE("with synchronous replicas one that left the directory is waited for at its address",
          "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.run(seconds(3));
    it.leaving = {"c"};
    it.run(seconds(1));
    it.busy = {"c"};
    it.lose_primary();
    it.run(seconds(2));
    it.deregister("c");
    const bool new_leader = GENERATE(false, true);
    if (new_leader) {
        it.state = {};
    }
    it.run(seconds(2));
    CHECK(it.promoted.empty());
    CHECK(it.missing_holders.back() == "c");
    it.start_successor("c2", "c");
    it.run(seconds(2));
    CHECK(it.view.record.instance == "c2");
    CHECK(it.view.record.phase == primary_phase::serving);
}

// Guards against a service that stays without a primary for a holder that is not needed.
TEST_CASE("a replica that left is not waited for once the others have what the primary had then",
          "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.run(seconds(3));
    it.statuses["b"].received = {1, 100};
    it.deregister("c");
    it.run(seconds(1));
    it.lose_primary();
    it.run(seconds(2));
    CHECK(it.view.record.instance == "b");
    CHECK(it.view.record.phase == primary_phase::serving);
}

// Guards against a comparison with what the primary had before the replica left.
TEST_CASE("a replica that left is waited for if the primary was not heard since", "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.run(seconds(3));
    it.born["c"] = 1;
    it.receive_heartbeat("c");
    it.busy = {"b", "c"};
    it.run(seconds(1));
    // The primary answered while the first holder was compared. Then it is lost, and c leaves.
    it.up["a"] = false;
    it.deregister("c");
    it.busy.clear();
    it.statuses["b"].received = {1, 100};
    handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
    it.run(seconds(5));
    CHECK(it.promoted.empty());
}

// Guards against the loss of commits that a replica acknowledged while its reports did not arrive.
TEST_CASE("a replica that runs outside the directory is not passed over", "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.run(seconds(3));
    it.hide("c");
    // The other replica catches up, and then falls behind what c acknowledges.
    it.statuses["b"].received = {1, 100};
    const bool new_leader = GENERATE(false, true);
    it.run(seconds(GENERATE(1, 40)));
    it.statuses["a"].received = {1, 110};
    it.statuses["c"].received = {1, 110};
    if (new_leader) {
        it.state = {};
    }
    it.lose_primary();
    it.run(seconds(10));
    CHECK(it.promoted.empty());
    it.unheard.clear();
    it.run(seconds(4));
    CHECK(it.view.record.instance == "c");
    CHECK(it.view.record.phase == primary_phase::serving);
}

// Guards against the loss of commits that a replica acknowledged behind a partition.
TEST_CASE("a silent replica is not forgotten at once when the others have caught up", "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.run(seconds(3));
    it.up["c"] = false;
    it.hide("c");
    it.statuses["b"].received = {1, 100};
    it.run(seconds(5));
    it.lose_primary();
    it.run(seconds(9));
    CHECK(it.promoted.empty());
    it.run(seconds(4));
    CHECK(it.view.record.instance == "b");
}

// Guards against two requests a second and more, for as long as an instance cannot be heard.
TEST_CASE("a replica that runs outside the directory is asked at a low rate", "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.run(seconds(3));
    it.hide("c");
    it.run(seconds(2));
    const int before = it.holder_status_requests;
    const int others_before = it.status_requests;
    it.run(seconds(15));
    CHECK(it.holder_status_requests - before <= 10);
    CHECK(it.status_requests == others_before);
}

// Guards against a count of copies that earlier commits do not have.
TEST_CASE("after a rise of the synchronous replicas, commits of before are not passed over",
          "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.run(seconds(3));
    // Instance c alone has the newest commits.
    it.statuses["a"].received = {1, 110};
    it.statuses["c"].received = {1, 110};
    it.view.synchronous_replicas = 2;
    it.run(seconds(1));
    SECTION("while only one replica has them")
    {
        it.up["c"] = false;
        it.lose_primary();
        it.run(seconds(5));
        CHECK(it.promoted.empty());
    }
    SECTION("and one missing replica is not waited for once both have had them")
    {
        it.statuses["b"].received = {1, 110};
        it.run(seconds(10));
        const bool new_leader = GENERATE(false, true);
        if (new_leader) {
            it.state = {};
        }
        it.up["c"] = false;
        it.lose_primary();
        it.run(seconds(5));
        // A new leader does not know it.
        CHECK(it.promoted.empty() == new_leader);
    }
}

// Guards against a replica that is unknown because it was not heard when synchronous replicas were
// declared.
TEST_CASE("a replica that left the directory before synchronous replicas were declared is asked",
          "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.hide("c");
    it.run(seconds(1));
    it.view.synchronous_replicas = 1;
    it.run(seconds(2));
    it.statuses["a"].received = {1, 110};
    it.statuses["c"].received = {1, 110};
    it.lose_primary();
    it.run(seconds(5));
    CHECK(it.promoted.empty());
}

TEST_CASE("a silent holder is given up after its timeout", "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.run(seconds(3));
    it.up["a"] = false;
    it.up["c"] = false;
    handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
    it.run(seconds(15));
    // The directory forgets it.
    it.deregister("c");
    it.run(seconds(14));
    CHECK(it.promoted.empty());
    it.run(seconds(4));
    CHECK(it.view.record.instance == "b");
}

// Guards against a primary that is asked for its status four times a second for ever.
TEST_CASE("a holder that left for good is forgotten although no replica can stand in for it",
          "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.up.erase("b");
    it.run(seconds(3));
    it.deregister("c");
    it.run(seconds(17));
    CHECK(it.view.holders.size() == 1);
    const int before = it.status_requests;
    it.run(seconds(5));
    CHECK(it.status_requests == before);
}

// Guards against the answer of an earlier incarnation: one that starts again under its name holds
// nothing of before.
TEST_CASE("a replica that lost its log does not answer for what it held", "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.run(seconds(3));
    it.born["c"] = 1;
    it.statuses["c"].received = {};
    it.receive_heartbeat("c");
    it.lose_primary();
    it.run(seconds(5));
    CHECK(it.promoted.empty());
    it.up["a"] = true;
    it.statuses["b"].received = {1, 100};
    it.run(seconds(3));
    CHECK(it.view.record.instance == "b");
}

// Guards against the promotion of a replica that lost its log after it was chosen.
TEST_CASE("a chosen replica that starts again is not requested again before it is chosen again",
          "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.up["a"] = false;
    it.platform_answer = promotion_answer::not_executed;
    handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
    it.run(milliseconds(900));
    REQUIRE(it.view.record.instance == "c");
    it.born["c"] = 1;
    it.statuses["c"].received = {};
    it.receive_heartbeat("c");
    it.promoted.clear();
    it.platform_answer = promotion_answer::accepted;
    it.run(seconds(3));
    CHECK(it.promoted == std::vector<std::string>{"b"});
}

// Guards against a planned change that gives up commits which running instances hold.
TEST_CASE("a planned change with synchronous replicas loses no commit to a lagging replica",
          "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.run(seconds(3));
    it.statuses["c"].received = {1, 100};
    it.leaving = {"c"};
    it.run(seconds(1));
    it.primary_leaving = true;
    it.run(seconds(2));
    // The primary serves on while the replica that stays lags.
    CHECK(it.view.record.phase == primary_phase::serving);
    SECTION("and the replica catches up")
    {
        it.statuses["b"].received = {1, 100};
        it.run(seconds(2));
        CHECK(it.promoted == std::vector<std::string>{"b"});
        CHECK(it.view.record.phase == primary_phase::serving);
    }
    SECTION("and the replica stays behind until the primary ends")
    {
        it.run(seconds(6));
        CHECK(it.view.record.phase == primary_phase::serving);
        it.deregister("a");
        it.run(seconds(8));
        REQUIRE(!it.promoted.empty());
        CHECK(it.promoted.front() == "c");
    }
    SECTION("and the primary is lost meanwhile")
    {
        it.lose_primary();
        it.run(seconds(3));
        REQUIRE(!it.promoted.empty());
        CHECK(it.promoted.front() == "c");
    }
}

TEST_CASE(
    "a primary in an evacuated domain is replaced by a replica elsewhere once that has everything",
    "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.view.evacuated = {"a", "c"};
    it.run(milliseconds(100));
    CHECK(it.view.record.phase == primary_phase::suspended);
    CHECK(it.view.record.planned);
    it.statuses["b"].received = {1, 100};
    it.run(seconds(2));
    CHECK(it.view.record.instance == "b");
    CHECK(it.view.record.phase == primary_phase::serving);
    CHECK(it.promoted == std::vector<std::string>{"b"});
}

TEST_CASE("a replica in an evacuated domain is not promoted when the primary is lost", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.view.evacuated = {"c"};
    it.lose_primary();
    SECTION("while there is another")
    {
        it.run(seconds(4));
        CHECK(it.promoted == std::vector<std::string>{"b"});
    }
    SECTION("when it is the only one left, until the order is withdrawn")
    {
        it.up["b"] = false;
        it.run(seconds(20));
        CHECK(it.promoted.empty());
        CHECK(it.blocked_reports == 1);
        it.view.evacuated.clear();
        handle_entry_report(it.state, it.view.record, "a", true, std::nullopt, it.now);
        it.run(seconds(8));
        CHECK(it.view.record.instance == "c");
    }
}

TEST_CASE("an evacuated primary without a replica elsewhere keeps its record and is reported once",
          "[primary]")
{
    service_fixture it;
    it.run(seconds(6));
    const auto record = it.view.record;
    it.view.evacuated = {"a", "b", "c"};
    it.run(seconds(10));
    CHECK(it.view.record == record);
    CHECK(it.promoted.empty());
    CHECK(it.blocked_reports == 1);
    it.view.evacuated = {"a"};
    it.run(seconds(4));
    CHECK(it.view.record.instance == "c");
    CHECK(it.view.record.phase == primary_phase::serving);
}

TEST_CASE("an evacuated primary that is being replaced is not chosen again", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.view.evacuated = {"a"};
    it.entries_settled = false;
    it.run(milliseconds(100));
    REQUIRE(it.view.record.phase == primary_phase::suspended);
    it.entries_settled = true;
    it.up["b"] = false;
    it.up["c"] = false;
    it.rejected = {"b", "c"};
    it.run(seconds(12));
    CHECK(it.view.record.phase != primary_phase::serving);
    CHECK(std::find(it.promoted.begin(), it.promoted.end(), "a") == it.promoted.end());
    it.view.evacuated.clear();
    it.run(seconds(4));
    CHECK(it.view.record.instance == "a");
}

TEST_CASE("with synchronous replicas a commit that only an evacuated replica holds is not lost",
          "[primary]")
{
    service_fixture it;
    it.view.synchronous_replicas = 1;
    it.run(seconds(3));
    it.view.evacuated = {"a", "c"};
    const bool c_answers = GENERATE(true, false);
    it.up["a"] = false;
    it.up["c"] = c_answers;
    // Instance c has received more than b, the only instance elsewhere.
    it.run(seconds(6));
    CHECK(it.promoted.empty());
    it.up["c"] = true;
    it.statuses["b"].received = it.statuses["c"].received;
    it.run(seconds(4));
    CHECK(it.view.record.instance == "b");
}

TEST_CASE("a planned change out of an evacuated domain continues under a new leader", "[primary]")
{
    service_fixture it;
    it.run(seconds(3));
    it.view.evacuated = {"a"};
    it.entries_settled = false;
    it.run(milliseconds(100));
    REQUIRE(it.view.record.phase == primary_phase::suspended);
    it.state = {};
    it.entries_settled = true;
    it.run(seconds(4));
    CHECK(it.view.record.phase == primary_phase::serving);
    CHECK(it.view.record.instance == "c");
}
