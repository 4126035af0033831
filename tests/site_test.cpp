#include <atomic>
#include <filesystem>
#include <thread>

#include "tests/site_fixture.h"

// Each test case starts a site of real processes, injects a fault and checks that callers are
// served as promised. The time bounds are the documented targets of the system.

using namespace balsamdrift;
using namespace balsamdrift::test;

namespace {

const std::string create_table = "CREATE TABLE t (id text PRIMARY KEY, v text)";
const std::string insert_row = "INSERT INTO t VALUES ($1, $2)";
const std::string count_rows = "SELECT count(*) FROM t WHERE id LIKE $1";
constexpr milliseconds failover_bound(5000);
/// Until all entries apply a change of the configuration, or notice that control is unreachable.
constexpr milliseconds propagation_bound(5000);

statement_options with_idempotency_key(const std::string& key, duration timeout = seconds(5))
{
    return {.idempotency_key = key, .timeout = timeout};
}

/// Number of rows whose id matches the pattern, as the caller's session reads it; -1 on failure.
int count_rows_like(caller& client, const std::string& pattern)
{
    const auto answer = client.read("registry", count_rows, {pattern});
    return answer.status == 200 ? answer.body["result"]["rows"][0][0].get<int>() : -1;
}

}  // namespace

TEST_CASE("a session reads its own writes through any entry", "[site]")
{
    site_fixture fixture;
    caller client = fixture.caller_at(0);
    REQUIRE(client.statement("registry", create_table).status == 200);
    int from_replicas = 0;
    for (int n = 0; n < 60; ++n) {
        const std::string id = std::to_string(n);
        client.set_address(fixture.callers_address(static_cast<std::size_t>(n) % 3));
        REQUIRE(client.statement("registry", insert_row, {id, "v" + id}).status == 200);
        client.set_address(fixture.callers_address(static_cast<std::size_t>(n + 1) % 3));
        QThread::msleep(static_cast<unsigned long>(n % 4) * 20);
        const auto answer = client.read("registry", "SELECT v FROM t WHERE id = $1", {id});
        CHECK(first_cell(answer) == "v" + id);
        from_replicas += answer.body.value("replica", false) ? 1 : 0;
    }
    CHECK(from_replicas > 0);
    CHECK(fixture.site().stop());
}

TEST_CASE("invalid requests get a specific error and no data is lost", "[site]")
{
    site_fixture fixture;
    caller client = fixture.caller_at(0);
    REQUIRE(client.statement("registry", create_table).status == 200);
    const auto syntax_error = client.statement("registry", "SELEKT 1");
    CHECK(syntax_error.status == 422);
    CHECK(syntax_error.body["sqlstate"] == "42601");
    CHECK(syntax_error.body["outcome"] == "not_run");
    REQUIRE(client.statement("registry", insert_row, {"1", "x"}).status == 200);
    CHECK(client.statement("registry", insert_row, {"1", "x"}).body["sqlstate"] == "23505");
    CHECK(client.statement("nowhere", "SELECT 1").status == 403);
    CHECK(client.read("registry", "DELETE FROM t").status == 422);
    CHECK(client.statement("registry", "BEGIN").body["code"] == "transaction_control");
    CHECK(
        client.post("/v1/databases/registry/transactions/none/commit", "", {}, seconds(2)).status ==
        404);
    caller unknown_caller(fixture.callers_address(0), "not a key");
    CHECK(unknown_caller.read("registry", "SELECT 1").status == 401);
    auto other = fixture.site().create_customer("ravel", 1000, 1000);
    caller other_customer(fixture.callers_address(1), value_of(other));
    other_customer.set_session(client.session());
    REQUIRE(wait_until([&] { return other_customer.read("registry", "SELECT 1").status != 401; },
                       propagation_bound));
    CHECK(other_customer.read("registry", "SELECT 1").body["code"] == "session_invalid");
    const std::string expected_text(3'000'000, 'z');
    const auto large_result =
        client.read("registry", "SELECT replace(hex(zeroblob(1500000)), '0', 'z')");
    CHECK(first_cell(large_result) == expected_text);
    const std::string text = "é 漢 \u200b end";
    REQUIRE(client.statement("registry", insert_row, {"utf8", text}).status == 200);
    CHECK(first_cell(client.read("registry", "SELECT v FROM t WHERE id = $1", {"utf8"})) == text);
    CHECK(count_rows_like(client, "%") == 2);
}

