#include "fleet/fleet_node.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "base/time.h"

using namespace balsamdrift;

namespace {

/// TCP proxy in front of a node. After stall_open_connections(), connections that are open stay
/// open but never forward data again, while new connections work.
class stalling_proxy {
public:
    explicit stalling_proxy(std::uint16_t target = 0) : target_(target)
    {
        server_.listen(QHostAddress::LocalHost);
        QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { accept(); });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server_.serverPort()); }
    void set_target(std::uint16_t target) { target_ = target; }
    void stall_open_connections() { ++generation_; }
    int accepted_count() const { return accepted_count_; }

private:
    void accept()
    {
        ++accepted_count_;
        QTcpSocket* const from = server_.nextPendingConnection();
        auto* const to = new QTcpSocket(from);
        to->connectToHost(QHostAddress::LocalHost, target_);
        const int generation = generation_;
        const auto forward = [this, generation](QTcpSocket* in, QTcpSocket* out) {
            const QByteArray bytes = in->readAll();
            if (generation == generation_) {
                out->write(bytes);
            }
        };
        QObject::connect(from, &QTcpSocket::readyRead, to, [=] { forward(from, to); });
        QObject::connect(to, &QTcpSocket::readyRead, from, [=] { forward(to, from); });
    }

    std::uint16_t target_;
    QTcpServer server_;
    int generation_ = 0;
    int accepted_count_ = 0;
};

/// A port whose queue of new connections is full, so that the opening packet of a further
/// connection is dropped, as by a VM that is still starting. close() frees the port.
class unresponsive_port {
public:
    unresponsive_port()
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{.sin_family = AF_INET};
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(listener_, 0) == 0);
        REQUIRE(::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port_ = ntohs(address.sin_port);
        for (int& it : clients_) {
            it = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            (void)::connect(it, reinterpret_cast<sockaddr*>(&address), size);
        }
    }
    ~unresponsive_port() { close(); }
    unresponsive_port(const unresponsive_port&) = delete;
    unresponsive_port& operator=(const unresponsive_port&) = delete;

    std::uint16_t port() const { return port_; }
    void close()
    {
        for (int& it : clients_) {
            ::close(std::exchange(it, -1));
        }
        ::close(std::exchange(listener_, -1));
    }

private:
    int listener_ = -1;
    std::array<int, 3> clients_{};
    std::uint16_t port_ = 0;
};

void process_events_for(duration span)
{
    const time_point end = monotonic_clock::now() + span;
    while (monotonic_clock::now() < end) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
}

}  // namespace

