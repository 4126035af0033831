#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/outcome.h"
#include "base/time.h"

namespace balsamdrift {

/// Reads one YAML mapping and reports every problem with file, line, key and what was expected.
/// Problems are collected, so that one run shows all of them; a value with a problem is replaced by
/// its default or by an empty value.
class settings_reader {
public:
    /// Reads a file. A file that is missing or not valid YAML is reported as a problem.
    static settings_reader from_file(const std::string& file);

    /// Returns the mapping under a key. If the key is absent, the reader is empty, which is a
    /// problem if `required`.
    settings_reader section(const std::string& key, bool required = true);

    /// Returns the mappings of the sequence under a key. The key is required.
    std::vector<settings_reader> list(const std::string& key);

    /// Like list(), but the key may be absent.
    std::vector<settings_reader> list_or_empty(const std::string& key);

    /// Returns whether the key is present.
    bool has(const std::string& key) const { return node_[key].IsDefined(); }

    /// Reads text. Without a default the key is required.
    std::string text(const std::string& key);
    std::string text(const std::string& key, const std::string& default_value);

    /// Reads one of the given words; the first one is returned if there is a problem. The key is
    /// required.
    std::string choice(const std::string& key, const std::vector<std::string>& words);

    /// Reads a whole number within [low, high].
    std::int64_t number(const std::string& key, std::int64_t default_value, std::int64_t low,
                        std::int64_t high);

    /// Reads a number within [low, high], with or without a decimal point.
    double real(const std::string& key, double default_value, double low, double high);

    /// Reads a duration with its unit (ms, s, m or h), such as `250ms`, `1.5s` or `1m`.
    duration time_span(const std::string& key, duration default_value);

    /// Reads an `address:port`. The key is required.
    endpoint address(const std::string& key);

    /// Reads a sequence of `address:port`. The key is required, and the sequence must not be empty.
    std::vector<endpoint> addresses(const std::string& key);

    /// Reads a mapping of names to texts; empty if the key is absent.
    std::map<std::string, std::string> text_map(const std::string& key);

    /// Reads `true` or `false`.
    bool flag(const std::string& key, bool default_value);

    /// Reports keys of this mapping that were not read, then returns all problems found so far in
    /// the whole file.
    std::vector<std::string> finish();

private:
    /// Problems of one file, shared by the readers of all its mappings.
    struct shared_report {
        std::string file;
        std::vector<std::string> problems;
    };

    settings_reader(const YAML::Node& node, std::string path,
                    std::shared_ptr<shared_report> report);
    /// Returns the value of a key and marks the key as read.
    YAML::Node read_value(const std::string& key, bool required);
    /// Adds a problem at the line of `node`.
    void report_problem(const YAML::Node& node, const std::string& key,
                        const std::string& expected);
    /// Returns the dotted path of a key from the root of the file.
    std::string path_of(const std::string& key) const;

    YAML::Node node_;
    std::string path_;
    std::shared_ptr<shared_report> report_;
    std::set<std::string> read_keys_;
};

}  // namespace balsamdrift
