#include "rig/site/site.h"

#include <signal.h>
#include <sys/prctl.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpServer>
#include <QThread>
#include <filesystem>
#include <fstream>

#include "base/codec.h"
#include "fleet/fleet_node.h"

namespace balsamdrift::rig {
namespace {

constexpr int start_timeout_ms = 10'000;
/// Longest wait for balsamctl, or for a process that was signalled to stop.
constexpr int finish_timeout_ms = 30'000;
constexpr unsigned long poll_interval_ms = 20;
constexpr const char* failure_domains[] = {"brest-port", "rennes-nord", "lorient-ouest"};
constexpr const char* replication_secret = "stand-in replication";

std::string failure_domain_name(int n) { return failure_domains[n % 3]; }

std::string loopback_address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

/// Parses the line `ready key=address ...` that a process prints once it has started.
std::map<std::string, std::string> parse_ready_line(const QString& line)
{
    std::map<std::string, std::string> addresses;
    for (const QString& word : line.trimmed().split(' ')) {
        const auto equals = word.indexOf('=');
        if (equals > 0) {
            addresses[word.left(equals).toStdString()] = word.mid(equals + 1).toStdString();
        }
    }
    return addresses;
}

}  // namespace

std::uint16_t free_port()
{
    // The range is below the ephemeral ports, so that no outgoing connection takes the port before
    // the process that it is meant for listens on it.
    constexpr int first_port = 20'000;
    constexpr int port_count = 12'000;
    static int next = static_cast<int>(QCoreApplication::applicationPid() * 97 % port_count);
    QTcpServer server;
    while (true) {
        next = (next + 1) % port_count;
        const auto port = static_cast<std::uint16_t>(first_port + next);
        if (server.listen(QHostAddress::LocalHost, port)) {
            return port;
        }
    }
}

struct site::implementation {
    std::vector<std::string> control_member_names;
    std::vector<std::string> entry_names;
    std::map<std::string, std::vector<std::string>> instance_names;
    std::map<std::string, std::string> fleet_address;
    std::map<std::string, std::string> replication_address;
    /// Sends fault commands to the instances.
    std::unique_ptr<fleet_node> fault_sender;
};

site::site(site_options options)
    : options_(std::move(options)), impl_(std::make_unique<implementation>())
{
    std::filesystem::create_directories(options_.folder);
    for (int n = 1; n <= options_.control_members; ++n) {
        impl_->control_member_names.push_back("control-" + std::to_string(n));
    }
    for (int n = 1; n <= options_.entries; ++n) {
        impl_->entry_names.push_back("entry-" + std::to_string(n));
    }
    for (const std::string& group : options_.groups) {
        for (int n = 1; n <= options_.instances; ++n) {
            impl_->instance_names[group].push_back(group + "-" + std::to_string(n));
        }
    }
}

site::~site()
{
    for (auto& [name, it] : processes_) {
        if (it.process && it.process->state() != QProcess::NotRunning) {
            // Resume the process in case a test stopped it with SIGSTOP.
            ::kill(static_cast<pid_t>(it.process->processId()), SIGCONT);
            it.process->kill();
            it.process->waitForFinished(start_timeout_ms);
        }
    }
    if (impl_->fault_sender) {
        impl_->fault_sender->stop();
    }
}

std::string site::path(const std::string& file) const { return options_.folder + "/" + file; }

std::string site::data_folder(const std::string& control_member) const
{
    return path("data-" + control_member);
}

std::vector<std::string> site::entry_names() const { return impl_->entry_names; }

std::vector<std::string> site::instance_names(const std::string& group) const
{
    return impl_->instance_names.at(group);
}

void site::write_settings()
{
    std::ofstream(path("fleet.secret")) << fleet_secret << "\n";
    std::ofstream(path("operator.token")) << "an operator token for loopback sites\n";
    std::string control_list;
    std::string entry_list;
    for (const std::string& name : impl_->control_member_names) {
        const std::string address = loopback_address(free_port());
        impl_->fleet_address[name] = address;
        control_list.append("    - {name: ").append(name);
        control_list.append(", address: \"").append(address).append("\"}\n");
        entry_list.append("    - \"").append(address).append("\"\n");
    }
    for (const std::string& name : impl_->control_member_names) {
        std::ofstream(path(name + ".yaml"))
            << "role: control\nname: " << name << "\nlog_file: " << path(name + ".log")
            << "\ndata_folder: " << data_folder(name) << "\noperator_token_file: operator.token\n"
            << "fleet:\n  listen: \"" << impl_->fleet_address[name]
            << "\"\n  secret_file: fleet.secret\n"
            << "operators:\n  listen: \"" << loopback_address(free_port()) << "\"\n"
            << "control:\n  members:\n"
            << control_list;
        processes_[name] = {.name = name,
                            .program = options_.binaries + "/balsamdrift",
                            .arguments = {"--settings", path(name + ".yaml")}};
        start_order_.push_back(name);
    }
    int n = 0;
    for (const std::string& name : impl_->entry_names) {
        std::ofstream(path(name + ".yaml"))
            << "role: entry\nname: " << name << "\nlog_file: " << path(name + ".log")
            << "\nfailure_domain: " << failure_domain_name(n++)
            << "\noperator_token_file: operator.token\n"
            << "fleet:\n  listen: \"" << loopback_address(free_port())
            << "\"\n  secret_file: fleet.secret\n"
            << "callers:\n  listen: \"" << loopback_address(free_port())
            << "\"\n  threads: " << options_.caller_threads << "\n"
            << "platform:\n  listen: \"" << loopback_address(free_port()) << "\"\n"
            << "databases:\n  threads: " << options_.database_threads << "\n"
            << "control:\n  members:\n"
            << entry_list << "stop:\n  notice: " << milliseconds_text(options_.drain_notice)
            << "ms\n";
        processes_[name] = {.name = name,
                            .program = options_.binaries + "/balsamdrift",
                            .arguments = {"--settings", path(name + ".yaml")}};
        start_order_.push_back(name);
    }
}

void site::prepare_instances()
{
    std::string announce_to;
    for (const std::string& name : impl_->entry_names) {
        announce_to += (announce_to.empty() ? "" : ",") + address_of(name, "platform");
    }
    for (const auto& [group, names] : impl_->instance_names) {
        std::map<std::string, std::string> replication;
        for (const std::string& name : names) {
            replication[name] = loopback_address(free_port());
            impl_->replication_address[name] = replication[name];
        }
        int n = 0;
        for (const std::string& name : names) {
            std::string peers;
            for (const auto& [other, address] : replication) {
                if (other != name) {
                    peers += (peers.empty() ? "" : ",") + address;
                }
            }
            processes_[name] = {
                .name = name,
                .program = options_.binaries + "/standin",
                .arguments = {"--group=" + group, "--name=" + name,
                              "--failure_domain=" + failure_domain_name(n),
                              "--listen=" + loopback_address(free_port()),
                              "--replication=" + replication[name], "--peers=" + peers,
                              "--announce_to=" + announce_to, n == 0 ? "--primary" : "--noprimary",
                              "--ship_delay_ms=" + milliseconds_text(options_.ship_delay),
                              "--apply_lag_ms=" + milliseconds_text(options_.apply_lag),
                              "--service_ms=" + milliseconds_text(options_.service_time),
                              "--slots=" + std::to_string(options_.slots),
                              "--connections=" + std::to_string(options_.connections),
                              "--connect_ms=" + milliseconds_text(options_.connect_time),
                              "--rejoin_ms=" + milliseconds_text(options_.rejoin_delay),
                              "--run_log=" + path(name + ".runs")}};
            start_order_.push_back(name);
            ++n;
        }
    }
}

outcome<std::monostate> site::launch(site_process& launched)
{
    launched.process = std::make_unique<QProcess>();
    // The kernel kills the process when its parent dies, so that an aborted test leaves none
    // behind.
    launched.process->setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
    launched.process->setStandardErrorFile(QString::fromStdString(path(launched.name + ".err")));
    QStringList arguments;
    for (const std::string& argument : launched.arguments) {
        arguments.push_back(QString::fromStdString(argument));
    }
    launched.process->start(QString::fromStdString(launched.program), arguments);
    QElapsedTimer clock;
    clock.start();
    while (clock.elapsed() < start_timeout_ms) {
        if (!launched.process->canReadLine() &&
            !launched.process->waitForReadyRead(start_timeout_ms)) {
            break;
        }
        const QString line = QString::fromUtf8(launched.process->readLine());
        if (line.startsWith("ready ")) {
            launched.addresses = parse_ready_line(line);
            return std::monostate{};
        }
    }
    return failure{launched.name + " did not print its ready line"};
}

outcome<std::monostate> site::start()
{
    write_settings();
    for (const std::string& name : start_order_) {
        if (auto res = launch(processes_.at(name)); !succeeded(res)) {
            return res;
        }
    }
    const std::size_t started = start_order_.size();
    prepare_instances();
    for (std::size_t n = started; n < start_order_.size(); ++n) {
        if (auto res = launch(processes_.at(start_order_[n])); !succeeded(res)) {
            return res;
        }
    }
    impl_->fault_sender = std::make_unique<fleet_node>(
        fleet_options{.listen = {"127.0.0.1", 0}, .secret = replication_secret});
    auto listening = impl_->fault_sender->start([](const fleet_message&) {});
    if (!succeeded(listening)) {
        return failure_of(listening);
    }
    for (const std::string& group : options_.groups) {
        const balsamctl_result result = run_balsamctl(
            {"group", "put", group, "--instances=" + std::to_string(options_.instances),
             "--connections=" + std::to_string(options_.connections),
             "--slots=" + std::to_string(options_.slots)});
        if (result.exit_code != 0) {
            return failure{"could not configure group " + group + ": " + result.text};
        }
    }
    return std::monostate{};
}

balsamctl_result site::run_balsamctl(const std::vector<std::string>& words)
{
    std::string members;
    for (const std::string& name : impl_->control_member_names) {
        if (is_running(name)) {
            members += (members.empty() ? "" : ",") + address_of(name, "operators");
        }
    }
    QStringList arguments{QString::fromStdString("--control=" + members),
                          QString::fromStdString("--token_file=" + path("operator.token")),
                          "--output=json"};
    for (const std::string& word : words) {
        arguments.push_back(QString::fromStdString(word));
    }
    QProcess process;
    process.start(QString::fromStdString(options_.binaries + "/balsamctl"), arguments);
    process.waitForFinished(finish_timeout_ms);
    balsamctl_result result;
    result.exit_code = process.exitStatus() == QProcess::NormalExit ? process.exitCode() : -1;
    result.text = process.readAllStandardOutput().toStdString();
    result.body = nlohmann::json::parse(result.text, nullptr, false);
    if (result.text.empty()) {
        result.text = process.readAllStandardError().toStdString();
    }
    return result;
}

outcome<std::string> site::create_customer(const std::string& name, double rate, double burst)
{
    const std::vector<std::vector<std::string>> commands{{"customer", "put", name,
                                                          "--rate=" + std::to_string(rate),
                                                          "--burst=" + std::to_string(burst)}};
    for (const auto& words : commands) {
        if (const balsamctl_result result = run_balsamctl(words); result.exit_code != 0) {
            return failure{result.text};
        }
    }
    for (const std::string& group : options_.groups) {
        if (const auto result = run_balsamctl({"group", "grant", group, name});
            result.exit_code != 0) {
            return failure{result.text};
        }
    }
    const balsamctl_result key =
        run_balsamctl({"key", "give", name + "-key", "--customer=" + name});
    if (key.exit_code != 0 || !key.body.is_object()) {
        return failure{key.text};
    }
    return key.body.value("key", "");
}

bool site::wait_until_ready(duration limit)
{
    QElapsedTimer clock;
    clock.start();
    while (clock.elapsed() < to_milliseconds(limit).count()) {
        const balsamctl_result status = run_balsamctl({"status"});
        std::size_t ready_entries = 0;
        std::size_t serving_groups = 0;
        if (status.exit_code == 0 && status.body.is_object()) {
            for (const auto& vm : status.body["vms"]) {
                ready_entries += vm.value("ready", false) ? 1 : 0;
                for (const auto& group : vm["groups"]) {
                    bool all_reachable =
                        group["instances"].size() == static_cast<std::size_t>(options_.instances);
                    for (const auto& instance : group["instances"]) {
                        all_reachable = all_reachable && instance.value("reachable", false);
                    }
                    serving_groups += group.value("primary_serves", false) && all_reachable ? 1 : 0;
                }
            }
        }
        if (ready_entries == impl_->entry_names.size() &&
            serving_groups == options_.groups.size()) {
            return true;
        }
        QThread::msleep(poll_interval_ms * 5);
    }
    return false;
}

void site::signal(const std::string& name, int number)
{
    ::kill(static_cast<pid_t>(processes_.at(name).process->processId()), number);
}

qint64 site::process_id(const std::string& name) const
{
    return processes_.at(name).process->processId();
}

outcome<std::monostate> site::restart(const std::string& name)
{
    return launch(processes_.at(name));
}

bool site::is_running(const std::string& name) const
{
    const auto it = processes_.find(name);
    if (it != processes_.end() && it->second.process) {
        // Callers may not run an event loop, without which QProcess does not notice an exit.
        it->second.process->waitForFinished(0);
    }
    return it != processes_.end() && it->second.process &&
           it->second.process->state() == QProcess::Running;
}

std::optional<int> site::wait_for_exit(const std::string& name, duration limit)
{
    QProcess& process = *processes_.at(name).process;
    const int ms = static_cast<int>(to_milliseconds(limit).count());
    if (process.state() != QProcess::NotRunning && !process.waitForFinished(ms)) {
        return std::nullopt;
    }
    return process.exitStatus() == QProcess::NormalExit ? process.exitCode() : -1;
}

void site::send_fault_command(const std::string& instance, const fault_command& command)
{
    impl_->fault_sender->send(impl_->replication_address.at(instance), fleet_channel::work,
                              encode_variant(replication_message(command)));
}

std::string site::primary_of(const std::string& group)
{
    const balsamctl_result status = run_balsamctl({"status"});
    for (const auto& vm : status.body["vms"]) {
        for (const auto& it : vm["groups"]) {
            if (it["group"] == group && it.value("primary_serves", false)) {
                return it["primary"].get<std::string>();
            }
        }
    }
    return {};
}

bool site::stop()
{
    bool all_succeeded = true;
    // Entries stop first, while control still runs, so that they can release what they own.
    const auto stop_all = [&](const std::vector<std::string>& names) {
        std::vector<std::string> running;
        std::copy_if(names.begin(), names.end(), std::back_inserter(running),
                     [&](const std::string& name) { return is_running(name); });
        for (const std::string& name : running) {
            signal(name, SIGTERM);
        }
        for (const std::string& name : running) {
            const auto code = wait_for_exit(name, milliseconds(finish_timeout_ms));
            all_succeeded = all_succeeded && code && *code == 0;
        }
    };
    stop_all(impl_->entry_names);
    stop_all(impl_->control_member_names);
    for (const auto& [group, names] : impl_->instance_names) {
        stop_all(names);
    }
    return all_succeeded;
}

std::string site::address_of(const std::string& name, const std::string& key) const
{
    const auto& addresses = processes_.at(name).addresses;
    const auto it = addresses.find(key);
    return it == addresses.end() ? std::string() : it->second;
}

}  // namespace balsamdrift::rig
