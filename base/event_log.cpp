#include "base/event_log.h"

#include <easylogging++.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <iomanip>
#include <iostream>
#include <memory>
#include <mutex>
#include <sstream>

#include "base/async_log_writer.h"
#include "base/log_rate_limiter.h"
#include "base/log_value.h"
#include "base/metrics.h"

INITIALIZE_EASYLOGGINGPP

namespace balsamdrift {
namespace {

/// Bits of a stamp below the wall-clock milliseconds.
constexpr unsigned counter_bits = 16;

/// How long close_event_log() waits for an output that blocks.
constexpr milliseconds close_timeout(200);

/// State of the event log of this process; `mutex` guards the other members.
struct log_state {
    std::mutex mutex;
    event_log_options options;
    std::deque<timeline_event> recent_events;
    std::uint64_t last_stamp = 0;
    log_rate_limiter rate_limiter;
    /// Null before the log is opened and after it is closed; lines are then written synchronously.
    std::unique_ptr<async_log_writer> writer;
};

log_state& state()
{
    static log_state instance;
    return instance;
}

std::uint64_t wall_clock_stamp()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return static_cast<std::uint64_t>(ms) << counter_bits;
}

std::uint64_t advance_stamp(log_state& it)
{
    it.last_stamp = std::max(it.last_stamp + 1, wall_clock_stamp());
    return it.last_stamp;
}

/// Longest value of a field that is kept and written, in bytes. Callers choose some values, such as
/// the ids of their statements, and a line of theirs may have 1 MiB. Names and addresses are
/// shorter.
constexpr std::size_t max_value_length = 256;

/// The fields of an event, with the ends of too long values replaced by their length.
std::vector<event_field> shortened(std::initializer_list<event_field> fields)
{
    std::vector<event_field> out;
    out.reserve(fields.size());
    for (const event_field& it : fields) {
        event_field& field =
            out.emplace_back(event_field{it.name, it.value.substr(0, max_value_length)});
        if (it.value.size() > max_value_length) {
            field.value += "... (" + std::to_string(it.value.size()) + " bytes)";
        }
    }
    return out;
}

std::string format_line(const event_description& row, const timeline_event& event)
{
    std::string line = std::to_string(static_cast<unsigned>(event.id));
    line.append(" ").append(row.name);
    line.append(" process=").append(event.process);
    for (const event_field& field : event.fields) {
        line.append(" ").append(field.name).append("=").append(log_value(field.value));
    }
    return line;
}

/// Local time of the event with milliseconds. It is formatted when the event is logged, because the
/// line may be written later.
std::string format_time(std::uint64_t stamp)
{
    const auto event_time = wall_clock_of(stamp);
    const std::time_t second = std::chrono::system_clock::to_time_t(event_time);
    std::tm parts{};
    (void)localtime_r(&second, &parts);
    std::ostringstream text;
    const auto ms = (stamp >> counter_bits) % 1000;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
         << ms;
    return text.str();
}

/// Clears the errors of earlier writes. A stream that failed once (a full disk, a pipe that is full
/// for a moment) would drop all later lines.
void clear_output_errors()
{
    std::clearerr(stdout);
    std::cout.clear();
    el::Logger* const logger = el::Loggers::getLogger("default");
    for (const el::Level level : {el::Level::Info, el::Level::Warning, el::Level::Error}) {
        if (auto* const file = logger->typedConfigurations()->fileStream(level)) {
            file->clear();
        }
    }
}

void write_line(const log_line& line)
{
    clear_output_errors();
    if (line.is_output) {
        std::cout << line.text << std::endl;
        return;
    }
    switch (line.severity) {
        case event_severity::info: LOG(INFO) << line.text; return;
        case event_severity::warning: LOG(WARNING) << line.text; return;
        case event_severity::error: LOG(ERROR) << line.text; return;
    }
}

char severity_letter(event_severity severity)
{
    switch (severity) {
        case event_severity::info: return 'I';
        case event_severity::warning: return 'W';
        case event_severity::error: return 'E';
    }
    return '?';
}

void count_dropped_line(const event_description& row)
{
    count_metric("balsamdrift_dropped_log_lines_total", metric_label("event", row.name));
}

}  // namespace

void open_event_log(const event_log_options& options)
{
    state().options = options;
    el::Configurations conf;
    conf.setToDefault();
    conf.setGlobally(el::ConfigurationType::Format, "%msg");
    conf.setGlobally(el::ConfigurationType::ToFile, options.file.empty() ? "false" : "true");
    conf.setGlobally(el::ConfigurationType::ToStandardOutput,
                     options.file.empty() ? "true" : "false");
    if (!options.file.empty()) {
        conf.setGlobally(el::ConfigurationType::Filename, options.file);
    }
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Loggers::reconfigureLogger("default", conf);
    state().writer = std::make_unique<async_log_writer>(async_log_writer_options{}, write_line);
}

void close_event_log()
{
    std::unique_ptr<async_log_writer> writer;
    {
        const std::lock_guard lock(state().mutex);
        writer = std::move(state().writer);
    }
    if (writer) {
        writer->close(close_timeout);
    }
}

void print_line(std::string text)
{
    log_line line{event_severity::info, std::move(text), true};
    const std::lock_guard lock(state().mutex);
    if (!state().writer || !state().writer->push(line)) {
        write_line(line);
    }
}

void log_event(event_id id, std::initializer_list<event_field> fields)
{
    const event_description& row = describe(id);
    timeline_event event{.id = id};
    log_state& it = state();
    const std::lock_guard lock(it.mutex);
    if (!allow_log_line(it.rate_limiter, {}, id, monotonic_clock::now())) {
        count_dropped_line(row);
        return;
    }
    event.fields = shortened(fields);
    event.stamp = advance_stamp(it);
    event.process = it.options.process;
    log_line line{row.severity, format_time(event.stamp) + ' ' + severity_letter(row.severity) +
                                    ' ' + format_line(row, event)};
    if (!it.writer) {
        write_line(line);
    }
    else if (!it.writer->push(std::move(line))) {
        count_dropped_line(row);
    }
    it.recent_events.push_back(std::move(event));
    if (it.recent_events.size() > it.options.max_recent_events) {
        it.recent_events.pop_front();
    }
}

std::vector<timeline_event> timeline_since(std::uint64_t after)
{
    log_state& it = state();
    const std::lock_guard lock(it.mutex);
    std::vector<timeline_event> rows;
    std::copy_if(it.recent_events.begin(), it.recent_events.end(), std::back_inserter(rows),
                 [&](const timeline_event& event) { return event.stamp > after; });
    return rows;
}

std::uint64_t next_timeline_stamp()
{
    log_state& it = state();
    const std::lock_guard lock(it.mutex);
    return advance_stamp(it);
}

void observe_timeline_stamp(std::uint64_t stamp)
{
    log_state& it = state();
    const std::lock_guard lock(it.mutex);
    it.last_stamp = std::max(it.last_stamp, stamp);
}

std::chrono::system_clock::time_point wall_clock_of(std::uint64_t stamp)
{
    return std::chrono::system_clock::time_point(std::chrono::milliseconds(stamp >> counter_bits));
}

}  // namespace balsamdrift
