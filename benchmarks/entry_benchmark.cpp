#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QHostAddress>
#include <QTemporaryDir>
#include <QThread>
#include <algorithm>
#include <cstdio>
#include <functional>

#include "databases/pg_connection.h"
#include "rig/client/caller.h"
#include "rig/load/load_connection.h"
#include "rig/site/process_usage.h"
#include "rig/site/site.h"

// Measures the latency that the system adds, the statements per second of one entry, and the memory
// of idle connections. Latencies and throughput are measured `runs` times and printed with median,
// minimum and maximum.

namespace {

using namespace balsamdrift;
using namespace balsamdrift::rig;

constexpr int runs = 3;
constexpr int latency_samples = 1000;
constexpr int warm_up_samples = 100;
constexpr int parallel_connections = 64;
constexpr seconds throughput_duration(4);
constexpr int idle_connections = 4000;
const std::string statement = "SELECT 1";

/// Results of a measurement over several runs.
struct sample_series {
    std::vector<double> values;

    void print(const char* what, const char* unit)
    {
        std::sort(values.begin(), values.end());
        std::printf("  %-46s %10.2f %-6s (%.2f to %.2f over %zu runs)\n", what,
                    values[values.size() / 2], unit, values.front(), values.back(), values.size());
        std::fflush(stdout);
    }
};

double take_median_us(std::vector<double>& samples)
{
    std::sort(samples.begin(), samples.end());
    return samples[samples.size() / 2];
}

/// Median duration of `latency_samples` calls of `operation`, in microseconds, after
/// `warm_up_samples` calls that are not counted.
double measure_latency(const std::function<void()>& operation)
{
    std::vector<double> samples;
    for (int n = 0; n < latency_samples + warm_up_samples; ++n) {
        const time_point started_at = monotonic_clock::now();
        operation();
        const std::chrono::duration<double, std::micro> elapsed_us =
            monotonic_clock::now() - started_at;
        if (n >= warm_up_samples) {
            samples.push_back(elapsed_us.count());
        }
    }
    return take_median_us(samples);
}

/// Median latency of a statement that is sent directly to an instance, in microseconds. Uses the
/// same libpq connection class as the system.
double direct_latency(const std::string& address)
{
    auto point = parse_endpoint(address);
    pg_connection connection({.address = value_of(point)});
    QEventLoop loop;
    connection.open([&](bool, const std::string&) { loop.quit(); }, [] {});
    loop.exec();
    return measure_latency([&] {
        connection.run({{statement, {}}}, [&](const batch_outcome&) { loop.quit(); });
        loop.exec();
    });
}

/// Median latency of a read through an entry, in microseconds.
double entry_latency(const std::string& address, const std::string& key)
{
    caller client(address, key);
    return measure_latency([&] { (void)client.read("registry", statement); });
}

/// Median latency of a write through an entry, in microseconds. Includes the 1 ms until a replica
/// has received the commit, if the group waits for a replica.
double write_latency(const std::string& address, const std::string& key, bool with_idempotency_key)
{
    caller client(address, key);
    (void)client.statement("registry", "CREATE TABLE IF NOT EXISTS bench (n bigint)");
    static int next_key = 0;
    return measure_latency([&] {
        statement_options options;
        if (with_idempotency_key) {
            options.idempotency_key = "bench-" + std::to_string(next_key++);
        }
        (void)client.statement("registry", "INSERT INTO bench VALUES (1)", nlohmann::json::array(),
                               options);
    });
}

/// Sets when writes are acknowledged: `primary` once the primary has committed them, `replicated`
/// once a replica has received them as well.
void set_acknowledgement(site& target, const std::string& ack)
{
    (void)target.run_balsamctl(
        {"group", "put", "registry", "--connections=120", "--slots=16", "--ack=" + ack});
    QThread::msleep(500);
}

/// Throughput of an entry under a closed loop of connections.
struct throughput {
    /// Statements per second.
    double per_second = 0;
    /// Processor time of the entry per statement, in microseconds.
    double cpu_us = 0;
};

throughput measure_throughput(const std::string& address, const std::string& key, qint64 pid)
{
    const std::string body = R"({"sql":"SELECT 1","access":"read"})";
    const std::string request = "POST /v1/databases/registry/statements HTTP/1.1\r\nHost: b\r\n"
                                "Authorization: Bearer " +
                                key + "\r\nContent-Length: " + std::to_string(body.size()) +
                                "\r\n\r\n" + body;
    auto point = parse_endpoint(address);
    std::vector<std::unique_ptr<load_connection>> connections;
    std::size_t answered = 0;
    bool stopping = false;
    std::function<void(load_connection*)> send_next = [&](load_connection* it) {
        it->send(request, [&, it](const load_answer& answer) {
            answered += answer.status == 200 ? 1 : 0;
            if (!stopping) {
                QMetaObject::invokeMethod(
                    it, [&send_next, it] { send_next(it); }, Qt::QueuedConnection);
            }
        });
    };
    for (int n = 0; n < parallel_connections; ++n) {
        connections.push_back(std::make_unique<load_connection>(value_of(point)));
        send_next(connections.back().get());
    }
    const double cpu_before = cpu_seconds(pid);
    QElapsedTimer clock;
    clock.start();
    while (clock.elapsed() < to_milliseconds(throughput_duration).count()) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 10);
    }
    const double elapsed = static_cast<double>(clock.elapsed()) / 1000;
    const double cpu_time = cpu_seconds(pid) - cpu_before;
    const auto count = static_cast<double>(answered);
    stopping = true;
    while (std::any_of(connections.begin(), connections.end(),
                       [](const auto& it) { return it->is_waiting(); })) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 10);
    }
    return {count / elapsed, cpu_time / count * 1e6};
}

