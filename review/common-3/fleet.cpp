#include "fleet.h"

#include <arpa/inet.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "rig/soak/process_launch.h"
#include "rig/soak/settings_fields.h"
#include "rig/soak/template_renderer.h"

namespace review {
namespace {

constexpr std::size_t handshake_bytes = 8;
constexpr milliseconds cut_poll(10);
constexpr int proxy_subnet = 50;
constexpr int network_count = 200;
constexpr int guard_subnet = 250;
constexpr int guard_port = 7599;
constexpr milliseconds memory_poll(10);
constexpr milliseconds restart_delay(500);

std::string read_text(const std::string& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/// Value of `name = "..."` in a section of the deploy file.
std::string deploy_value(const std::string& text, const std::string& section,
                         const std::string& name)
{
    std::istringstream in(text);
    bool inside = false;
    for (std::string line; std::getline(in, line);) {
        if (line.rfind("[", 0) == 0) {
            inside = line == "[" + section + "]";
        }
        if (inside && line.rfind(name + " = \"", 0) == 0) {
            const auto begin = line.find('"') + 1;
            return line.substr(begin, line.rfind('"') - begin);
        }
    }
    return {};
}

std::vector<std::string> split_words(const std::string& text)
{
    std::istringstream in(text);
    std::vector<std::string> out;
    for (std::string it; in >> it;) {
        out.push_back(it);
    }
    return out;
}

/// An address as the short frames of the fleet hold it.
std::string packed(const address& at)
{
    std::string out(4, '\0');
    ::inet_pton(AF_INET, at.ip.c_str(), out.data());
    out.push_back(static_cast<char>(at.port >> 8));
    out.push_back(static_cast<char>(at.port & 0xff));
    return out;
}

}  // namespace

site_description small_site(int controls, int entries)
{
    site_description site;
    site.name = "small";
    site.zones = {{"brest-port", "finistere", 0, 0},
                  {"rennes-nord", "ille-vilaine", 0, 0},
                  {"lorient-ouest", "morbihan", 0, 0}};
    for (int n = 0; n < controls; ++n) {
        ++site.zones[static_cast<std::size_t>(n) % 3].controls;
    }
    for (int n = 0; n < entries; ++n) {
        ++site.zones[static_cast<std::size_t>(n) % 3].entries;
    }
    site.entry = {4300, 160, 0.12, 2, 0};
    site.control = {4096, 256, 0.6, 1000, 128};
    site.machines_lost_at_once = 2;
    site.bounds = {{"seedLagS", 3},       {"reuseAfterS", 2},       {"contactMs", 6000},
                   {"ackMs", 8000},       {"catchUpS", 6},          {"drainMs", 7000},
                   {"graceS", 6},         {"lossSlackMs", 200},     {"configApplyMs", 4000},
                   {"rollbackSlackMs", 250}, {"partitionMaxMs", 20000}, {"revokeStrict", false},
                   {"revokeMs", 5000},    {"quotaWindowS", 5},      {"quotaOverage", 0.1},
                   {"quotaSlack", 20},    {"recoveryS", 15},        {"fencingRequired", false},
                   {"thawSlackMs", 300}};
    return site;
}

/// Forwards the connections from other processes to one process.
struct fleet::proxy {
    struct ends {
        std::unique_ptr<connection> outer;
        std::unique_ptr<connection> inner;
    };

    proxy(fleet& owner, const machine& of, const address& at, address to)
        : all(owner),
          self(of),
          listens(at),
          target(std::move(to)),
          door(owner.loop_, at, nullptr,
               [this](std::unique_ptr<connection> it) { serve(std::move(it)); })
    {
    }

    background serve(std::unique_ptr<connection> outer)
    {
        auto both = std::make_shared<ends>();
        both->outer = std::move(outer);
        both->inner = co_await connection::open(all.loop_, target, seconds(5));
        if (both->inner == nullptr) {
            co_return;
        }
        forward(both);
        back(both);
    }

