#include <gflags/gflags.h>

#include <QCoreApplication>
#include <QDir>
#include <QTemporaryDir>
#include <QThread>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>

#include "rig/client/caller.h"
#include "rig/load/load_report.h"
#include "rig/load/load_runner.h"

DEFINE_string(output, "build/experiments", "folder for the reports in JSON and HTML");
DEFINE_uint64(seed, 0, "seed that replaces the ones of the files");
DEFINE_int32(repeat, 1, "runs of each experiment, with seeds that follow each other");
DEFINE_string(keep, "", "folder that the logs of the site stay in");

namespace {

constexpr unsigned long replication_margin_ms = 300;

using namespace balsamdrift;
using namespace balsamdrift::rig;

/// Starts the site of an experiment and creates its customers and tables. Returns the keys in
/// the order of the customers.
outcome<std::vector<std::string>> prepare_site(const experiment& plan, site& target)
{
    if (auto started = target.start(); !succeeded(started)) {
        return failure_of(started);
    }
    std::vector<std::string> keys;
    for (const load_customer& it : plan.customers) {
        auto key = target.create_customer(it.name, it.rate, it.burst);
        if (!succeeded(key)) {
            return failure_of(key);
        }
        keys.push_back(value_of(key));
    }
    if (!target.wait_until_ready(seconds(20))) {
        return failure{"the site did not become ready within 20 s"};
    }
    caller setup(target.address_of(target.entry_names().front(), "callers"), keys.front());
    for (const std::string& group : plan.site.groups) {
        if (setup.statement(group, "CREATE TABLE load_rows (id text)").status != 200) {
            return failure{"the table of group " + group + " could not be created"};
        }
    }
    // Sessions that have not written yet may read at any replica, so wait until the tables exist
    // there.
    QThread::msleep(static_cast<unsigned long>(
        to_milliseconds(plan.site.apply_lag + plan.site.ship_delay).count() +
        replication_margin_ms));
    return keys;
}

/// Measures of the runs of an experiment.
using run_series = std::vector<load_measures>;

/// Runs an experiment once. False if it missed a bound or could not start.
bool run(experiment plan, run_series& series)
{
    QTemporaryDir folder;
    plan.site.folder = FLAGS_keep.empty() ? folder.path().toStdString() : FLAGS_keep;
    plan.site.binaries = QCoreApplication::applicationDirPath().toStdString();
    site target(plan.site);
    auto keys = prepare_site(plan, target);
    if (!succeeded(keys)) {
        std::printf("experiment %s did not start: %s\n", plan.name.c_str(),
                    failure_of(keys).message.c_str());
        return false;
    }
    load_runner runner(plan, target, value_of(keys));
    const load_result result = runner.run();
    const load_measures measures = compute_measures(plan, result);
    std::printf("%s\n", format_table(plan, measures).c_str());
    std::fflush(stdout);
    std::ofstream(FLAGS_output + "/" + plan.name + ".json") << to_json(plan, measures).dump(2);
    std::ofstream(FLAGS_output + "/" + plan.name + ".html") << format_html(plan, result, measures);
    series.push_back(measures);
    return measures.missed_bounds.empty();
}

/// Prints median, minimum and maximum of a measure over a series of runs.
void print_spread(const char* what, const run_series& series,
                  const std::function<double(const load_measures&)>& value)
{
    std::vector<double> values;
    values.reserve(series.size());
    for (const load_measures& it : series) {
        values.push_back(value(it));
    }
    std::sort(values.begin(), values.end());
    std::printf("  %-34s median %10.3f   from %10.3f to %10.3f\n", what, values[values.size() / 2],
                values.front(), values.back());
}

/// Runs an experiment --repeat times. False if any run missed a bound or did not start.
bool run_all(experiment plan)
{
    run_series series;
    bool passed = true;
    for (int n = 0; n < FLAGS_repeat; ++n) {
        passed = run(plan, series) && passed;
        ++plan.seed;
    }
    if (series.size() > 1) {
        std::printf("%s over %zu runs\n", plan.name.c_str(), series.size());
        print_spread("gap for writes, ms", series, [](const auto& it) { return it.write_gap_ms; });
        print_spread("gap for reads, ms", series, [](const auto& it) { return it.read_gap_ms; });
        print_spread("reads on replicas, %", series,
                     [](const auto& it) { return it.replica_share * 100; });
        print_spread("worst served, %", series,
                     [](const auto& it) { return it.worst_served_share * 100; });
        print_spread("worst p99, ms", series, [](const auto& it) { return it.worst_p99_ms; });
        print_spread("refused within the rate, %", series,
                     [](const auto& it) { return it.refused_in_rate * 100; });
        std::fflush(stdout);
    }
    return passed;
}

}  // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("load FILE...\n\nRuns the experiments that the files describe. Exit "
                            "codes: 0 all bounds held, 1 one was missed, 64 wrong command line, 78 "
                            "a file has mistakes.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2) {
        std::fprintf(stderr, "usage: load FILE...\n");
        return 64;
    }
    QCoreApplication app(argc, argv);
    QDir().mkpath(QString::fromStdString(FLAGS_output));
    bool passed = true;
    for (int n = 1; n < argc; ++n) {
        auto plan = read_experiment(argv[n]);
        if (const auto* problems = std::get_if<std::vector<std::string>>(&plan)) {
            for (const std::string& it : *problems) {
                std::fprintf(stderr, "%s\n", it.c_str());
            }
            return 78;
        }
        auto& valid = std::get<experiment>(plan);
        if (FLAGS_seed != 0) {
            valid.seed = FLAGS_seed;
        }
        passed = run_all(valid) && passed;
    }
    return passed ? 0 : 1;
}
