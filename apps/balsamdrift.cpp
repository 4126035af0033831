#include <gflags/gflags.h>

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimer>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "apps/daemon_settings.h"
#include "apps/exit_code.h"
#include "apps/process_limits.h"
#include "apps/stop_signal.h"
#include "base/event_log.h"
#include "base/loop_watch.h"
#include "base/metrics.h"
#include "entry/entry_service.h"
#include "operators/operator_api.h"
#include "platform/platform_api.h"
#include "platform/platform_client.h"

DEFINE_string(settings, "", "settings file in YAML");
DEFINE_string(secrets, "", "folder of the secret files that the settings name");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using namespace balsamdrift;

/// Interval of the periodic work of an entry that owns items, and of the steps of a stop.
constexpr milliseconds tick_interval(10);

/// Longer than it takes to replace a file, also where a machine is busy.
constexpr seconds settings_limit(3);
constexpr milliseconds settings_read_interval(100);

/// Threads that a process starts before it is ready: 10 of nng, those of the servers, one each for
/// the log and the fleet, and some to spare.
constexpr std::size_t start_threads = 16;

/// Interval of the turns by which the delay of the event loop is measured. Delays are found from
/// this much above the reported length on.
constexpr milliseconds watch_interval(100);

/// Interval of the checks for signals if no descriptor announces them. A stop or a reload may take
/// this much longer.
constexpr milliseconds signal_poll_interval(100);

int to_int(exit_code code) { return static_cast<int>(code); }

/// Prints the listening addresses to standard output, where the process that started this one reads
/// them.
void report_ready(const std::string& addresses) { print_line("ready " + addresses); }

/// Ends the start, which failed unless a stop was requested meanwhile.
int fail(const failure& cause, exit_code code = exit_code::unavailable)
{
    if (stop_requested()) {
        log_event(event_id::process_stopped);
        return to_int(exit_code::success);
    }
    log_event(event_id::process_failed, {{"reason", cause.message}});
    std::fprintf(stderr, "balsamdrift: %s\n", cause.message.c_str());
    return to_int(code);
}

/// Reads and checks the settings again and logs the result. The values in use stay as they were
/// read at the start.
void reload(const std::string& file)
{
    const auto settings = read_settings(file, FLAGS_secrets);
    if (const auto* problems = std::get_if<settings_problems>(&settings)) {
        for (const std::string& it : problems->lines) {
            log_event(event_id::settings_refused, {{"problem", it}});
        }
        return;
    }
    log_event(event_id::settings_reloaded);
}

start_retry retry_of(const common_settings& common)
{
    return {.limit = common.start_limit, .cancelled = stop_requested};
}

/// Receives fleet messages no longer than the objects that handle them live, also where a start
/// fails half-way.
class fleet_guard {
public:
    explicit fleet_guard(fleet_node& fleet) : fleet_(fleet) {}
    ~fleet_guard() { fleet_.stop(); }
    fleet_guard(const fleet_guard&) = delete;
    fleet_guard& operator=(const fleet_guard&) = delete;

private:
    fleet_node& fleet_;
};

fleet_options fleet_options_of(const common_settings& common)
{
    return {.listen = common.fleet_listen,
            .advertised = common.fleet_advertised,
            .secret = common.fleet_secret};
}

/// Records a turn of the event loop and reports it if it came late.
void watch_loop(loop_watch& watch)
{
    const auto late = record_turn(watch, {.interval = watch_interval}, monotonic_clock::now(),
                                  process_processor_time());
    if (late) {
        log_event(event_id::event_loop_delayed,
                  {{"delay_ms", milliseconds_text(late->delay)},
                   {"processor_ms", milliseconds_text(late->processor_time)}});
        observe_metric("balsamdrift_event_loop_delay_seconds", {}, late->delay);
    }
}

/// Runs the event loop until `is_stopped` returns true. It is called every `tick_interval` once a
/// stop has been requested, not before. Reads the settings again on request.
void run_events(const std::function<bool()>& is_stopped)
{
    QTimer watch_timer;
    QTimer stop_timer;
    loop_watch watch;
    QObject::connect(&watch_timer, &QTimer::timeout, &watch_timer, [&] { watch_loop(watch); });
    QObject::connect(&stop_timer, &QTimer::timeout, &stop_timer, [&] {
        if (is_stopped()) {
            QCoreApplication::quit();
        }
    });
    const auto check_signals = [&] {
        if (take_reload_request()) {
            reload(FLAGS_settings);
        }
        if (stop_requested() && !stop_timer.isActive()) {
            stop_timer.start(tick_interval);
        }
    };
    const int signal_descriptor = open_signal_notice();
    std::unique_ptr<QSocketNotifier> notifier;
    QTimer poll_timer;
    if (signal_descriptor >= 0) {
        notifier = std::make_unique<QSocketNotifier>(signal_descriptor, QSocketNotifier::Read);
        QObject::connect(notifier.get(), &QSocketNotifier::activated, notifier.get(), [&] {
            clear_signal_notice(signal_descriptor);
            check_signals();
        });
    }
    else {
        QObject::connect(&poll_timer, &QTimer::timeout, &poll_timer, check_signals);
        poll_timer.start(signal_poll_interval);
    }
    // A request may have come before the descriptor was opened.
    check_signals();
    watch_timer.start(watch_interval);
    QCoreApplication::exec();
}