TEST_CASE("a killed, frozen or cut off primary is replaced and no acknowledged write is lost",
          "[site]")
{
    const std::string fault = GENERATE("kill", "freeze", "cut");
    site_fixture fixture;
    caller client = fixture.caller_at(0);
    REQUIRE(client.statement("registry", create_table).status == 200);
    int acknowledged = 0;
    for (; acknowledged < 30; ++acknowledged) {
        REQUIRE(client.statement("registry", insert_row, {"a" + std::to_string(acknowledged), ""})
                    .status == 200);
    }
    const std::string old_primary = fixture.site().primary_of("registry");
    if (fault == "kill") {
        fixture.site().signal(old_primary, SIGKILL);
    }
    else if (fault == "freeze") {
        fixture.site().signal(old_primary, SIGSTOP);
    }
    else {
        fixture.site().send_fault_command(old_primary, {.cut = true});
    }
    // Reads continue without a failover, since replicas serve them.
    QElapsedTimer clock;
    clock.start();
    CHECK(client
              .statement("registry", "SELECT 1", nlohmann::json::array(),
                         {.access = "read", .timeout = seconds(3)})
              .status == 200);
    CHECK(clock.elapsed() <= 1000);
    int tries = 0;
    const auto gap = wait_until(
        [&] {
            return client
                       .statement("registry", insert_row, {"b" + std::to_string(tries++), ""},
                                  {.timeout = milliseconds(400)})
                       .status == 200;
        },
        milliseconds(15'000));
    REQUIRE(gap);
    INFO(fault << " gap " << gap->count() << " ms");
    CHECK(*gap <= failover_bound);
    CHECK(count_rows_like(client, "a%") == acknowledged);
    // The old primary returns. It must get no writes, since the group has a new primary.
    if (fault == "freeze") {
        fixture.site().signal(old_primary, SIGCONT);
    }
    else if (fault == "cut") {
        fixture.site().send_fault_command(old_primary, {.cut = false});
    }
    for (int n = 0; n < 50; ++n) {
        const auto answer = client.statement("registry", insert_row, {"c" + std::to_string(n), ""});
        CHECK(answer.status == 200);
        CHECK(answer.body.value("served_by", "") != old_primary);
    }
    CHECK(count_rows_like(client, "a%") == acknowledged);
    CHECK(count_rows_like(client, "c%") == 50);
}

TEST_CASE("a withdrawn key is refused on open connections of every entry", "[site]")
{
    site_fixture fixture;
    std::vector<caller> callers;
    for (std::size_t n = 0; n < 3; ++n) {
        callers.push_back(fixture.caller_at(n));
        REQUIRE(callers.back().read("registry", "SELECT 1").status == 200);
    }
    REQUIRE(fixture.site().run_balsamctl({"key", "withdraw", "agence-key"}).exit_code == 0);
    for (caller& client : callers) {
        CHECK(wait_until([&] { return client.read("registry", "SELECT 1").status == 401; },
                         propagation_bound));
    }
}

TEST_CASE("entries cut off from control refuse requests and report that they are not ready",
          "[site]")
{
    site_fixture fixture;
    caller client = fixture.caller_at(1);
    REQUIRE(client.read("registry", "SELECT 1").status == 200);
    for (const char* name : {"control-1", "control-2", "control-3"}) {
        fixture.site().signal(name, SIGSTOP);
    }
    CHECK(wait_until(
        [&] { return client.read("registry", "SELECT 1").body.value("code", "") == "not_ready"; },
        propagation_bound));
    CHECK(client.get("/readyz").status == 503);
    CHECK(client.get("/livez").status == 200);
    CHECK(client.read("registry", "SELECT 1").retry_after_seconds > 0);
    for (const char* name : {"control-1", "control-2", "control-3"}) {
        fixture.site().signal(name, SIGCONT);
    }
    CHECK(wait_until([&] { return client.read("registry", "SELECT 1").status == 200; },
                     milliseconds(10'000)));
}

TEST_CASE("after the control leader dies changes are accepted again and reads are still served",
          "[site]")
{
    site_fixture fixture;
    const std::string leader = fixture.site().run_balsamctl({"status"}).body["leader"];
    caller client = fixture.caller_at(0);
    fixture.site().signal(leader, SIGKILL);
    const auto gap = wait_until(
        [&] {
            return fixture.site()
                       .run_balsamctl({"customer", "put", "late", "--rate=1", "--timeout_s=1"})
                       .exit_code == 0;
        },
        milliseconds(15'000));
    REQUIRE(gap);
    CHECK(*gap <= failover_bound);
    CHECK(client.read("registry", "SELECT 1").status == 200);
}

TEST_CASE("control survives a member that lost its disk followed by the loss of a second member",
          "[site]")
{
    site_fixture fixture;
    fixture.site().signal("control-1", SIGKILL);
    REQUIRE(fixture.site().wait_for_exit("control-1", seconds(5)));
    std::filesystem::remove_all(fixture.site().data_folder("control-1"));
    REQUIRE(succeeded(fixture.site().restart("control-1")));
    // The member is a voter again once the leader's status lists three members and the member has
    // caught up; the status doesn't show the latter, so the test waits.
    const auto restored = wait_until(
        [&] {
            const auto status = fixture.site().run_balsamctl({"status"});
            return status.body.is_object() && status.body["members"].size() == 3;
        },
        milliseconds(10'000));
    REQUIRE(restored);
    QThread::msleep(1500);
    fixture.site().signal("control-2", SIGKILL);
    REQUIRE(wait_until(
        [&] {
            return fixture.site()
                       .run_balsamctl({"customer", "put", "late", "--rate=1", "--timeout_s=1"})
                       .exit_code == 0;
        },
        milliseconds(10'000)));
    const auto configuration = fixture.site().run_balsamctl({"configuration"});
    CHECK(configuration.body["customers"].size() == 2);
    CHECK(fixture.caller_at(0).read("registry", "SELECT 1").status == 200);
}

TEST_CASE("of two conflicting changes one is accepted and a resent change gets its first answer",
          "[site]")
{
    site_fixture fixture;
    REQUIRE(fixture.site().run_balsamctl({"customer", "put", "raced", "--rate=1"}).exit_code == 0);
    const auto first = fixture.site().run_balsamctl({"customer", "put", "raced", "--rate=2",
                                                     "--expected_version=1", "--change_id=x",
                                                     "--operator_name=ann"});
    const auto second = fixture.site().run_balsamctl({"customer", "put", "raced", "--rate=3",
                                                      "--expected_version=1", "--change_id=x",
                                                      "--operator_name=bob"});
    CHECK(first.exit_code == 0);
    CHECK(second.exit_code == 1);
    const auto resent = fixture.site().run_balsamctl({"customer", "put", "raced", "--rate=2",
                                                      "--expected_version=1", "--change_id=x",
                                                      "--operator_name=ann"});
    CHECK(resent.exit_code == 0);
    CHECK(resent.body == first.body);
    CHECK(fixture.site().run_balsamctl({"nonsense"}).exit_code == 64);
}

TEST_CASE(
    "an operator's evacuation is listed until it is withdrawn, and an unknown domain is refused",
    "[site]")
{
    site_fixture fixture;
    auto& site = fixture.site();
    const auto evacuated = [&] { return site.run_balsamctl({"status"}).body["evacuated_domains"]; };
    CHECK(site.run_balsamctl({"domain", "evacuate", "nowhere"}).exit_code == 1);
    CHECK(evacuated().empty());
    CHECK(
        site.run_balsamctl({"domain", "evacuate", "brest-port", "--operator_name=ann"}).exit_code ==
        0);
    CHECK(
        site.run_balsamctl({"domain", "evacuate", "brest-port", "--operator_name=bob"}).exit_code ==
        0);
    CHECK(evacuated() == nlohmann::json::array({"brest-port"}));
    CHECK(site.run_balsamctl({"domain", "restore", "brest-port"}).exit_code == 0);
    CHECK(evacuated().empty());
    const auto timeline = site.run_balsamctl({"timeline"}).body;
    for (const char* name : {"domain_evacuated", "domain_restored"}) {
        CHECK(timeline.dump().find(name) != std::string::npos);
    }
}

TEST_CASE("a write with an idempotency key runs at most once when the owner dies", "[site]")
{
    site_fixture fixture;
    caller setup = fixture.caller_at(0);
    REQUIRE(setup.statement("registry", create_table).status == 200);
    const std::string owner = fixture.owner_of();
    const std::size_t other_entry = fixture.non_owner_entry();
    std::atomic<bool> stop = false;
    std::atomic<int> acknowledged = 0;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int worker = 0; worker < 4; ++worker) {
        threads.emplace_back([&, worker] {
            caller client = fixture.caller_at(other_entry);
            for (int n = 0; !stop; ++n) {
                const std::string id = "w" + std::to_string(worker) + "-" + std::to_string(n);
                // The caller retries under the same key until the write is acknowledged.
                while (!stop && client.statement("registry", insert_row, {id, "paid"},
                                                 with_idempotency_key(id, seconds(2)))
                                        .status != 200) {
                    QThread::msleep(20);
                }
                acknowledged += stop ? 0 : 1;
            }
        });
    }
    QThread::msleep(500);
    fixture.site().signal(owner, SIGKILL);
    const int before = acknowledged;
    CHECK(wait_until([&] { return acknowledged > before + 40; }, milliseconds(10'000)));
    stop = true;
    for (std::thread& thread : threads) {
        thread.join();
    }
    // A write that ran twice would have violated the primary key, and its caller would never have
    // got status 200. The reader writes a row first, so that its session must see all earlier
    // acknowledged writes.
    caller reader = fixture.caller_at(other_entry);
    REQUIRE(reader.statement("registry", insert_row, {"z", ""}, with_idempotency_key("z")).status ==
            200);
    CHECK(count_rows_like(reader, "w%") >= acknowledged);
    const auto claims = reader.read("registry", "SELECT count(*) FROM balsamdrift_claims");
    const auto rows = reader.read("registry", "SELECT count(*) FROM t");
    CHECK(first_cell(claims) == first_cell(rows));
}

TEST_CASE("transactions are pinned, isolated, and rolled back when their owner dies", "[site]")
{
    site_fixture fixture;
    const std::size_t other_entry = fixture.non_owner_entry();
    caller client = fixture.caller_at(other_entry);
    REQUIRE(client.statement("registry", create_table).status == 200);
    const std::string transactions_path = "/v1/databases/registry/transactions";
    const auto in_transaction = [&](const std::string& id, const std::string& value) {
        const nlohmann::json body{{"sql", insert_row}, {"params", {value, ""}}};
        return client.post(transactions_path + "/" + id + "/statements", body.dump(), {},
                           seconds(5));
    };
    const std::string committed =
        client.post(transactions_path, "", {}, seconds(5)).body["transaction"];
    REQUIRE(in_transaction(committed, "k1").status == 200);
    CHECK(count_rows_like(client, "k%") == 0);
    CHECK(client.post(transactions_path + "/" + committed + "/commit", "", {}, seconds(5)).status ==
          200);
    CHECK(count_rows_like(client, "k%") == 1);
    const std::string rolled_back =
        client.post(transactions_path, "", {}, seconds(5)).body["transaction"];
    REQUIRE(in_transaction(rolled_back, "d1").status == 200);
    CHECK(client.post(transactions_path + "/" + rolled_back + "/rollback", "", {}, seconds(5))
              .status == 200);
    const std::string failed_transaction =
        client.post(transactions_path, "", {}, seconds(5)).body["transaction"];
    CHECK(in_transaction(failed_transaction, "k1").body["sqlstate"] == "23505");
    const auto refused =
        client.post(transactions_path + "/" + failed_transaction + "/commit", "", {}, seconds(5));
    CHECK(refused.body["code"] == "transaction_failed");
    CHECK(refused.body["outcome"] == "not_run");
    const std::string uncommitted =
        client.post(transactions_path, "", {}, seconds(5)).body["transaction"];
    REQUIRE(in_transaction(uncommitted, "d2").status == 200);
    fixture.site().signal(fixture.owner_of(), SIGKILL);
    const auto answer =
        client.post(transactions_path + "/" + uncommitted + "/commit", "", {}, seconds(8));
    CHECK(answer.status != 200);
    REQUIRE(wait_until(
        [&] {
            return client.statement("registry", insert_row, {"z", ""}).status == 200;
        },
        milliseconds(10'000)));
    CHECK(count_rows_like(client, "d%") == 0);
}

TEST_CASE("an abandoned transaction is rolled back and later statements do not run in it", "[site]")
{
    site_fixture fixture;
    caller client = fixture.caller_at(0);
    REQUIRE(client.statement("registry", create_table).status == 200);
    const std::string transactions_path = "/v1/databases/registry/transactions";
    const std::string id = client.post(transactions_path, "", {}, seconds(5)).body["transaction"];
    const nlohmann::json body{{"sql", insert_row}, {"params", {"left", ""}}};
    REQUIRE(client.post(transactions_path + "/" + id + "/statements", body.dump(), {}, seconds(5))
                .status == 200);
    // The ordinary preset ends a transaction that is idle for 5 s.
    REQUIRE(wait_until(
        [&] {
            return client.statement("registry", insert_row, {"after", ""}).status == 200;
        },
        milliseconds(15'000)));
    CHECK(client.post(transactions_path + "/" + id + "/commit", "", {}, seconds(5)).body["code"] ==
          "unknown_transaction");
    for (int n = 0; n < 20; ++n) {
        CHECK(client.statement("registry", insert_row, {"e" + std::to_string(n), ""}).status ==
              200);
    }
    caller other = fixture.caller_at(1);
    REQUIRE(other.statement("registry", insert_row, {"z", ""}).status == 200);
    CHECK(count_rows_like(other, "e%") == 20);
    CHECK(count_rows_like(other, "left") == 0);
}

TEST_CASE("a transaction whose instance ends between two statements is reported as rolled back",
          "[site]")
{
    const std::string next = GENERATE("commit", "statements");
    site_fixture fixture;
    caller client = fixture.caller_at(0);
    REQUIRE(client.statement("registry", create_table).status == 200);
    const std::string transactions_path = "/v1/databases/registry/transactions";
    const std::string id = client.post(transactions_path, "", {}, seconds(5)).body["transaction"];
    const nlohmann::json body{{"sql", insert_row}, {"params", {"open", ""}}};
    const std::string path = transactions_path + "/" + id;
    REQUIRE(client.post(path + "/statements", body.dump(), {}, seconds(5)).status == 200);
    fixture.site().signal(fixture.site().primary_of("registry"), SIGKILL);
    QThread::msleep(50);
    const auto answer =
        client.post(path + "/" + next, next == "commit" ? "" : body.dump(), {}, seconds(5));
    INFO(next << " " << answer.body.dump());
    const std::string code = answer.body.value("code", "");
    CHECK((code == "transaction_lost" || code == "unknown_transaction"));
    CHECK(answer.body.value("outcome", "") == "not_run");
    for (const std::string& it : fixture.site().entry_names()) {
        CHECK(fixture.site().is_running(it));
    }
    REQUIRE(wait_until(
        [&] {
            return client.statement("registry", insert_row, {"after", ""}).status == 200;
        },
        milliseconds(15'000)));
    CHECK(count_rows_like(client, "open") == 0);
}

TEST_CASE("a customer never gets more than its rate and burst over all entries", "[site]")
{
    site_fixture fixture;
    constexpr double rate = 50;
    constexpr double burst = 20;
    auto key = fixture.site().create_customer("greedy", rate, burst);
    REQUIRE(succeeded(key));
    caller probe(fixture.callers_address(0), value_of(key));
    REQUIRE(wait_until([&] { return probe.read("registry", "SELECT 1").status != 401; },
                       propagation_bound));
    std::atomic<bool> stop = false;
    std::atomic<int> admitted = 0;
    std::atomic<int> refused = 0;
    std::vector<std::thread> threads;
    QElapsedTimer clock;
    clock.start();
    for (std::size_t n = 0; n < 3; ++n) {
        threads.emplace_back([&, n] {
            caller client(fixture.callers_address(n), value_of(key));
            while (!stop) {
                const auto answer = client.read("registry", "SELECT 1");
                admitted += answer.status == 200 ? 1 : 0;
                refused += answer.status == 429 ? 1 : 0;
            }
        });
    }
    QThread::msleep(1500);
    // The limit must hold when an entry dies with its share of the customer's tokens.
    fixture.site().signal("entry-1", SIGKILL);
    QThread::msleep(4000);
    stop = true;
    for (std::thread& thread : threads) {
        thread.join();
    }
    const double elapsed = static_cast<double>(clock.elapsed()) / 1000;
    CHECK(admitted <= rate * elapsed + burst);
    CHECK(refused > 0);
    CHECK(admitted >= rate * 2);
}

TEST_CASE("a graceful stop of the owner or the control leader under load fails no request",
          "[site]")
{
    site_fixture fixture;
    caller setup = fixture.caller_at(0);
    REQUIRE(setup.statement("registry", create_table).status == 200);
    std::atomic<bool> stop = false;
    std::atomic<int> served = 0;
    std::atomic<int> failed_requests = 0;
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < 3; ++n) {
        threads.emplace_back([&, n] {
            std::size_t entry = n;
            caller client = fixture.caller_at(entry);
            for (int k = 0; !stop; ++k) {
                // A caller whose request is refused goes to the next entry, as behind a load
                // balancer.
                const std::string id = std::to_string(n) + "-" + std::to_string(k);
                const auto answer = client.statement("registry", insert_row, {id, ""});
                const bool may_retry_elsewhere = answer.body.is_object() &&
                                                 answer.body.value("outcome", "") == "not_run" &&
                                                 answer.retry_after_seconds > 0;
                served += answer.status == 200 ? 1 : 0;
                failed_requests +=
                    answer.status != 200 && !may_retry_elsewhere && answer.status != 0 ? 1 : 0;
                if (answer.status != 200) {
                    entry = (entry + 1) % 3;
                    client.set_address(fixture.callers_address(entry));
                }
            }
        });
    }
    QThread::msleep(500);
    const std::string owner = fixture.owner_of();
    const std::string leader = fixture.site().run_balsamctl({"status"}).body["leader"];
    for (const std::string& name : {owner, leader}) {
        fixture.site().signal(name, SIGTERM);
        const auto code = fixture.site().wait_for_exit(name, seconds(20));
        REQUIRE(code);
        CHECK(*code == 0);
        QThread::msleep(500);
    }
    const int before = served;
    CHECK(wait_until([&] { return served > before + 20; }, milliseconds(5'000)));
    stop = true;
    for (std::thread& thread : threads) {
        thread.join();
    }
    CHECK(failed_requests == 0);
}

TEST_CASE("a leaving primary is replaced and gets no new statements", "[site]")
{
    site_fixture fixture;
    caller client = fixture.caller_at(0);
    REQUIRE(client.statement("registry", create_table).status == 200);
    const std::string old_primary = fixture.site().primary_of("registry");
    fixture.site().send_fault_command(old_primary, {.leaving = true});
    CHECK(wait_until(
        [&] {
            const auto answer = client.statement("registry", "UPDATE t SET v = '1'");
            return answer.status == 200 && answer.body["served_by"] != old_primary;
        },
        failover_bound));
    for (int n = 0; n < 30; ++n) {
        CHECK(client.read("registry", "SELECT 1").body.value("served_by", "") != old_primary);
    }
}

TEST_CASE("the maintenance preset refuses writes with a retry delay until it is switched back",
          "[site]")
{
    site_fixture fixture;
    caller client = fixture.caller_at(1);
    REQUIRE(client.statement("registry", create_table).status == 200);
    REQUIRE(fixture.site().run_balsamctl({"preset", "set", "maintenance"}).exit_code == 0);
    CHECK(wait_until(
        [&] {
            const auto answer = client.statement("registry", "UPDATE t SET v = '1'");
            return answer.body.value("code", "") == "maintenance" && answer.retry_after_seconds > 0;
        },
        propagation_bound));
    CHECK(client.read("registry", "SELECT 1").status == 200);
    REQUIRE(fixture.site().run_balsamctl({"preset", "set", "ordinary"}).exit_code == 0);
    CHECK(wait_until(
        [&] { return client.statement("registry", "UPDATE t SET v = '1'").status == 200; },
        propagation_bound));
}