/// Resident memory in bytes that an idle caller connection adds to the process of an entry.
double measure_idle_bytes(const std::string& address, qint64 pid)
{
    auto point = parse_endpoint(address);
    std::vector<std::unique_ptr<QTcpSocket>> sockets;
    const double before = resident_bytes(pid);
    for (int n = 0; n < idle_connections; ++n) {
        auto socket = std::make_unique<QTcpSocket>();
        socket->connectToHost(QHostAddress(QString::fromStdString(value_of(point).address)),
                              value_of(point).port);
        socket->waitForConnected(2000);
        sockets.push_back(std::move(socket));
    }
    QThread::msleep(500);
    return (resident_bytes(pid) - before) / idle_connections;
}

site_options benchmark_site_options(const std::string& folder, int entries)
{
    return {.folder = folder,
            .binaries = QCoreApplication::applicationDirPath().toStdString(),
            .entries = entries,
            .slots = 16,
            .connections = 120,
            .service_time = milliseconds(0),
            .caller_threads = 1,
            .database_threads = 1};
}

/// Runs all measurements on a site with this many entries, through an entry that does not own the
/// group if there is one. False if the site failed to start or to stop.
bool run(int entries)
{
    QTemporaryDir folder;
    site target(benchmark_site_options(folder.path().toStdString(), entries));
    if (!succeeded(target.start())) {
        return false;
    }
    auto key = target.create_customer("bench", 900'000, 900'000);
    if (!succeeded(key) || !target.wait_until_ready(seconds(20))) {
        return false;
    }
    std::string entry = target.entry_names().front();
    const auto status = target.run_balsamctl({"status"});
    const std::string owner = status.body["groups"][0].value("owner", "");
    for (const std::string& it : target.entry_names()) {
        if (it != owner) {
            entry = it;
        }
    }
    const std::string address = target.address_of(entry, "callers");
    const qint64 pid = target.process_id(entry);
    std::printf("%d entries, statements through %s, group owned by %s\n", entries, entry.c_str(),
                owner.c_str());
    sample_series direct;
    sample_series via_entry;
    sample_series added_by_entry;
    sample_series throughput_series;
    sample_series cpu_time;
    for (int n = 0; n < runs; ++n) {
        direct.values.push_back(direct_latency(target.address_of("registry-2", "sql")));
        via_entry.values.push_back(entry_latency(address, value_of(key)));
        added_by_entry.values.push_back(via_entry.values.back() - direct.values.back());
        const throughput it = measure_throughput(address, value_of(key), pid);
        throughput_series.values.push_back(it.per_second);
        cpu_time.values.push_back(it.cpu_us);
    }
    sample_series acknowledged_by_replica;
    sample_series acknowledged_with_key;
    sample_series acknowledged_by_primary;
    for (int n = 0; n < runs; ++n) {
        acknowledged_by_replica.values.push_back(write_latency(address, value_of(key), false));
        acknowledged_with_key.values.push_back(write_latency(address, value_of(key), true));
        set_acknowledgement(target, "primary");
        acknowledged_by_primary.values.push_back(write_latency(address, value_of(key), false));
        set_acknowledgement(target, "replicated");
    }
    direct.print("p50 of a read at the instance", "us");
    via_entry.print("p50 of a read through the entry", "us");
    added_by_entry.print("added by the system", "us");
    throughput_series.print("statements a second, 64 connections", "1/s");
    cpu_time.print("processor time of the entry a statement", "us");
    acknowledged_by_primary.print("p50 of a write, acknowledged at the primary", "us");
    acknowledged_by_replica.print("p50 of a write, acknowledged by a replica", "us");
    acknowledged_with_key.print("the same with an Idempotency-Key", "us");
    sample_series idle;
    idle.values.push_back(measure_idle_bytes(address, pid));
    idle.print("memory of an idle caller connection", "bytes");
    return target.stop();
}

}  // namespace

int main(int argc, char** argv)
{
    QCoreApplication app(argc, argv);
    if (argc > 1) {
        return run(std::stoi(argv[1])) ? 0 : 1;
    }
    const bool single_entry_ok = run(1);
    const bool three_entries_ok = run(3);
    return single_entry_ok && three_entries_ok ? 0 : 1;
}
