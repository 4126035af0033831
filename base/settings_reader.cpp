#include "base/settings_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ios>
#include <sstream>

namespace balsamdrift {
namespace {

/// A unit in which a duration may be written.
struct duration_unit {
    std::string_view suffix;
    duration length;
};

constexpr std::array duration_units{
    duration_unit{"ms", std::chrono::milliseconds(1)},
    duration_unit{"s", std::chrono::seconds(1)},
    duration_unit{"m", std::chrono::minutes(1)},
    duration_unit{"h", std::chrono::hours(1)},
};

outcome<std::int64_t> parse_number(const std::string& text)
{
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc{} || ptr != end) {
        return failure{"a whole number"};
    }
    return value;
}

/// Parses a duration with a decimal point, such as 1.5s.
outcome<duration> parse_decimal_duration(const std::string& number, const std::string& suffix)
{
    double value = 0;
    const char* const end = number.data() + number.size();
    const auto [ptr, ec] = std::from_chars(number.data(), end, value);
    const auto unit = std::find_if(duration_units.begin(), duration_units.end(),
                                   [&](const duration_unit& it) { return it.suffix == suffix; });
    if (ec != std::errc{} || ptr != end || unit == duration_units.end()) {
        return failure{"a span with its unit, such as 250ms, 1.5s, 1m or 1h"};
    }
    return scaled(unit->length, value);
}

outcome<duration> parse_duration(const std::string& text)
{
    const auto number_length = text.find_first_not_of("0123456789.");
    if (number_length == std::string::npos || number_length == 0) {
        return failure{"a span with its unit, such as 250ms, 2s, 1m or 1h"};
    }
    const std::string number = text.substr(0, number_length);
    if (number.find('.') != std::string::npos) {
        return parse_decimal_duration(number, text.substr(number_length));
    }
    auto amount = parse_number(number);
    const std::string_view suffix = std::string_view(text).substr(number_length);
    const auto unit = std::find_if(duration_units.begin(), duration_units.end(),
                                   [&](const duration_unit& it) { return it.suffix == suffix; });
    if (!succeeded(amount) || unit == duration_units.end()) {
        return failure{"a span with its unit, such as 250ms, 2s, 1m or 1h"};
    }
    return unit->length * value_of(amount);
}

}  // namespace

settings_reader::settings_reader(const YAML::Node& node, std::string path,
                                 std::shared_ptr<shared_report> report)
    : node_(node), path_(std::move(path)), report_(std::move(report))
{
}

settings_reader settings_reader::from_file(const std::string& file)
{
    auto report = std::make_shared<shared_report>();
    report->file = file;
    YAML::Node root;
    try {
        root = YAML::LoadFile(file);
    }
    catch (const YAML::BadFile&) {
        report->problems.push_back(file + ": the settings file cannot be opened");
    }
    catch (const std::ios_base::failure& ex) {
        report->problems.push_back(file + ": the settings file cannot be read: " + ex.what());
    }
    catch (const YAML::ParserException& ex) {
        report->problems.push_back(file + ":" + std::to_string(ex.mark.line + 1) +
                                   ": not valid YAML: " + ex.msg);
    }
    if (report->problems.empty() && !root.IsMap()) {
        report->problems.push_back(file + ":1: expected a mapping of settings");
    }
    return {root.IsMap() ? root : YAML::Node(YAML::NodeType::Map), "", report};
}

std::string settings_reader::path_of(const std::string& key) const
{
    return path_.empty() ? key : path_ + "." + key;
}

void settings_reader::report_problem(const YAML::Node& node, const std::string& key,
                                     const std::string& expected)
{
    const int line = node.Mark().line;
    report_->problems.push_back(report_->file + ":" + std::to_string(std::max(line, 0) + 1) + ": " +
                                path_of(key) + ": expected " + expected);
}

