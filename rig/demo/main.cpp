#include <signal.h>

#include <QCoreApplication>
#include <QTemporaryDir>
#include <cstdio>

#include "rig/client/caller.h"
#include "rig/client/wait.h"
#include "rig/site/site.h"

// Starts a site on the loopback interface, shows its main features step by step, and stops it.
// With any argument the folder with the logs is kept.

namespace {

using namespace balsamdrift;
using namespace balsamdrift::rig;

/// Prints the result of each step and records whether any step failed.
class step_list {
public:
    void check(bool passed, const std::string& description)
    {
        std::printf("%s  %s\n", passed ? "ok  " : "FAIL", description.c_str());
        std::fflush(stdout);
        failed_ = failed_ || !passed;
    }
    bool failed() const { return failed_; }

private:
    bool failed_ = false;
};

std::string first_cell(const caller_answer& answer)
{
    if (answer.status != 200) {
        return "status " + std::to_string(answer.status) + " " + answer.body.dump();
    }
    const auto& rows = answer.body["result"]["rows"];
    return rows.empty() ? "no row" : rows[0][0].dump();
}

void run_demo(site& site, step_list& steps)
{
    const auto started = site.start();
    steps.check(succeeded(started), "3 control members, 3 entries and 3 database instances run");
    if (!succeeded(started)) {
        std::printf("      %s\n", failure_of(started).message.c_str());
        return;
    }
    auto key = site.create_customer("agence", 500, 500);
    steps.check(succeeded(key),
                "balsamctl created group 'registry', customer 'agence' and its key");
    steps.check(site.wait_until_ready(seconds(15)),
                "every entry is ready and the primary accepts writes");
    if (steps.failed()) {
        return;
    }
    const auto entries = site.entry_names();
    const auto callers_address = [&](int n) { return site.address_of(entries[n], "callers"); };
    caller client(callers_address(0), value_of(key));
    const auto created = client.statement(
        "registry", "CREATE TABLE bump_tests (detector text PRIMARY KEY, result text)");
    steps.check(created.status == 200, "a table was created through " + entries[0]);
    const auto inserted = client.statement("registry", "INSERT INTO bump_tests VALUES ($1, $2)",
                                           {"GD-1047", "passed"}, {.idempotency_key = "bump-1047"});
    steps.check(inserted.status == 200, "a test record was written through " + entries[0]);
    client.set_address(callers_address(1));
    const std::string query = "SELECT result FROM bump_tests WHERE detector = $1";
    const auto read = client.read("registry", query, {"GD-1047"});
    steps.check(first_cell(read) == "\"passed\"", "the same session reads it immediately through " +
                                                      entries[1] + ": " + first_cell(read));
    const auto resent = client.statement("registry", "INSERT INTO bump_tests VALUES ($1, $2)",
                                         {"GD-1047", "passed"}, {.idempotency_key = "bump-1047"});
    steps.check(resent.status == 200, "the record was sent again through " + entries[1] +
                                          ", ran only once and got its first answer");

    const std::string primary = site.primary_of("registry");
    site.signal(primary, SIGKILL);
    client.set_address(callers_address(2));
    const auto write_gap = wait_until(
        [&] {
            return client
                       .statement("registry",
                                  "UPDATE bump_tests SET result = $1 WHERE detector = $2",
                                  {"passed again", "GD-1047"},
                                  {.access = "idempotent", .timeout = seconds(2)})
                       .status == 200;
        },
        milliseconds(15'000));
    steps.check(write_gap.has_value(), "the primary " + primary +
                                           " was killed; writes succeeded again after " +
                                           (write_gap ? std::to_string(write_gap->count()) : "?") +
                                           " ms on " + site.primary_of("registry"));
    const auto read_after_failover = client.read("registry", query, {"GD-1047"});
    steps.check(first_cell(read_after_failover) == "\"passed again\"",
                "the session reads its write after the failover: " +
                    first_cell(read_after_failover));

    const auto withdrawn = site.run_balsamctl({"key", "withdraw", "agence-key"});
    const auto refused_after =
        wait_until([&] { return client.read("registry", query, {"GD-1047"}).status == 401; },
                   milliseconds(5'000));
    steps.check(withdrawn.exit_code == 0 && refused_after.has_value(),
                "the withdrawn key is refused on the open connection after " +
                    (refused_after ? std::to_string(refused_after->count()) : "?") + " ms");

    const std::string domain = "lorient-ouest";
    const auto evacuated = site.run_balsamctl({"domain", "evacuate", domain});
    const auto status = site.run_balsamctl({"status"});
    const auto restored = site.run_balsamctl({"domain", "restore", domain});
    steps.check(evacuated.exit_code == 0 &&
                    status.body["evacuated_domains"] == nlohmann::json::array({domain}) &&
                    restored.exit_code == 0,
                "balsamctl ordered the evacuation of " + domain +
                    ", status listed it, and the order was withdrawn");
    const auto timeline = site.run_balsamctl({"timeline"});
    steps.check(timeline.exit_code == 0 && timeline.body.is_array() && timeline.body.size() > 10,
                "balsamctl timeline merged " + std::to_string(timeline.body.size()) +
                    " events of all processes");
    steps.check(site.stop(), "all processes stopped gracefully with exit code 0");
}

}  // namespace

int main(int argc, char** argv)
{
    QCoreApplication app(argc, argv);
    QTemporaryDir folder;
    folder.setAutoRemove(argc < 2);
    site site({.folder = folder.path().toStdString(),
               .binaries = QCoreApplication::applicationDirPath().toStdString()});
    step_list steps;
    run_demo(site, steps);
    if (argc >= 2) {
        std::printf("logs are kept in %s\n", folder.path().toStdString().c_str());
    }
    std::printf("%s\n", steps.failed() ? "the demo failed" : "all steps of the demo succeeded");
    return steps.failed() ? 1 : 0;
}
