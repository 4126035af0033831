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

// Latency that the system adds, statements a second of one entry, and memory of idle connections.
// Every figure is taken `runs` times and shown with its spread.

namespace {

using namespace balsamdrift;
using namespace balsamdrift::rig;

constexpr int runs = 3;
constexpr int latency_samples = 1000;
constexpr int warm_up_samples = 100;
constexpr int parallel_connections = 64;
constexpr seconds throughput_span(4);
constexpr int idle_connections = 4000;
const std::string statement = "SELECT 1";

/// Figures of several runs.
struct spread {
    std::vector<double> values;

    void print(const char* what, const char* unit)
    {
        std::sort(values.begin(), values.end());
        std::printf("  %-46s %10.2f %-6s (%.2f to %.2f over %zu runs)\n", what,
                    values[values.size() / 2], unit, values.front(), values.back(), values.size());
        std::fflush(stdout);
    }
};

double median_us(std::vector<double>& samples)
{
    std::sort(samples.begin(), samples.end());
    return samples[samples.size() / 2];
}

/// Median of `latency_samples` calls of `once`, in microseconds.
double measure_latency(const std::function<void()>& once)
{
    std::vector<double> samples;
    for (int n = 0; n < latency_samples + warm_up_samples; ++n) {
        const time_point began = monotonic_clock::now();
        once();
        const std::chrono::duration<double, std::micro> took = monotonic_clock::now() - began;
        if (n >= warm_up_samples) {
            samples.push_back(took.count());
        }
    }
    return median_us(samples);
}

/// One statement straight at an instance, through libpq as the system uses it.
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

double entry_latency(const std::string& address, const std::string& key)
{
    caller who(address, key);
    return measure_latency([&] { (void)who.read("registry", statement); });
}

/// Median of a write, in microseconds. Instances ship a commit after 1 ms.
double write_latency(const std::string& address, const std::string& key, bool with_claim)
{
    caller who(address, key);
    (void)who.statement("registry", "CREATE TABLE IF NOT EXISTS bench (n bigint)");
    static int next = 0;
    return measure_latency([&] {
        statement_options options;
        if (with_claim) {
            options.idempotency_key = "bench-" + std::to_string(next++);
        }
        (void)who.statement("registry", "INSERT INTO bench VALUES (1)", nlohmann::json::array(),
                            options);
    });
}

/// Sets when writes of the group are acknowledged.
void set_acknowledgement(site& target, const std::string& ack)
{
    (void)target.run_balsamctl(
        {"group", "put", "registry", "--connections=120", "--slots=16", "--ack=" + ack});
    QThread::msleep(500);
}

/// What a closed loop of connections got from one entry.
struct throughput {
    double per_second = 0;
    double processor_us = 0;
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
    std::function<void(load_connection*)> next = [&](load_connection* it) {
        it->send(request, [&, it](const load_answer& answer) {
            answered += answer.status == 200 ? 1 : 0;
            if (!stopping) {
                QMetaObject::invokeMethod(
                    it, [&next, it] { next(it); }, Qt::QueuedConnection);
            }
        });
    };
    for (int n = 0; n < parallel_connections; ++n) {
        connections.push_back(std::make_unique<load_connection>(value_of(point)));
        next(connections.back().get());
    }
    const double processor_before = cpu_seconds(pid);
    QElapsedTimer clock;
    clock.start();
    while (clock.elapsed() < to_milliseconds(throughput_span).count()) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 10);
    }
    const double elapsed = static_cast<double>(clock.elapsed()) / 1000;
    const double processor = cpu_seconds(pid) - processor_before;
    const auto count = static_cast<double>(answered);
    stopping = true;
    while (std::any_of(connections.begin(), connections.end(),
                       [](const auto& it) { return it->is_waiting(); })) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 10);
    }
    return {count / elapsed, processor / count * 1e6};
}

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

site_options bench_site(const std::string& folder, int entries)
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

/// Runs all measures on a site of this many entries, at an entry beside the group's owner if there
/// is one.
bool run(int entries)
{
    QTemporaryDir folder;
    site target(bench_site(folder.path().toStdString(), entries));
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
    spread direct;
    spread through;
    spread added;
    spread rate;
    spread processor;
    for (int n = 0; n < runs; ++n) {
        direct.values.push_back(direct_latency(target.address_of("registry-2", "sql")));
        through.values.push_back(entry_latency(address, value_of(key)));
        added.values.push_back(through.values.back() - direct.values.back());
        const throughput it = measure_throughput(address, value_of(key), pid);
        rate.values.push_back(it.per_second);
        processor.values.push_back(it.processor_us);
    }
    spread replicated;
    spread claimed;
    spread at_primary;
    for (int n = 0; n < runs; ++n) {
        replicated.values.push_back(write_latency(address, value_of(key), false));
        claimed.values.push_back(write_latency(address, value_of(key), true));
        set_acknowledgement(target, "primary");
        at_primary.values.push_back(write_latency(address, value_of(key), false));
        set_acknowledgement(target, "replicated");
    }
    direct.print("p50 of a read at the instance", "us");
    through.print("p50 of a read through the entry", "us");
    added.print("added by the system", "us");
    rate.print("statements a second, 64 connections", "1/s");
    processor.print("processor time of the entry a statement", "us");
    at_primary.print("p50 of a write, acknowledged at the primary", "us");
    replicated.print("p50 of a write, acknowledged by a replica", "us");
    claimed.print("the same with an Idempotency-Key", "us");
    spread idle;
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
    const bool alone = run(1);
    const bool together = run(3);
    return alone && together ? 0 : 1;
}
