#include "fleet/fleet_node.h"

#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "base/time.h"

using namespace balsamdrift;

namespace {

/// Stands before a node. While `silent`, established connections pass nothing on, and new ones work
/// again once it is over: the old ones stay dead for good.
class silencing_proxy {
public:
    explicit silencing_proxy(std::uint16_t target) : target_(target)
    {
        server_.listen(QHostAddress::LocalHost);
        QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { accept(); });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server_.serverPort()); }
    void silence_open_connections() { ++epoch_; }
    int accepted() const { return accepted_; }

private:
    void accept()
    {
        ++accepted_;
        QTcpSocket* const from = server_.nextPendingConnection();
        auto* const to = new QTcpSocket(from);
        to->connectToHost(QHostAddress::LocalHost, target_);
        const int epoch = epoch_;
        const auto pass = [this, epoch](QTcpSocket* in, QTcpSocket* out) {
            const QByteArray bytes = in->readAll();
            if (epoch == epoch_) {
                out->write(bytes);
            }
        };
        QObject::connect(from, &QTcpSocket::readyRead, to, [=] { pass(from, to); });
        QObject::connect(to, &QTcpSocket::readyRead, from, [=] { pass(to, from); });
    }

    std::uint16_t target_;
    QTcpServer server_;
    int epoch_ = 0;
    int accepted_ = 0;
};

void run_events(duration span)
{
    const time_point end = monotonic_clock::now() + span;
    while (monotonic_clock::now() < end) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
}

}  // namespace

TEST_CASE("a connection that went silent for good is replaced", "[fleet]")
{
    std::atomic<int> heard = 0;
    fleet_node receiver({.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"});
    auto listening = receiver.start([&](const fleet_message&) { ++heard; });
    REQUIRE(succeeded(listening));
    silencing_proxy proxy(value_of(listening).port);
    fleet_node sender({.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"});
    REQUIRE(succeeded(sender.start([](const fleet_message&) {})));
    const auto send_for = [&](duration span) {
        const time_point end = monotonic_clock::now() + span;
        while (monotonic_clock::now() < end) {
            sender.send(proxy.address(), fleet_channel::lease, "hello");
            run_events(milliseconds(50));
        }
    };
    send_for(milliseconds(300));
    REQUIRE(heard > 0);
    proxy.silence_open_connections();
    const int before = heard;
    send_for(milliseconds(2500));
    CHECK(heard > before);
    CHECK(proxy.accepted() >= 2);
    sender.stop();
    receiver.stop();
}
