#include <signal.h>

#include <QCoreApplication>
#include <QTemporaryDir>
#include <cstdio>

#include "rig/client/caller.h"
#include "rig/client/wait.h"
#include "rig/site/site.h"

// Starts a whole site on loopback, shows what it does step by step, and stops it.

namespace {

using namespace balsamdrift;
using namespace balsamdrift::rig;

/// Prints one step; remembers whether all did what they say.
class step_list {
public:
    void check(bool good, const std::string& what)
    {
        std::printf("%s  %s\n", good ? "ok  " : "FAIL", what.c_str());
        std::fflush(stdout);
        failed_ = failed_ || !good;
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
    steps.check(succeeded(key), "balsamctl made group 'registry', customer 'agence' and its key");
    steps.check(site.wait_until_ready(seconds(15)),
                "every entry is ready, the primary takes writes");
    if (steps.failed()) {
        return;
    }
    const auto entries = site.entry_names();
    const auto callers_of = [&](int n) { return site.address_of(entries[n], "callers"); };
    caller technician(callers_of(0), value_of(key));
    const auto made = technician.statement(
        "registry", "CREATE TABLE bump_tests (detector text PRIMARY KEY, result text)");
    steps.check(made.status == 200, "a table was made through " + entries[0]);
    const auto written =
        technician.statement("registry", "INSERT INTO bump_tests VALUES ($1, $2)",
                             {"GD-1047", "passed"}, {.idempotency_key = "bump-1047"});
    steps.check(written.status == 200, "a test record was written through " + entries[0]);
    technician.set_address(callers_of(1));
    const std::string query = "SELECT result FROM bump_tests WHERE detector = $1";
    const auto read = technician.read("registry", query, {"GD-1047"});
    steps.check(first_cell(read) == "\"passed\"",
                "the same session reads it back at once through " + entries[1] + ": " +
                    first_cell(read));
    const auto again =
        technician.statement("registry", "INSERT INTO bump_tests VALUES ($1, $2)",
                             {"GD-1047", "passed"}, {.idempotency_key = "bump-1047"});
    steps.check(again.status == 200, "the record sent again through " + entries[1] +
                                         " ran once and got its first answer");

    const std::string primary = site.primary_of("registry");
    site.signal(primary, SIGKILL);
    technician.set_address(callers_of(2));
    const auto gap = wait_until(
        [&] {
            return technician
                       .statement("registry",
                                  "UPDATE bump_tests SET result = $1 WHERE detector = $2",
                                  {"passed again", "GD-1047"},
                                  {.access = "idempotent", .timeout = seconds(2)})
                       .status == 200;
        },
        milliseconds(15'000));
    steps.check(gap.has_value(), "the primary " + primary + " was killed; writes went on after " +
                                     (gap ? std::to_string(gap->count()) : "?") + " ms on " +
                                     site.primary_of("registry"));
    const auto after = technician.read("registry", query, {"GD-1047"});
    steps.check(first_cell(after) == "\"passed again\"",
                "the session reads its write after the failover: " + first_cell(after));

    const auto withdrawn = site.run_balsamctl({"key", "withdraw", "agence-key"});
    const auto refused =
        wait_until([&] { return technician.read("registry", query, {"GD-1047"}).status == 401; },
                   milliseconds(5'000));
    steps.check(withdrawn.exit_code == 0 && refused.has_value(),
                "the withdrawn key is refused on the open connection after " +
                    (refused ? std::to_string(refused->count()) : "?") + " ms");
    const auto timeline = site.run_balsamctl({"timeline"});
    steps.check(timeline.exit_code == 0 && timeline.body.is_array() && timeline.body.size() > 10,
                "balsamctl timeline merged " + std::to_string(timeline.body.size()) +
                    " events of all processes");
    steps.check(site.stop(), "all processes stopped gracefully");
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
    std::printf("%s\n", steps.failed() ? "the demo failed" : "the demo did everything it says");
    return steps.failed() ? 1 : 0;
}
