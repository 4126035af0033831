#include "base/event_log.h"

#include <easylogging++.h>

#include <algorithm>
#include <deque>
#include <mutex>

#include "base/log_budget.h"
#include "base/metrics.h"

INITIALIZE_EASYLOGGINGPP

namespace balsamdrift {
namespace {

constexpr unsigned counter_bits = 16;

/// Everything behind the functions of this file, under one lock.
struct log_state {
    std::mutex mutex;
    event_log_options options;
    std::deque<timeline_event> kept;
    std::uint64_t last_stamp = 0;
    log_budget budget;
};

log_state& state()
{
    static log_state instance;
    return instance;
}

std::uint64_t wall_stamp()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return static_cast<std::uint64_t>(ms) << counter_bits;
}

std::uint64_t advance_stamp(log_state& it)
{
    it.last_stamp = std::max(it.last_stamp + 1, wall_stamp());
    return it.last_stamp;
}

std::string format_line(const event_description& row, const timeline_event& event)
{
    std::string line = std::to_string(static_cast<unsigned>(event.id));
    line.append(" ").append(row.name);
    line.append(" process=").append(event.process);
    for (const event_field& field : event.fields) {
        line.append(" ").append(field.name).append("=").append(field.value);
    }
    return line;
}

void write_line(event_severity severity, const std::string& line)
{
    switch (severity) {
        case event_severity::info: LOG(INFO) << line; return;
        case event_severity::warning: LOG(WARNING) << line; return;
        case event_severity::error: LOG(ERROR) << line; return;
    }
}

}  // namespace

void open_event_log(const event_log_options& options)
{
    state().options = options;
    el::Configurations conf;
    conf.setToDefault();
    conf.setGlobally(el::ConfigurationType::Format,
                     "%datetime{%Y-%M-%dT%H:%m:%s.%g} %levshort %msg");
    conf.setGlobally(el::ConfigurationType::ToFile, options.file.empty() ? "false" : "true");
    conf.setGlobally(el::ConfigurationType::ToStandardOutput,
                     options.file.empty() ? "true" : "false");
    if (!options.file.empty()) {
        conf.setGlobally(el::ConfigurationType::Filename, options.file);
    }
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Loggers::reconfigureLogger("default", conf);
}

void log_event(event_id id, std::initializer_list<event_field> fields)
{
    const event_description& row = describe(id);
    timeline_event event{.id = id, .fields = fields};
    log_state& it = state();
    const std::lock_guard lock(it.mutex);
    if (!take_log_line(it.budget, {}, id, monotonic_clock::now())) {
        count_metric("balsamdrift_dropped_log_lines_total",
                     "event=\"" + std::string(row.name) + "\"");
        return;
    }
    event.stamp = advance_stamp(it);
    event.process = it.options.process;
    write_line(row.severity, format_line(row, event));
    it.kept.push_back(std::move(event));
    if (it.kept.size() > it.options.kept_events) {
        it.kept.pop_front();
    }
}

std::vector<timeline_event> timeline_since(std::uint64_t after)
{
    log_state& it = state();
    const std::lock_guard lock(it.mutex);
    std::vector<timeline_event> rows;
    std::copy_if(it.kept.begin(), it.kept.end(), std::back_inserter(rows),
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