    /// What other processes send. The handshake passes; the first message tells who sends.
    background forward(std::shared_ptr<ends> both)
    {
        const machine* sender = nullptr;
        std::string held;
        bool handshake_done = false;
        while (true) {
            const bool arrived = co_await both->outer->arrives(time_point::max());
            held += both->outer->take_input();
            if (!handshake_done && held.size() >= handshake_bytes) {
                both->inner->send(held.substr(0, handshake_bytes));
                held.erase(0, handshake_bytes);
                handshake_done = true;
            }
            if (sender == nullptr && handshake_done) {
                sender = all.find_sender(held);
            }
            while (sender != nullptr && all.is_cut(sender, &self) && !both->outer->is_closed()) {
                co_await all.loop_.sleep(cut_poll);
            }
            if (sender != nullptr && !all.is_cut(sender, &self)) {
                both->inner->send(held);
                held.clear();
            }
            if (!arrived || both->inner->is_closed() ||
                (both->outer->is_closed() && !both->outer->has_input())) {
                break;
            }
        }
        both->inner->close();
        both->outer->close();
    }

    background back(std::shared_ptr<ends> both)
    {
        while (true) {
            const bool arrived = co_await both->inner->arrives(time_point::max());
            both->outer->send(both->inner->take_input());
            if (!arrived || both->outer->is_closed() ||
                (both->inner->is_closed() && !both->inner->has_input())) {
                break;
            }
        }
        both->inner->close();
        both->outer->close();
    }

