#include "control/control_service.h"

#include <unistd.h>

#include <QCoreApplication>
#include <QTemporaryDir>
#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <thread>

#include "base/codec.h"
#include "base/random.h"

using namespace balsamdrift;

namespace {

/// A control group of one member, with a data folder and a port of its own.
struct member_fixture {
    std::string folder =
        (std::filesystem::temp_directory_path() / ("balsamdrift-" + std::to_string(::getpid())))
            .string();
    fleet_node fleet{{.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"}};
    std::unique_ptr<control_service> control;

    member_fixture()
    {
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        auto listening = fleet.start([this](fleet_message it) {
            if (control) {
                control->receive(std::move(it));
            }
        });
        REQUIRE(succeeded(listening));
        control = std::make_unique<control_service>(
            control_options{.name = "c1",
                            .data_folder = folder,
                            .members = {{{"c1", 0}, fleet.address()}},
                            .election_timeout = milliseconds(100),
                            .election_jitter = milliseconds(20)},
            fleet);
        REQUIRE(succeeded(control->start()));
    }
    ~member_fixture()
    {
        fleet.stop();
        std::filesystem::remove_all(folder);
    }
};

/// Processes Qt events for this time.
void run_events(duration span)
{
    const time_point end = monotonic_clock::now() + span;
    while (monotonic_clock::now() < end) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
}

/// A loopback address of this test process alone. On a shared one, the port of a member that is
/// restarted could be taken meanwhile by a test that runs beside it.
std::string own_loopback_address()
{
    constexpr int range = 250;
    const int number = ::getpid();
    return "127." + std::to_string(1 + number / range % range) + "." +
           std::to_string(number % range) + ".1";
}

/// One process of a control member: its data folder outlives it, and its successor listens on the
/// same address.
class member_process {
public:
    /// Port zero: any free one.
    explicit member_process(std::uint16_t port)
        : fleet_({.listen = {own_loopback_address(), port}, .secret = "secret-of-the-test"})
    {
        auto listening = fleet_.start([this](fleet_message it) {
            if (control_service* const to = receiver_.load()) {
                to->receive(std::move(it));
            }
        });
        REQUIRE(succeeded(listening));
        port_ = value_of(listening).port;
    }
    ~member_process()
    {
        fleet_.stop();
        receiver_ = nullptr;
    }

    void start(const std::string& name, const std::string& folder,
               const std::vector<voter>& members)
    {
        control_ =
            std::make_unique<control_service>(control_options{.name = name,
                                                              .data_folder = folder,
                                                              .members = members,
                                                              .failure_domains = {"brest-port"}},
                                              fleet_);
        REQUIRE(succeeded(control_->start()));
        receiver_ = control_.get();
    }

    std::uint16_t port() const { return port_; }
    std::string address() const { return fleet_.address(); }
    control_service& control() { return *control_; }

private:
    fleet_node fleet_;
    std::uint16_t port_ = 0;
    std::atomic<control_service*> receiver_ = nullptr;
    std::unique_ptr<control_service> control_;
};

/// A control group of three members in one process of the test.
struct group_fixture {
    QTemporaryDir folder;
    std::vector<voter> members;
    std::array<std::unique_ptr<member_process>, 3> processes;

    group_fixture()
    {
        for (std::size_t n = 0; n < processes.size(); ++n) {
            processes[n] = std::make_unique<member_process>(0);
            members.push_back({{name_of(n), 0}, processes[n]->address()});
        }
        for (std::size_t n = 0; n < processes.size(); ++n) {
            start(n);
        }
    }

    static std::string name_of(std::size_t n) { return "c" + std::to_string(n); }
    void start(std::size_t n)
    {
        processes[n]->start(name_of(n), folder.path().toStdString() + "/" + name_of(n), members);
    }
    /// Ends the process of a member and starts another on its address and data folder, after the
    /// others have run on for this time.
    void restart(std::size_t n, duration down)
    {
        const std::uint16_t port = processes[n]->port();
        processes[n].reset();
        run_events(down);
        processes[n] = std::make_unique<member_process>(port);
        start(n);
    }
    /// Waits for a leader and returns its number.
    std::size_t wait_for_leader()
    {
        for (int tries = 0; tries < 100; ++tries) {
            run_events(milliseconds(50));
            for (std::size_t n = 0; n < processes.size(); ++n) {
                if (processes[n]->control().status().leads) {
                    return n;
                }
            }
        }
        FAIL("no leader was elected");
        return 0;
    }
    std::uint64_t version_at(std::size_t n)
    {
        return processes[n]->control().status().state->declared.version;
    }
    bool is_evacuated_at(std::size_t n, const std::string& domain)
    {
        return is_evacuated(*processes[n]->control().status().state, domain);
    }
    /// Submits a command to a member and waits for its result.
    std::pair<bool, std::string> submit(std::size_t n, const registry_command& command)
    {
        std::optional<std::pair<bool, std::string>> result;
        processes[n]->control().submit(command, [&](bool settled, const std::string& text) {
            result = {settled, text};
        });
        for (int tries = 0; tries < 40 && !result; ++tries) {
            run_events(milliseconds(50));
        }
        REQUIRE(result);
        return *result;
    }
};

}  // namespace

TEST_CASE("reads that wait for a leader are all answered once there is one", "[control]")
{
    member_fixture it;
    int settled_reads = 0;
    for (int n = 0; n < 5; ++n) {
        it.control->read_declared_configuration(
            [&](bool done, const std::string&) { settled_reads += done ? 1 : 0; });
    }
    run_events(milliseconds(800));
    CHECK(settled_reads == 5);
}

TEST_CASE("a submitted configuration can be read once it has settled", "[control]")
{
    member_fixture it;
    run_events(milliseconds(400));
    bool settled = false;
    declared_configuration configuration{.version = 3, .document = "{}"};
    it.control->submit(replace_declared{configuration},
                       [&](bool done, const std::string&) { settled = done; });
    run_events(milliseconds(300));
    REQUIRE(settled);
    std::string document;
    it.control->read_declared_configuration(
        [&](bool, const std::string& text) { document = text; });
    run_events(milliseconds(100));
    CHECK(document == "{}");
}

TEST_CASE("a change is not acknowledged by the late result of an earlier process's change",
          "[control]")
{
    group_fixture group;
    const std::size_t leader = group.wait_for_leader();
    const std::size_t restarted = (leader + 1) % group.processes.size();
    const auto submit = [&](std::uint64_t version, control_service::submit_handler on_done) {
        const declared_configuration configuration{.version = version, .document = "{}"};
        group.processes[restarted]->control().submit(replace_declared{configuration},
                                                     std::move(on_done));
    };
    submit(5, [](bool, const std::string&) {});
    // Forwards the change. The time is for the message to reach the leader, which handles it only
    // once the process that forwarded it has ended.
    QCoreApplication::processEvents();
    std::this_thread::sleep_for(milliseconds(50));
    group.restart(restarted, milliseconds(300));
    REQUIRE(group.version_at(leader) == 5);
    bool settled = false;
    std::uint64_t version_when_settled = 0;
    submit(6, [&](bool done, const std::string&) {
        settled = done;
        version_when_settled = group.version_at(leader);
    });
    run_events(milliseconds(1500));
    CHECK(settled);
    CHECK(version_when_settled == 6);
    CHECK(group.version_at(leader) == 6);
}

TEST_CASE("an entry that starts is sent the whole history instead of the smaller registry",
          "[control]")
{
    member_fixture it;
    run_events(milliseconds(400));
    // Each version replaces the one before, so the history outgrows the state. Random names do not
    // compress.
    random_engine random(1);
    for (std::uint64_t version = 1; version <= 40; ++version) {
        std::string name(2000, ' ');
        std::generate(name.begin(), name.end(), [&] { return static_cast<char>(random()); });
        declared_configuration configuration{.version = version};
        configuration.routes[name] = {};
        it.control->submit(replace_declared{configuration}, [](bool, const std::string&) {});
        run_events(milliseconds(20));
    }
    std::atomic<std::size_t> update_bytes = 0;
    std::atomic<bool> has_snapshot = false;
    fleet_node entry({.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"});
    REQUIRE(succeeded(entry.start([&](const fleet_message& message) {
        const auto decoded = decode_variant<lease_message>(message.body);
        const auto* const grant = succeeded(decoded)
                                      ? std::get_if<lease_grant>(&std::get<lease_message>(decoded))
                                      : nullptr;
        if (grant != nullptr && (!grant->snapshot.empty() || !grant->entries.empty())) {
            has_snapshot = !grant->snapshot.empty();
            update_bytes = message.body.size();
        }
    })));
    const lease_request request{.entry = "e1",
                                .record = {.incarnation = 7, .address = entry.address()}};
    const time_point end = monotonic_clock::now() + seconds(2);
    while (update_bytes == 0 && monotonic_clock::now() < end) {
        entry.send(it.fleet.address(), fleet_channel::lease,
                   encode_variant(lease_message{request}));
        run_events(milliseconds(50));
    }
    CHECK(has_snapshot);
    CHECK(update_bytes > 0);
    CHECK(update_bytes < 20'000);
    entry.stop();
}

TEST_CASE("an acknowledged evacuation is not forgotten by a new leader or a restarted member",
          "[control]")
{
    group_fixture group;
    const std::size_t leader = group.wait_for_leader();
    const std::size_t follower = (leader + 1) % group.processes.size();
    REQUIRE(group.submit(follower, evacuate_domain{"brest-port"}).first);
    CHECK(group.is_evacuated_at(leader, "brest-port"));
    group.restart(leader, milliseconds(1500));
    const std::size_t successor = group.wait_for_leader();
    CHECK(group.is_evacuated_at(successor, "brest-port"));
    // The order is resent after its acknowledgement was lost.
    CHECK(group.submit(leader, evacuate_domain{"brest-port"}).first);
    CHECK(group.is_evacuated_at(leader, "brest-port"));
    REQUIRE(group.submit(successor, restore_domain{"brest-port"}).first);
    CHECK(!group.is_evacuated_at(successor, "brest-port"));
}

// Guards against an instance that keeps reporting to a member whose leader does not hear of it.
TEST_CASE("a heartbeat is settled by the leader, whichever member received it", "[control]")
{
    group_fixture group;
    const std::size_t leader = group.wait_for_leader();
    const std::size_t follower = (leader + 1) % group.processes.size();
    const std::size_t other = (leader + 2) % group.processes.size();
    const auto is_settled = [&] {
        std::optional<bool> result;
        group.processes[follower]->control().handle_heartbeat(
            {.instance = "i1", .failure_domain = "saint-malo"},
            [&](bool settled, const std::string&) { result = settled; });
        for (int tries = 0; tries < 40 && !result; ++tries) {
            run_events(milliseconds(50));
        }
        REQUIRE(result);
        return *result;
    };
    CHECK(is_settled());
    CHECK(group.submit(leader, evacuate_domain{"saint-malo"}).first);
    group.processes[leader].reset();
    group.processes[other].reset();
    CHECK(!is_settled());
}

TEST_CASE("an order for an unknown domain is refused by every member and changes nothing",
          "[control]")
{
    group_fixture group;
    const std::size_t leader = group.wait_for_leader();
    for (std::size_t n = 0; n < group.processes.size(); ++n) {
        const auto [settled, refusal] = group.submit(n, evacuate_domain{"saint-malo"});
        CHECK(!settled);
        CHECK(refusal == "no failure domain 'saint-malo'");
    }
    CHECK(!group.is_evacuated_at(leader, "saint-malo"));
    // The instance's domain is known on every member, whichever received its heartbeat.
    const std::size_t follower = (leader + 1) % group.processes.size();
    group.processes[follower]->control().handle_heartbeat(
        {.instance = "i1", .failure_domain = "saint-malo"});
    run_events(milliseconds(200));
    CHECK(group.submit((leader + 2) % group.processes.size(), evacuate_domain{"saint-malo"}).first);
}