YAML::Node settings_reader::read_value(const std::string& key, bool required)
{
    read_keys_.insert(key);
    const YAML::Node& mapping = node_;
    const YAML::Node value = mapping[key];
    if (value.IsDefined()) {
        return value;
    }
    if (required) {
        report_problem(node_, key, "a value, but the key is missing");
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

settings_reader settings_reader::section(const std::string& key, bool required)
{
    const YAML::Node value = read_value(key, required);
    if (value.IsDefined() && !value.IsMap()) {
        report_problem(value, key, "a mapping");
    }
    const bool usable = value.IsDefined() && value.IsMap();
    return {usable ? value : YAML::Node(YAML::NodeType::Map), path_of(key), report_};
}

std::vector<settings_reader> settings_reader::list(const std::string& key)
{
    std::vector<settings_reader> readers;
    const YAML::Node value = read_value(key, true);
    if (!value.IsDefined()) {
        return readers;
    }
    if (!value.IsSequence()) {
        report_problem(value, key, "a sequence of mappings");
        return readers;
    }
    for (std::size_t n = 0; n < value.size(); ++n) {
        const std::string path = path_of(key) + "[" + std::to_string(n) + "]";
        if (!value[n].IsMap()) {
            report_problem(value[n], key, "a mapping");
            continue;
        }
        readers.push_back(settings_reader(value[n], path, report_));
    }
    return readers;
}

std::vector<settings_reader> settings_reader::list_or_empty(const std::string& key)
{
    return read_value(key, false).IsDefined() ? list(key) : std::vector<settings_reader>();
}

std::string settings_reader::text(const std::string& key)
{
    const YAML::Node value = read_value(key, true);
    if (!value.IsDefined()) {
        return {};
    }
    if (!value.IsScalar() || value.Scalar().empty()) {
        report_problem(value, key, "text");
        return {};
    }
    return value.Scalar();
}

std::string settings_reader::text(const std::string& key, const std::string& default_value)
{
    return read_value(key, false).IsDefined() ? text(key) : default_value;
}

std::string settings_reader::choice(const std::string& key, const std::vector<std::string>& words)
{
    const YAML::Node value = read_value(key, true);
    const bool scalar = value.IsDefined() && value.IsScalar();
    if (scalar && std::find(words.begin(), words.end(), value.Scalar()) != words.end()) {
        return value.Scalar();
    }
    std::string expected = "one of";
    for (const std::string& word : words) {
        expected.append(" ").append(word);
    }
    if (value.IsDefined()) {
        report_problem(value, key, expected);
    }
    return words.front();
}

std::int64_t settings_reader::number(const std::string& key, std::int64_t default_value,
                                     std::int64_t low, std::int64_t high)
{
    const YAML::Node value = read_value(key, false);
    if (!value.IsDefined()) {
        return default_value;
    }
    auto parsed = value.IsScalar() ? parse_number(value.Scalar())
                                   : outcome<std::int64_t>(failure{"a whole number"});
    if (!succeeded(parsed) || value_of(parsed) < low || value_of(parsed) > high) {
        report_problem(value, key,
                       "a whole number from " + std::to_string(low) + " to " +
                           std::to_string(high));
        return default_value;
    }
    return value_of(parsed);
}

double settings_reader::real(const std::string& key, double default_value, double low, double high)
{
    const YAML::Node value = read_value(key, false);
    if (!value.IsDefined()) {
        return default_value;
    }
    double parsed = 0;
    const bool number = value.IsScalar() && YAML::convert<double>::decode(value, parsed);
    // NaN compares false with everything, so the condition is negated to refuse it.
    if (!number || !(parsed >= low && parsed <= high)) {
        std::ostringstream expected;
        expected << "a number from " << low << " to " << high;
        report_problem(value, key, expected.str());
        return default_value;
    }
    return parsed;
}

duration settings_reader::time_span(const std::string& key, duration default_value)
{
    const YAML::Node value = read_value(key, false);
    if (!value.IsDefined()) {
        return default_value;
    }
    auto parsed = parse_duration(value.IsScalar() ? value.Scalar() : std::string());
    if (!succeeded(parsed)) {
        report_problem(value, key, failure_of(parsed).message);
        return default_value;
    }
    return value_of(parsed);
}

endpoint settings_reader::address(const std::string& key)
{
    const YAML::Node value = read_value(key, true);
    if (!value.IsDefined()) {
        return {};
    }
    auto parsed = parse_endpoint(value.IsScalar() ? value.Scalar() : std::string());
    if (!succeeded(parsed)) {
        report_problem(value, key,
                       "an IP number and port such as 127.0.0.1:8080 (" +
                           failure_of(parsed).message + ")");
        return {};
    }
    return value_of(parsed);
}

std::vector<endpoint> settings_reader::addresses(const std::string& key)
{
    std::vector<endpoint> endpoints;
    const YAML::Node value = read_value(key, true);
    if (!value.IsDefined()) {
        return endpoints;
    }
    if (!value.IsSequence() || value.size() == 0) {
        report_problem(value, key, "a sequence of address:port");
        return endpoints;
    }
    for (const YAML::Node& item : value) {
        auto parsed = parse_endpoint(item.IsScalar() ? item.Scalar() : std::string());
        if (succeeded(parsed)) {
            endpoints.push_back(value_of(parsed));
        }
        else {
            report_problem(item, key, "an IP number and port (" + failure_of(parsed).message + ")");
        }
    }
    return endpoints;
}

std::map<std::string, std::string> settings_reader::text_map(const std::string& key)
{
    std::map<std::string, std::string> texts;
    const YAML::Node value = read_value(key, false);
    if (!value.IsDefined()) {
        return texts;
    }
    if (!value.IsMap()) {
        report_problem(value, key, "a mapping of names to texts");
        return texts;
    }
    for (const auto& item : value) {
        if (item.first.IsScalar() && item.second.IsScalar()) {
            texts[item.first.Scalar()] = item.second.Scalar();
        }
        else {
            report_problem(value, key, "a mapping of names to texts");
        }
    }
    return texts;
}

bool settings_reader::flag(const std::string& key, bool default_value)
{
    const YAML::Node value = read_value(key, false);
    if (!value.IsDefined()) {
        return default_value;
    }
    const bool scalar = value.IsScalar();
    if (!scalar || (value.Scalar() != "true" && value.Scalar() != "false")) {
        report_problem(value, key, "true or false");
        return default_value;
    }
    return value.Scalar() == "true";
}

std::vector<std::string> settings_reader::finish()
{
    for (const auto& item : node_) {
        const std::string key = item.first.Scalar();
        if (!read_keys_.contains(key)) {
            report_problem(item.first, key, "a known key; this one is unknown");
        }
    }
    return report_->problems;
}

}  // namespace balsamdrift
