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

/// A process of a site, its command line and the addresses that it listens on.
struct site_process {
    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    std::unique_ptr<QProcess> process;
    /// Addresses by key, from the `ready key=address ...` line that the process printed.
    std::map<std::string, std::string> addresses;
};

/// Exit code and output of balsamctl.
struct balsamctl_result {
    /// -1 if balsamctl crashed.
    int exit_code = 0;
    /// The standard output as JSON; discarded if it is not JSON.
    nlohmann::json body;
    /// The standard output, or the standard error if that was empty.
    std::string text;
};

/// A complete site on the loopback interface: control members, entries and stand-in database
/// instances, each in a process of its own. Its functions block.
class site {
public:
    /// The secret that signs messages between the processes of every such site.
    static constexpr const char* fleet_secret = "a fleet secret for loopback sites";

    explicit site(site_options options);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Writes the settings, starts all processes and configures the groups. A failure names the
    /// process that did not start or the group that could not be configured.
    outcome<std::monostate> start();

    /// Runs balsamctl and waits for it. `words` follow the flags that each call needs.
    balsamctl_result run_balsamctl(const std::vector<std::string>& words);

    /// Creates a customer that may use every group, with the given rate limit in operations per
    /// second. Returns the customer's API key.
    outcome<std::string> create_customer(const std::string& name, double rate, double burst);

    /// Waits until every entry is ready and every group has a serving primary and only reachable
    /// instances. False if the limit passed before.
    bool wait_until_ready(duration limit);

    /// Sends a signal such as SIGKILL to the named process.
    void signal(const std::string& name, int number);

    /// Process id of the named process.
    qint64 process_id(const std::string& name) const;

    /// Restarts a process that has ended, with the same command line.
    outcome<std::monostate> restart(const std::string& name);

    bool is_running(const std::string& name) const;

    /// Waits for a process to end. Returns its exit code, -1 if it crashed, or nothing if it still
    /// runs after the limit.
    std::optional<int> wait_for_exit(const std::string& name, duration limit);

    /// Sends a fault command to a stand-in instance. Does not wait for its effect.
    void send_fault_command(const std::string& instance, const fault_command& command);

    /// Name of the serving primary of a group; empty if there is none.
    std::string primary_of(const std::string& group);

    /// Stops all processes gracefully. False if one did not exit with code 0.
    bool stop();

    /// An address from the ready line of a process, by its key; empty if the line lacks it.
    std::string address_of(const std::string& name, const std::string& key) const;
    std::vector<std::string> entry_names() const;
    std::vector<std::string> instance_names(const std::string& group) const;
    std::string data_folder(const std::string& control_member) const;
    const site_options& options() const { return options_; }

private:
    struct implementation;

    void write_settings();
    void prepare_instances();
    outcome<std::monostate> launch(site_process& launched);
    std::string path(const std::string& file) const;

    site_options options_;
    std::map<std::string, site_process> processes_;
    std::vector<std::string> start_order_;
    std::unique_ptr<implementation> impl_;
};

/// A TCP port on the loopback interface that is free at the time of the call.
std::uint16_t free_port();

}  // namespace balsamdrift::rig