TEST_CASE("a connection that stays open but stops delivering is replaced", "[fleet]")
{
    std::atomic<int> received = 0;
    fleet_node receiver({.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"});
    auto listen_endpoint = receiver.start([&](const fleet_message&) { ++received; });
    REQUIRE(succeeded(listen_endpoint));
    stalling_proxy proxy(value_of(listen_endpoint).port);
    fleet_node sender({.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"});
    REQUIRE(succeeded(sender.start([](const fleet_message&) {})));
    const auto send_for = [&](duration span) {
        const time_point end = monotonic_clock::now() + span;
        while (monotonic_clock::now() < end) {
            sender.send(proxy.address(), fleet_channel::lease, "hello");
            process_events_for(milliseconds(50));
        }
    };
    send_for(milliseconds(300));
    REQUIRE(received > 0);
    proxy.stall_open_connections();
    const int received_before = received;
    send_for(milliseconds(2500));
    CHECK(received > received_before);
    CHECK(proxy.accepted_count() >= 2);
    sender.stop();
    receiver.stop();
}

TEST_CASE("a connection that stops delivering is replaced although its peer keeps sending",
          "[fleet]")
{
    // Guards against an entry that gets neither configuration nor lease for good, because what it
    // sends hides from control that nothing arrives there.
    std::atomic<int> received = 0;
    stalling_proxy proxy;
    fleet_node receiver({.listen = {"127.0.0.1", 0},
                         .advertised = proxy.address(),
                         .secret = "secret-of-the-test"});
    auto listen_endpoint = receiver.start([&](const fleet_message&) { ++received; });
    REQUIRE(succeeded(listen_endpoint));
    proxy.set_target(value_of(listen_endpoint).port);
    fleet_node sender({.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"});
    REQUIRE(succeeded(sender.start([](const fleet_message&) {})));
    const auto exchange_for = [&](duration span) {
        const time_point end = monotonic_clock::now() + span;
        while (monotonic_clock::now() < end) {
            sender.send(proxy.address(), fleet_channel::lease, "hello");
            receiver.send(sender.address(), fleet_channel::lease, "still here");
            process_events_for(milliseconds(50));
        }
    };
    exchange_for(milliseconds(300));
    REQUIRE(received > 0);
    proxy.stall_open_connections();
    const int received_before = received;
    exchange_for(milliseconds(2500));
    CHECK(received > received_before);
    CHECK(proxy.accepted_count() == 2);
    sender.stop();
    receiver.stop();
}

TEST_CASE("a message waits for a second after the first packet to a starting peer was dropped",
          "[fleet]")
{
    unresponsive_port starting;
    const std::string address = "127.0.0.1:" + std::to_string(starting.port());
    fleet_node sender({.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"});
    REQUIRE(succeeded(sender.start([](const fleet_message&) {})));
    sender.send(address, fleet_channel::lease, "first");
    process_events_for(milliseconds(100));
    starting.close();

    std::atomic<int> received = 0;
    fleet_node peer({.listen = {"127.0.0.1", starting.port()}, .secret = "secret-of-the-test"});
    REQUIRE(succeeded(peer.start([&](const fleet_message&) { ++received; })));
    // The operating system repeats the dropped packet a second after it was sent.
    const time_point end = monotonic_clock::now() + milliseconds(600);
    while (received == 0 && monotonic_clock::now() < end) {
        sender.send(address, fleet_channel::lease, "repeated");
        process_events_for(milliseconds(20));
    }
    CHECK(received > 0);
    sender.stop();
    peer.stop();
}

TEST_CASE("a node goes on dialling a peer that was removed", "[fleet]")
{
    // Guards against processor time that grows with every VM that a site has lost.
    std::atomic<int> received = 0;
    fleet_node sender({.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"});
    REQUIRE(succeeded(sender.start([](const fleet_message&) {})));
    std::uint16_t port = 0;
    {
        unresponsive_port removed;
        port = removed.port();
    }
    const std::string address = "127.0.0.1:" + std::to_string(port);
    sender.send(address, fleet_channel::lease, "the last message");
    process_events_for(milliseconds(11'500));
    fleet_node later({.listen = {"127.0.0.1", port}, .secret = "secret-of-the-test"});
    REQUIRE(succeeded(later.start([&](const fleet_message&) { ++received; })));
    process_events_for(milliseconds(1000));
    CHECK(received == 0);
    sender.send(address, fleet_channel::lease, "a new message");
    process_events_for(milliseconds(1000));
    CHECK(received == 1);
    sender.stop();
    later.stop();
}

TEST_CASE("a connection is replaced because its last message needed no answer", "[fleet]")
{
    // Guards against connections between entries that are opened anew every second while control
    // is away, and against hints to the leader that take a new connection each.
    std::atomic<int> received = 0;
    fleet_node receiver({.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"});
    auto listen_endpoint = receiver.start([&](const fleet_message&) { ++received; });
    REQUIRE(succeeded(listen_endpoint));
    stalling_proxy proxy(value_of(listen_endpoint).port);
    fleet_node sender({.listen = {"127.0.0.1", 0}, .secret = "secret-of-the-test"});
    REQUIRE(succeeded(sender.start([](const fleet_message&) {})));
    for (int n = 0; n < 4; ++n) {
        sender.send(proxy.address(), fleet_channel::lease, "no, ask another", reply_expected::no);
        process_events_for(milliseconds(700));
    }
    CHECK(received == 4);
    CHECK(proxy.accepted_count() == 1);
    sender.stop();
    receiver.stop();
}
