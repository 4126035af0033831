#include "control/control_service.h"

#include <unistd.h>

#include <QCoreApplication>
#include <catch2/catch.hpp>
#include <filesystem>

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