int run_control(const control_settings& settings)
{
    fleet_node fleet(fleet_options_of(settings.common));
    QObject requests_owner;
    failover_requests requests;
    if (settings.coordination) {
        requests = make_failover_requests(&requests_owner, settings.coordination->promotions);
    }
    control_service control(settings.control, fleet, requests);
    const start_retry retry = retry_of(settings.common);
    const fleet_guard stops_before_control(fleet);
    auto started = fleet.start([&](fleet_message it) { control.receive(std::move(it)); }, retry);
    if (!succeeded(started)) {
        return fail(failure_of(started));
    }
    if (auto opened = control.start(); !succeeded(opened)) {
        return fail(failure_of(opened));
    }
    operator_api operator_handler(control, settings.common.operator_token);
    http_server operators(settings.operators,
                          [&](const http_request& request, const http_responder& responder) {
                              operator_handler.handle(request, responder);
                          });
    auto listening = operators.start(retry);
    if (!succeeded(listening)) {
        return fail(failure_of(listening));
    }
    std::unique_ptr<http_server> platform;
    platform_api platform_handler(control);
    if (settings.coordination) {
        platform = std::make_unique<http_server>(
            settings.coordination->platform,
            [&](const http_request& request, const http_responder& responder) {
                platform_handler.handle(request, responder);
            });
        if (auto res = platform->start(retry); !succeeded(res)) {
            return fail(failure_of(res));
        }
    }
    log_event(event_id::process_started, {{"role", "control"}});
    report_ready("operators=" + to_string(value_of(listening)));
    run_events(stop_requested);
    log_event(event_id::process_stopping);
    fleet.stop();
    if (platform) {
        platform->stop();
    }
    operators.stop();
    log_event(event_id::process_stopped);
    return to_int(exit_code::success);
}

/// Stops an entry gracefully: it first reports not ready, then refuses new requests, and is done
/// once it is drained or its time is up.
class entry_shutdown {
public:
    entry_shutdown(entry_service& entry, const entry_settings& settings)
        : entry_(entry), settings_(settings)
    {
    }

    /// Advances the stop, which starts with the first call. Returns whether the process can exit.
    bool advance(time_point now)
    {
        if (!started_at_) {
            started_at_ = now;
            log_event(event_id::process_stopping);
            entry_.begin_drain();
        }
        const duration elapsed = now - *started_at_;
        if (!refusing_ && elapsed >= settings_.drain_notice) {
            refusing_ = true;
            entry_.refuse_new_statements();
        }
        return refusing_ && (entry_.is_drained() || elapsed >= settings_.drain_limit);
    }

private:
    entry_service& entry_;
    const entry_settings& settings_;
    std::optional<time_point> started_at_;
    bool refusing_ = false;
};

int run_entry(const entry_settings& settings)
{
    fleet_node fleet(fleet_options_of(settings.common));
    const start_retry retry = retry_of(settings.common);
    std::unique_ptr<entry_service> entry;
    std::atomic<entry_service*> receiver = nullptr;
    auto listening = fleet.start(
        [&](fleet_message it) {
            if (entry_service* const to = receiver.load()) {
                to->receive(std::move(it));
            }
        },
        retry);
    if (!succeeded(listening)) {
        return fail(failure_of(listening));
    }
    entry = std::make_unique<entry_service>(settings.entry, fleet);
    auto started = entry->start(retry);
    if (!succeeded(started)) {
        return fail(failure_of(started));
    }
    receiver = entry.get();
    log_event(event_id::process_started, {{"role", "entry"}});
    report_ready("callers=" + to_string(value_of(started).callers) +
                 " platform=" + to_string(value_of(started).platform));
    entry_shutdown stop(*entry, settings);
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &timer, [&] { entry->tick(); });
    timer.start(tick_interval);
    run_events([&] { return stop.advance(monotonic_clock::now()); });
    timer.stop();
    entry->stop();
    receiver = nullptr;
    fleet.stop();
    log_event(event_id::process_stopped);
    return to_int(exit_code::success);
}

