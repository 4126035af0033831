#include <QCoreApplication>
#include <QTemporaryDir>
#include <atomic>
#include <catch2/catch.hpp>
#include <set>

#include "base/metrics.h"
#include "control/control_service.h"
#include "entry/lease_client.h"

using namespace balsamdrift;

namespace {

constexpr const char* secret = "secret-of-the-test";

/// Messages of this type that any node of this process has received.
std::uint64_t received(const std::string& type)
{
    return find_counter("balsamdrift_fleet_messages_total",
                        "direction=\"received\",type=\"" + type + "\"")
        .value();
}

void run_events(duration length)
{
    const time_point end = monotonic_clock::now() + length;
    while (monotonic_clock::now() < end) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
}

}  // namespace

TEST_CASE("differences that the control leader sends give an entry all of its instructions",
          "[lease]")
{
    QTemporaryDir folder;
    fleet_node control_node({.listen = {"127.0.0.1", 0}, .secret = secret});
    std::atomic<control_service*> control = nullptr;
    REQUIRE(succeeded(control_node.start([&](fleet_message it) {
        if (control_service* const to = control) {
            to->receive(std::move(it));
        }
    })));
    failover_requests requests;
    requests.request_status = [](const auto&, const auto& on_answer) { on_answer({}); };
    requests.promote = [](const auto&, const auto&) {};
    requests.step_down = [](const auto&, const auto&) {};
    control_service member({.name = "c1",
                            .data_folder = folder.path().toStdString(),
                            .members = {{{"c1", 0}, control_node.address()}},
                            .assigns_owners = false},
                           control_node, requests);
    REQUIRE(succeeded(member.start()));
    control = &member;

    fleet_node entry_node({.listen = {"127.0.0.1", 0}, .secret = secret});
    entry_view view({"entry", 5});
    std::atomic<lease_client*> client = nullptr;
    REQUIRE(succeeded(entry_node.start([&](fleet_message it) {
        if (lease_client* const to = client) {
            to->receive(std::move(it));
        }
    })));
    std::set<std::string> directory;
    share_grant held;
    std::vector<std::string> control_members;
    lease_client lease({.record = {.incarnation = 5, .address = entry_node.address()},
                        .control = {control_node.address()},
                        .make_report =
                            [&] {
                                return entry_report{.connections = {.demand = {{"i1", 3.0}},
                                                                    .held = held,
                                                                    .measured = true}};
                            },
                        .on_instructions =
                            [&](const entry_instructions& it) {
                                for (const instance_heartbeat& instance : it.instances) {
                                    directory.insert(instance.instance);
                                }
                                if (it.entry_count > 0) {
                                    held = it.connections;
                                }
                            }},
                       view, entry_node);
    client = &lease;
    lease.start([] {});
    run_events(milliseconds(2500));
    REQUIRE(view.holds_lease(monotonic_clock::now()));
    const std::uint64_t renewals = received("lease_renewal");
    CHECK(renewals >= 1);
    // An instance appears while the entry sends differences only, and its connections are divided.
    declared_configuration conf{.version = 1};
    conf.services["s"] = {.connections = 40};
    member.propose(replace_declared{conf}, [](const proposal_outcome&) {});
    member.handle_heartbeat({.instance = "i1", .service = "s", .address = "127.0.0.1:1"});
    run_events(milliseconds(2500));
    CHECK(view.holds_lease(monotonic_clock::now()));
    CHECK(received("lease_renewal") >= renewals + 3);
    CHECK(directory == std::set<std::string>{"i1"});
    CHECK(held.shares.contains("i1"));
    entry_node.stop();
    control_node.stop();
}
