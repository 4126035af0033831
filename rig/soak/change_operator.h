#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "rig/soak/deployment.h"
#include "rig/soak/http.h"

namespace balsamdrift::soak {

/// Plays the operator: sends configurations, valid and invalid, and reads them back.
class change_operator {
public:
    /// Called when an acknowledged change of a database and key has to be in force.
    using changed = std::function<void(const std::string& database, const std::string& key)>;

    change_operator(event_loop& loop, const site_description& site, deployment& machines,
                    judge& verdicts, journal& record, std::uint64_t seed);

    void set_changed(changed action) { changed_ = std::move(action); }
    static std::string main_database(int service, const std::string& kind);
    static std::string main_key(int tenant);
    static std::string service_name(int service) { return "svc" + std::to_string(service); }
    /// A database, or a key, that the operator changes, added, or removed.
    std::string some_database(std::mt19937_64& random) const;
    std::string some_key(std::mt19937_64& random) const;

    /// Sends the first configuration until it is accepted.
    background begin();
    /// Changes the configuration every few seconds until `stop`.
    background run();
    void stop() { stopped_ = true; }
    /// Sends one change and waits for its end; true if it was acknowledged.
    task<bool> change_once();
    /// Reads the configuration at all members again and again for the time, as after the end of the
    /// load.
    background read_back(duration length);
    bool has_begun() const { return begun_; }
    /// Share of the acknowledgements that are lost on their way.
    double lost_acks = 0;

private:
    /// A change that may be looked at when it is in force.
    struct touched {
        std::string database;
        std::string key;
    };
    configuration first_configuration() const;
    configuration next_configuration(touched& what);
    void change_route(configuration& conf, touched& what);
    void change_key(configuration& conf, touched& what);
    background send_change(configuration conf, touched what);
    background send_invalid();
    background send_again(int version, bool other_content);
    background read_all();
    background read_member(machine& member);
    task<int> deliver(std::string body, int version, bool is_valid);
    task<http_answer> call(std::string body);
    int take_version() { return version_ += 1 + static_cast<int>(random_() % 4); }

    event_loop& loop_;
    const site_description& site_;
    deployment& machines_;
    judge& verdicts_;
    journal& record_;
    std::mt19937_64 random_;
    changed changed_;
    configuration current_;
    int version_ = 0;
    int next_name_ = 0;
    bool begun_ = false;
    bool stopped_ = false;
    int in_progress_ = 0;
    std::vector<std::string> databases_;
    std::vector<std::string> keys_;
};

}  // namespace balsamdrift::soak
