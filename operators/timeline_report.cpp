#include "operators/timeline_report.h"

#include <QDateTime>
#include <QString>
#include <algorithm>

#include "base/event_log.h"
#include "base/log_value.h"

namespace balsamdrift {
namespace {

using nlohmann::json;

std::string wall_clock_text(std::uint64_t stamp)
{
    const auto at = wall_clock_of(stamp).time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(at).count();
    return QDateTime::fromMSecsSinceEpoch(ms, Qt::UTC)
        .toString("yyyy-MM-dd HH:mm:ss.zzz")
        .toStdString();
}

std::string fields_text(const json& event)
{
    std::string text;
    for (const auto& [name, value] : event["fields"].items()) {
        text.append(text.empty() ? "" : " ").append(name).append("=");
        text.append(value.is_string() ? log_value(value.get<std::string>()) : value.dump());
    }
    return text;
}

std::string escaped(const std::string& text)
{
    return QString::fromStdString(text).toHtmlEscaped().toStdString();
}

constexpr const char* html_header =
    "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>balsamdrift time line"
    "</title><style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #ddd}"
    ".s1{background:#fff4d6}.s2{background:#ffe0e0}</style></head><body>"
    "<h1>Time line of events</h1><table><tr><th>Time (UTC)</th><th>Process</th><th>Event</th>"
    "<th>Details</th></tr>";

}  // namespace

std::vector<json> merge_timelines(const std::vector<json>& answers)
{
    std::vector<json> events;
    for (const json& answer : answers) {
        if (!answer.is_object() || !answer.contains("events")) {
            continue;
        }
        events.insert(events.end(), answer["events"].begin(), answer["events"].end());
    }
    std::stable_sort(events.begin(), events.end(), [](const json& a, const json& b) {
        return a["stamp"].get<std::uint64_t>() < b["stamp"].get<std::uint64_t>();
    });
    return events;
}

std::string format_timeline(const std::vector<json>& events)
{
    std::string text;
    for (const json& it : events) {
        text += wall_clock_text(it["stamp"].get<std::uint64_t>()) + "  " +
                QString::fromStdString(it["process"].get<std::string>())
                    .leftJustified(16)
                    .toStdString() +
                it["event"].dump() + " " + it["name"].get<std::string>() + "  " + fields_text(it) +
                "\n";
    }
    return text;
}

std::string format_timeline_html(const std::vector<json>& events)
{
    std::string page = html_header;
    for (const json& it : events) {
        page += "<tr class=\"s" + it["severity"].dump() + "\"><td>" +
                wall_clock_text(it["stamp"].get<std::uint64_t>()) + "</td><td>" +
                escaped(it["process"].get<std::string>()) + "</td><td>" + it["event"].dump() + " " +
                escaped(it["name"].get<std::string>()) + "</td><td>" + escaped(fields_text(it)) +
                "</td></tr>";
    }
    return page + "</table></body></html>\n";
}

}  // namespace balsamdrift