int run_statement_entry(const statement_entry_settings& settings)
{
    fleet_node fleet(fleet_options_of(settings.common));
    const start_retry retry = retry_of(settings.common);
    std::atomic<statement_entry*> receiver = nullptr;
    auto listening = fleet.start(
        [&](fleet_message it) {
            if (statement_entry* const to = receiver.load()) {
                to->receive(std::move(it));
            }
        },
        retry);
    if (!succeeded(listening)) {
        return fail(failure_of(listening));
    }
    statement_entry entry(settings.entry, fleet);
    auto started = entry.start(retry);
    if (!succeeded(started)) {
        return fail(failure_of(started));
    }
    receiver = &entry;
    log_event(event_id::process_started, {{"role", "statement_entry"}});
    report_ready("callers=" + to_string(value_of(started)));
    stop_progress progress;
    run_events(
        [&] { return advance_stop(entry, settings.stop, progress, monotonic_clock::now()); });
    entry.stop();
    receiver = nullptr;
    fleet.stop();
    log_event(event_id::process_stopped);
    return to_int(exit_code::success);
}

const common_settings& common_of(const daemon_settings& settings)
{
    return std::visit([](const auto& it) -> const common_settings& { return it.common; }, settings);
}

/// Reads the settings. The file may be missing or incomplete while it is written anew, so what is
/// wrong with it is returned only after `settings_limit`.
std::variant<daemon_settings, settings_problems> await_settings(const std::string& file)
{
    const time_point until = monotonic_clock::now() + settings_limit;
    while (true) {
        auto settings = read_settings(file, FLAGS_secrets);
        if (std::holds_alternative<daemon_settings>(settings) || FLAGS_check ||
            monotonic_clock::now() >= until || stop_requested()) {
            return settings;
        }
        std::this_thread::sleep_for(settings_read_interval);
    }
}

/// Path of the settings file; empty if neither the command line nor the environment names one.
std::string settings_file()
{
    if (!FLAGS_settings.empty()) {
        return FLAGS_settings;
    }
    const char* const path = std::getenv("BALSAMDRIFT_BOOT");
    return path == nullptr ? std::string() : path;
}

int run(const daemon_settings& settings)
{
    const auto threads =
        repeat_start<std::monostate>(retry_of(common_of(settings)), event_id::threads_awaited,
                                     [] { return check_threads(start_threads); });
    if (!succeeded(threads)) {
        return fail(failure_of(threads), exit_code::resources);
    }
    return std::visit(
        overloaded{
            [](const control_settings& it) { return run_control(it); },
            [](const entry_settings& it) { return run_entry(it); },
            [](const statement_entry_settings& it) { return run_statement_entry(it); },
        },
        settings);
}

/// Runs the process with its log open. The libraries throw where the operating system gives no
/// memory or thread.
int run_logged(const daemon_settings& settings)
{
    try {
        const common_settings& common = common_of(settings);
        open_event_log({.process = common.name, .file = common.log_file});
        return run(settings);
    }
    catch (const std::exception& ex) {
        return fail({ex.what()}, exit_code::resources);
    }
}

}  // namespace

int main(int argc, char** argv)
{
    watch_signals();
    open_standard_descriptors();
    limit_thread_memory();
    gflags::SetUsageMessage(
        "balsamdrift [--settings FILE] [--check]\n\n"
        "Runs a control member or an entry, as the settings say. Without --settings, the\n"
        "variable BALSAMDRIFT_BOOT names the file.\n"
        "Exit codes: 0 stopped as asked, 64 wrong command line, 69 an address or\n"
        "the data folder cannot be used, 71 too few threads or too little memory,\n"
        "78 wrong settings.");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_settings = settings_file();
    if (FLAGS_settings.empty() || argc > 1) {
        std::fprintf(stderr, "usage: balsamdrift --settings FILE [--check]\n");
        return to_int(exit_code::usage);
    }
    const auto settings = await_settings(FLAGS_settings);
    if (const auto* problems = std::get_if<settings_problems>(&settings)) {
        for (const std::string& it : problems->lines) {
            std::fprintf(stderr, "%s\n", it.c_str());
        }
        return to_int(stop_requested() ? exit_code::success : exit_code::settings);
    }
    if (FLAGS_check) {
        std::printf("the settings are valid\n");
        return to_int(exit_code::success);
    }
    QCoreApplication app(argc, argv);
    const int code = run_logged(std::get<daemon_settings>(settings));
    close_event_log();
    // Threads of nng, and one that writes to an output that blocks, still run. They must neither
    // find objects destroyed nor be waited for.
    std::_Exit(code);
}
