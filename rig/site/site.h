#pragma once

#include <QProcess>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/outcome.h"
#include "rig/site/site_options.h"
#include "rig/standin/replication_message.h"

namespace balsamdrift::rig {

/// A process of a site and the addresses that it reported.
struct site_process {
    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    std::unique_ptr<QProcess> process;
    /// `key=address` pairs of the line that the process printed when it was ready.
    std::map<std::string, std::string> addresses;
};

/// What balsamctl printed.
struct balsamctl_result {
    int exit_code = 0;
    nlohmann::json body;
    std::string text;
};

/// A whole site on loopback: control members, entries, and stand-in instances, each its own
/// process.
class site {
public:
    /// Secret of the fleet of every site on loopback.
    static constexpr const char* fleet_secret = "a fleet secret for loopback sites";

    explicit site(site_options options);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Writes the settings and starts everything. The failure names the process that did not start.
    outcome<std::monostate> start();

    /// Runs balsamctl and waits for it. `words` come after the common flags.
    balsamctl_result run_balsamctl(const std::vector<std::string>& words);

    /// Makes a customer with a key and grants it every group; gives the key.
    outcome<std::string> create_customer(const std::string& name, double rate, double burst);

    /// Waits until every entry is ready and every group's primary takes writes.
    bool wait_until_ready(duration limit);

    /// Sends a signal to a process, by its own id.
    void signal(const std::string& name, int number);

    /// Number of a running process.
    qint64 process_id(const std::string& name) const;

    /// Starts a process again that ended, with the same command line.
    outcome<std::monostate> restart(const std::string& name);

    /// True while the process runs.
    bool is_running(const std::string& name) const;

    /// Waits for a process to end; gives its exit code, or nothing if it still runs.
    std::optional<int> wait_for_exit(const std::string& name, duration limit);

    /// Gives a fault order to a stand-in instance.
    void send_fault_command(const std::string& instance, const fault_command& order);

    /// Name of the recorded primary of a group.
    std::string primary_of(const std::string& group);

    /// Stops everything gracefully; false if a process did not end with success.
    bool stop();

    std::string address_of(const std::string& name, const std::string& key) const;
    std::vector<std::string> entry_names() const;
    std::vector<std::string> instance_names(const std::string& group) const;
    std::string data_folder(const std::string& control_member) const;
    const site_options& options() const { return options_; }

private:
    struct implementation;

    void write_settings();
    void define_instances();
    outcome<std::monostate> launch(site_process& it);
    std::string path(const std::string& file) const;

    site_options options_;
    std::map<std::string, site_process> processes_;
    std::vector<std::string> start_order_;
    std::unique_ptr<implementation> impl_;
};

/// A free TCP port on loopback at the time of the call.
std::uint16_t free_port();

}  // namespace balsamdrift::rig
