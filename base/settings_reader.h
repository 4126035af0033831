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

/// Reads one YAML mapping and reports every mistake with file, line, key and what was expected.
/// Mistakes are collected, so that one run shows all of them; values stay at their defaults then.
class settings_reader {
public:
    /// Reads a whole file. A missing or unparsable file is the first problem.
    static settings_reader from_file(const std::string& file);

    /// A mapping below this one. An absent key gives an empty reader and a problem if `required`.
    settings_reader section(const std::string& key, bool required = true);

    /// The mappings of a sequence below this one.
    std::vector<settings_reader> list(const std::string& key);

    /// Same, but the key may be absent.
    std::vector<settings_reader> list_or_empty(const std::string& key);

    /// True when the key is there.
    bool has(const std::string& key) const { return node_[key].IsDefined(); }

    /// Text. Without a default the key is required.
    std::string text(const std::string& key);
    std::string text(const std::string& key, const std::string& otherwise);

    /// One of the given words.
    std::string choice(const std::string& key, const std::vector<std::string>& words);

    /// A whole number within [low, high].
    std::int64_t number(const std::string& key, std::int64_t otherwise, std::int64_t low,
                        std::int64_t high);

    /// A number within [low, high], with or without a decimal point.
    double real(const std::string& key, double otherwise, double low, double high);

    /// A span with its unit, such as `250ms`, `2s` or `1m`.
    duration span(const std::string& key, duration otherwise);

    /// An `address:port`.
    endpoint address(const std::string& key);

    /// A sequence of `address:port`.
    std::vector<endpoint> addresses(const std::string& key);

    /// A mapping of names to texts; empty if the key is absent.
    std::map<std::string, std::string> text_map(const std::string& key);

    /// True or false.
    bool flag(const std::string& key, bool otherwise);

    /// Reports keys of this mapping that were never read, then gives all problems found so far in
    /// this reader and those below it.
    std::vector<std::string> finish();

private:
    struct shared_report {
        std::string file;
        std::vector<std::string> problems;
    };

    settings_reader(const YAML::Node& node, std::string path,
                    std::shared_ptr<shared_report> report);
    YAML::Node take(const std::string& key, bool required);
    void report_problem(const YAML::Node& node, const std::string& key,
                        const std::string& expected);
    std::string path_of(const std::string& key) const;

    YAML::Node node_;
    std::string path_;
    std::shared_ptr<shared_report> report_;
    std::set<std::string> read_keys_;
};

}  // namespace balsamdrift