    fleet& all;
    const machine& self;
    address listens;
    address target;
    listener door;
};

fleet::fleet(event_loop& loop, const site_description& site, fleet_options options, journal& record)
    : loop_(loop), site_(site), options_(std::move(options)), record_(record)
{
    for (int n = 0; n < network_count && (guard_ == nullptr || !guard_->is_open()); ++n) {
        net_ = "127." + std::to_string(16 + (static_cast<int>(::getpid()) + n) % network_count) + ".";
        guard_ = std::make_unique<listener>(loop_, address{host(guard_subnet, 1), guard_port}, nullptr,
                                            [](std::unique_ptr<connection>) {});
    }
    int number = 0;
    for (std::size_t zone = 0; zone < site_.zones.size(); ++zone) {
        for (int n = 0; n < site_.zones[zone].controls + site_.zones[zone].entries; ++n) {
            auto it = std::make_unique<machine>();
            it->is_control = n < site_.zones[zone].controls;
            it->zone = site_.zones[zone].name;
            it->name = (it->is_control ? "core-" : "edge-") + it->zone + "-" +
                       std::to_string(number);
            it->ip = host(static_cast<int>(zone) + 1, number + 10);
            it->service_address = {it->ip, it->is_control ? 8462 : 8465};
            it->readiness_address = {it->ip, 8460};
            it->folder = options_.folder + "/" + it->name;
            it->log_path = options_.folder + "/" + it->name + ".log";
            std::filesystem::create_directories(it->folder + "/data");
            const address inner{host(proxy_subnet + static_cast<int>(zone), number + 10),
                                first_internal_port};
            proxies_[it.get()] = std::make_unique<proxy>(
                *this, *it, address{it->ip, first_internal_port}, inner);
            ++number;
            machines_.push_back(std::move(it));
        }
    }
    std::vector<std::string> seeds;
    for (machine* it : controls()) {
        if (seeds.size() < 3) {
            seeds.push_back(it->service_address.text());
        }
    }
    for (const auto& it : machines_) {
        it->seeds = seeds;
    }
}

fleet::~fleet() { end_all(); }

std::string fleet::host(int subnet, int last) const
{
    return net_ + std::to_string(subnet) + "." + std::to_string(last);
}

std::vector<machine*> fleet::list(bool is_control) const
{
    std::vector<machine*> out;
    for (const auto& it : machines_) {
        if (it->is_control == is_control) {
            out.push_back(it.get());
        }
    }
    return out;
}

void fleet::start_all()
{
    for (const auto& it : machines_) {
        start(*it);
    }
}

void fleet::start(machine& it)
{
    const std::string deploy = read_text(options_.root + "/deploy/system.toml");
    const std::string section = it.is_control ? "roles.control" : "roles.entry";
    const std::string text = read_text(options_.root + "/" + deploy_value(deploy, section,
                                                                          "template"));
    std::string settings = render_template(
        text, settings_fields(site_, it, it.is_control ? "control" : "entry",
                              platform_address().text()));
    const proxy& before = *proxies_.at(&it);
    const std::string known = "listen: " + before.listens.text();
    settings.replace(settings.find(known), known.size(),
                     "listen: " + before.target.text() + "\n  advertised: " +
                         before.listens.text());
    const std::string path = it.folder + "/settings.yaml";
    std::ofstream(path) << settings;
    it.pid = launch_process(
        {.words = split_words(deploy_value(deploy, section, "run")),
         .environment = {"BALSAMDRIFT_BOOT=" + path, "HOME=/", "LANG=C.UTF-8",
                         "PATH=/usr/local/bin:/usr/bin:/bin"},
         .current_folder = options_.root,
         .log_path = it.log_path,
         .descriptors = (it.is_control ? site_.control : site_.entry).descriptors});
    it.first_start = false;
    ++it.incarnation;
    record_.note(it.name + " starts, process " + std::to_string(it.pid));
}

void fleet::kill(machine& it)
{
    if (it.pid > 0) {
        ::kill(it.pid, SIGKILL);
        ::waitpid(it.pid, nullptr, 0);
        it.pid = -1;
        record_.note("SIGKILL to " + it.name);
    }
}

void fleet::end_all()
{
    for (const auto& it : machines_) {
        kill(*it);
    }
}

background fleet::limit_memory()
{
    while (true) {
        co_await loop_.sleep(memory_poll);
        for (const auto& it : machines_) {
            if (it->pid <= 0) {
                if (it->restart_at && *it->restart_at <= monotonic_clock::now()) {
                    it->restart_at.reset();
                    start(*it);
                }
                continue;
            }
            long pages = 0;
            long resident = 0;
            std::ifstream("/proc/" + std::to_string(it->pid) + "/statm") >> pages >> resident;
            const long mb = resident * ::sysconf(_SC_PAGESIZE) / (1024 * 1024);
            const int limit = (it->is_control ? site_.control : site_.entry).memory_mb;
            if (mb > limit) {
                record_.note("platform: " + it->name + " uses " + std::to_string(mb) + " MB of " +
                             std::to_string(limit) + " MB and is killed");
                ++ended_for_memory[it.get()];
                kill(*it);
                it->restart_at = monotonic_clock::now() + restart_delay;
            }
        }
    }
}

bool fleet::all_run()
{
    bool all = true;
    for (const auto& it : machines_) {
        int status = 0;
        if (it->pid > 0 && ::waitpid(it->pid, &status, WNOHANG) == it->pid) {
            record_.note(it->name + " ended by itself:" + last_lines(it->log_path));
            it->pid = -1;
            all = false;
        }
    }
    return all;
}

machine* fleet::leader() const
{
    machine* found = nullptr;
    unsigned long newest = 0;
    for (machine* it : controls()) {
        std::istringstream in(read_text(it->log_path));
        for (std::string line; std::getline(in, line);) {
            const auto at = line.find("term=");
            if (line.find("leader_elected") == std::string::npos || at == std::string::npos) {
                continue;
            }
            const unsigned long term = std::stoul(line.substr(at + 5));
            if (term >= newest) {
                newest = term;
                found = it;
            }
        }
    }
    return found;
}

void fleet::cut(const machine& one, const std::vector<machine*>& others)
{
    std::string names;
    for (const machine* it : others) {
        if (it != &one) {
            cuts_.insert({&one, it});
            cuts_.insert({it, &one});
            names += " " + it->name;
        }
    }
    record_.note(one.name + " is silently cut from" + names);
}

void fleet::heal()
{
    if (!cuts_.empty()) {
        cuts_.clear();
        record_.note("the cut heals");
    }
}

const machine* fleet::find_sender(const std::string& bytes) const
{
    const machine* found = nullptr;
    std::size_t first = std::string::npos;
    for (const auto& [it, at] : proxies_) {
        const std::size_t place =
            std::min(bytes.find(at->listens.text()), bytes.find(packed(at->listens)));
        if (place < first) {
            first = place;
            found = it;
        }
    }
    return found;
}

}  // namespace review
