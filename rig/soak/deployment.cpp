#include "rig/soak/deployment.h"

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <sstream>
#include <stdexcept>

#include "rig/soak/process_launch.h"
#include "rig/soak/settings_fields.h"
#include "rig/soak/template_renderer.h"

namespace balsamdrift::soak {

namespace {

constexpr int frontend_port = 8465;
constexpr int readiness_port = 8460;
constexpr int control_port = 8462;
/// Subnets of the proxies start above those of the zones.
constexpr int proxy_subnet = 50;
/// Processes that the seeds of a machine name.
constexpr std::size_t seed_count = 3;
constexpr milliseconds supervision_interval(50);
/// The platform starts a process again so long after its end.
constexpr int min_restart_ms = 200;
constexpr int max_restart_ms = 1000;
/// An end so soon after a disturbance of the machine is put down to it.
constexpr seconds disturbance_span(1);

std::vector<std::string> split_words(const std::string& text)
{
    std::istringstream in(text);
    std::vector<std::string> out;
    for (std::string it; in >> it;) {
        out.push_back(it);
    }
    return out;
}

}  // namespace

deployment::deployment(event_loop& loop, const site_description& site, deployment_options options,
                       journal& record, judge& verdicts)
    : loop_(loop),
      site_(site),
      options_(std::move(options)),
      record_(record),
      verdicts_(verdicts),
      roles_(read_deploy_file(options_.root)),
      random_(options_.seed * 0x9e3779b97f4a7c15ULL + 1)
{
    // Runs beside each other use other networks, whatever their seeds are.
    std::mt19937 any(static_cast<unsigned>(::getpid()));
    net_ = "127." + std::to_string(16 + any() % 200) + ".";
    int number = 0;
    for (std::size_t zone = 0; zone < site_.zones.size(); ++zone) {
        for (int n = 0; n < site_.zones[zone].controls; ++n) {
            listed_.emplace_back(time_point{}, &add(true, site_.zones[zone], zone, number++));
        }
        for (int n = 0; n < site_.zones[zone].entries; ++n) {
            add(false, site_.zones[zone], zone, number++);
        }
    }
    turn_seeds_over();
}

deployment::~deployment() { end_all(); }

std::string deployment::host(int subnet, int last) const
{
    return net_ + std::to_string(subnet) + "." + std::to_string(last);
}

machine& deployment::add(bool is_control, const zone_description& zone, std::size_t zone_number,
                         int number)
{
    auto it = std::make_unique<machine>();
    it->is_control = is_control;
    it->name = (is_control ? "core-" : "edge-") + zone.name + "-" + std::to_string(number);
    it->zone = zone.name;
    it->ip = host(static_cast<int>(zone_number) + 1, number + 10);
    it->service_address = {it->ip, is_control ? control_port : frontend_port};
    it->readiness_address = {it->ip, readiness_port};
    it->folder = options_.folder + "/" + it->name;
    it->log_path = options_.folder + "/" + it->name + ".log";
    std::filesystem::create_directories(it->folder + (is_control ? "/data" : ""));
    if (options_.proxies) {
        const int subnet = proxy_subnet + static_cast<int>(zone_number);
        it->proxy =
            std::make_unique<fleet_proxy>(loop_, address{it->ip, first_internal_port},
                                          address{host(subnet, number + 10), first_internal_port});
    }
    machines_.push_back(std::move(it));
    return *machines_.back();
}

std::vector<machine*> deployment::list(bool is_control) const
{
    std::vector<machine*> out;
    for (const auto& it : machines_) {
        if (it->is_control == is_control && !it->removed) {
            out.push_back(it.get());
        }
    }
    return out;
}

std::vector<machine*> deployment::listed_controls() const
{
    // The list lags, so a member that is gone is still named, and its successor not yet.
    const time_point now = monotonic_clock::now();
    std::vector<machine*> out;
    for (const auto& [since, it] : listed_) {
        if (since <= now && (!it->removed || now - it->disturbed_at < site_.bound_s("seedLagS"))) {
            out.push_back(it);
        }
    }
    return out;
}

void deployment::turn_seeds_over()
{
    std::vector<machine*> members = controls();
    std::shuffle(members.begin(), members.end(), random_);
    std::vector<std::string> seeds;
    for (std::size_t n = 0; n < std::min(seed_count, members.size()); ++n) {
        seeds.push_back(members[n]->service_address.text());
    }
    for (const auto& it : machines_) {
        it->seeds = seeds;
    }
}

void deployment::start(duration spread, int absent)
{
    std::uniform_int_distribution<std::int64_t> delay(0, to_milliseconds(spread).count());
    const time_point now = monotonic_clock::now();
    for (const auto& it : machines_) {
        if (it->is_control && absent > 0) {
            --absent;
            it->ordered_down = true;
            record_.note(it->name + " stays away");
            continue;
        }
        it->restart_at = now + milliseconds(delay(random_));
    }
}

void deployment::render(const machine& it) const
{
    const deploy_role& role = roles_.at(it.is_control ? "core" : "edge");
    const auto fields = settings_fields(site_, it, role.name, platform_address().text());
    std::string text = render_template(role.template_text, fields);
    if (it.proxy != nullptr) {
        // The others reach the proxy at the address that they know, and it the process.
        const std::string known = "listen: " + it.proxy->at().text();
        const auto at = text.find(known);
        if (at == std::string::npos) {
            throw std::runtime_error("the template has no fleet address for a proxy");
        }
        text.replace(at, known.size(),
                     "listen: " + it.proxy->target().text() +
                         "\n  advertised: " + it.proxy->at().text());
    }
    std::ofstream(it.folder + "/settings.new") << text;
    std::filesystem::rename(it.folder + "/settings.new", it.folder + "/settings.toml");
}

void deployment::start_process(machine& it)
{
    render(it);
    const deploy_role& role = roles_.at(it.is_control ? "core" : "edge");
    const std::string settings = it.folder + "/settings.toml";
    std::vector<std::string> words = split_words(role.run);
    for (std::string& word : words) {
        word = word == "/etc/balsamdrift/settings.toml" ? settings : word;
    }
    if (!options_.binaries.empty()) {
        words[0] = options_.binaries + "/" + std::filesystem::path(words[0]).filename().string();
    }
    const char* path = std::getenv("PATH");
    it.pid =
        launch_process({.words = std::move(words),
                        .environment = {"BALSAMDRIFT_BOOT=" + settings, "HOME=/", "LANG=C.UTF-8",
                                        std::string("PATH=") + (path == nullptr ? "" : path)},
                        .current_folder = options_.root,
                        .log_path = it.log_path,
                        .descriptors = (it.is_control ? site_.control : site_.entry).descriptors,
                        .file_limit_bytes = it.file_limit_bytes,
                        .cores = options_.cores});
    ++it.incarnation;
    it.ordered_down = false;
    it.frozen = false;
    it.restart_at.reset();
    it.kill_at.reset();
    it.started_at = monotonic_clock::now();
    disturb(it);
    record_.note(it.name + " starts, process " + std::to_string(it.pid));
}

background deployment::supervise()
{
    while (true) {
        const time_point now = monotonic_clock::now();
        for (const auto& it : machines_) {
            int status = 0;
            rusage usage{};
            if (it->pid > 0 && ::wait4(it->pid, &status, WNOHANG, &usage) == it->pid) {
                on_end(*it, status, usage);
            }
            if (it->pid > 0 && it->kill_at && *it->kill_at <= now) {
                record_.note(it->name + " has not ended in its grace period, SIGKILL");
                ::kill(it->pid, SIGKILL);
                it->kill_at.reset();
            }
            if (it->pid <= 0 && it->restart_at && *it->restart_at <= now) {
                start_process(*it);
                it->first_start = false;
            }
        }
        check_majority();
        co_await loop_.sleep(supervision_interval);
    }
}

void deployment::on_end(machine& it, int status, const rusage& usage)
{
    it.processor_seconds +=
        static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
        static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
    it.peak_memory_kb = std::max(it.peak_memory_kb, usage.ru_maxrss);
    it.pid = -1;
    const bool signalled = WIFSIGNALED(status);
    const std::string how = signalled ? "signal " + std::to_string(WTERMSIG(status))
                                      : "exit code " + std::to_string(WEXITSTATUS(status));
    if (it.ordered_down) {
        record_.note(it.name + " ended by order, " + how);
        // After SIGTERM a process ends on its own, with success.
        if ((signalled && WTERMSIG(status) != SIGKILL) ||
            (!signalled && WEXITSTATUS(status) != 0)) {
            verdicts_.break_rule(rule::fault,
                                 it.name + " ended with " + how +
                                     " when it was stopped: " + last_lines(it.log_path));
        }
        return;
    }
    const bool disturbed = it.frozen || monotonic_clock::now() - it.disturbed_at < disturbance_span;
    const std::string text = it.name + " (incarnation " + std::to_string(it.incarnation) +
                             ") ended by itself with " + how +
                             (disturbed ? ", within 1 s of a disturbance or its start" : "") +
                             ": " + last_lines(it.log_path);
    verdicts_.break_rule(rule::fault, text);
    std::uniform_int_distribution<int> delay(min_restart_ms, max_restart_ms);
    it.restart_at = monotonic_clock::now() + milliseconds(delay(random_));
}

void deployment::disturb(machine& it)
{
    it.disturbed_at = monotonic_clock::now();
    last_disturbance_ = it.disturbed_at;
    if (it.is_control) {
        core_disturbed_ = it.disturbed_at;
    }
    check_majority();
}

void deployment::check_majority()
{
    std::size_t up = 0;
    const std::vector<machine*> members = controls();
    for (const machine* it : members) {
        up += is_running(*it) && !is_disturbed(it->path) &&
                      (it->proxy == nullptr || !is_disturbed(it->proxy->path))
                  ? 1
                  : 0;
    }
    if (up * 2 <= members.size()) {
        majority_lost_ = monotonic_clock::now();
    }
    for (const auto& it : machines_) {
        // A disturbance that lasts acts until its end.
        if (it->frozen || is_disturbed(it->path) ||
            (it->proxy != nullptr && is_disturbed(it->proxy->path))) {
            it->disturbed_at = monotonic_clock::now();
            last_disturbance_ = it->disturbed_at;
            core_disturbed_ = it->is_control ? it->disturbed_at : core_disturbed_;
        }
    }
}

touch deployment::touch_at(const machine& it, time_point at) const
{
    const duration contact =
        std::max<duration>(site_.bound_ms("contactMs"), site_.bound_s("catchUpS"));
    if (!is_running(it) || it.disturbed_at > at - contact || majority_lost_ > at - contact) {
        return {};
    }
    return {.judged = true,
            .stretch = core_disturbed_ > at - contact ? site_.bound_ms("partitionMaxMs")
                                                      : milliseconds(0)};
}

void deployment::kill(machine& it, duration down)
{
    record_.note("SIGKILL to " + it.name);
    it.ordered_down = true;
    it.frozen = false;
    if (it.pid > 0) {
        ::kill(it.pid, SIGKILL);
    }
    it.kill_at.reset();
    it.restart_at = monotonic_clock::now() + down;
    disturb(it);
}

void deployment::terminate(machine& it, duration down)
{
    record_.note("SIGTERM to " + it.name);
    it.ordered_down = true;
    if (it.pid > 0) {
        ::kill(it.pid, SIGTERM);
    }
    it.kill_at = monotonic_clock::now() + site_.bound_s("graceS");
    it.restart_at = monotonic_clock::now() + down;
    disturb(it);
}

void deployment::freeze(machine& it)
{
    if (it.pid > 0) {
        record_.note("SIGSTOP to " + it.name);
        ::kill(it.pid, SIGSTOP);
        it.frozen = true;
        disturb(it);
    }
}

void deployment::thaw(machine& it)
{
    if (it.pid > 0 && it.frozen) {
        record_.note("SIGCONT to " + it.name);
        disturb(it);
        ::kill(it.pid, SIGCONT);
        it.frozen = false;
    }
}

void deployment::reload(machine& it)
{
    if (it.pid > 0) {
        render(it);
        record_.note("SIGHUP to " + it.name);
        ::kill(it.pid, SIGHUP);
    }
}

void deployment::wipe(machine& it)
{
    std::error_code ec;
    std::filesystem::remove_all(it.folder + "/data", ec);
    std::filesystem::create_directories(it.folder + "/data", ec);
    record_.note(it.name + " has lost its disk");
}

machine& deployment::replace(machine& it)
{
    kill(it, duration::zero());
    it.restart_at.reset();
    it.removed = true;
    std::size_t zone = 0;
    while (site_.zones[zone].name != it.zone) {
        ++zone;
    }
    machine& out = add(true, site_.zones[zone], zone, next_control_++);
    out.first_start = false;
    out.seeds = it.seeds;
    out.restart_at = monotonic_clock::now() + milliseconds(max_restart_ms);
    listed_.emplace_back(monotonic_clock::now() + site_.bound_s("seedLagS"), &out);
    record_.note(it.name + " is replaced by " + out.name);
    return out;
}

std::string deployment::usage() const
{
    std::array<double, 2> processor{};
    std::array<long, 2> memory{};
    for (const auto& it : machines_) {
        const std::size_t n = it->is_control ? 1 : 0;
        processor.at(n) += it->processor_seconds + processor_seconds(it->pid);
        memory.at(n) = std::max({memory.at(n), it->peak_memory_kb, peak_memory_kb(it->pid)});
    }
    std::ostringstream out;
    out << "processor time: entries " << processor[0] << " s, control " << processor[1]
        << " s; highest memory of a process: entry " << memory[0] / 1024 << " of "
        << site_.entry.memory_mb << " MB, control " << memory[1] / 1024 << " of "
        << site_.control.memory_mb << " MB";
    return out.str();
}

void deployment::end_all()
{
    for (const auto& it : machines_) {
        if (it->pid > 0) {
            ::kill(it->pid, SIGKILL);
            ::waitpid(it->pid, nullptr, 0);
            it->pid = -1;
        }
    }
}

}  // namespace balsamdrift::soak
