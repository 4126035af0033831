#include <gflags/gflags.h>

#include <QCoreApplication>
#include <QTcpServer>
#include <csignal>
#include <cstdio>

#include "base/event_log.h"
#include "rig/standin/instance.h"
#include "rig/standin/pg_session.h"

DEFINE_string(group, "registry", "database group of the instance");
DEFINE_string(name, "registry-1", "name of the instance");
DEFINE_string(failure_domain, "brest-port", "failure domain of the instance");
DEFINE_string(listen, "127.0.0.1:0", "address:port for SQL");
DEFINE_string(replication, "127.0.0.1:0", "address:port for replication and fault commands");
DEFINE_string(peers, "", "replication addresses of the other instances, separated by commas");
DEFINE_string(announce_to, "", "platform addresses of entries, separated by commas");
DEFINE_bool(primary, false, "start as the primary");
DEFINE_int32(ship_delay_ms, 1, "time until a replica has received a commit, in milliseconds");
DEFINE_int32(apply_lag_ms, 50, "time until reads on a replica see it, in milliseconds");
DEFINE_int32(service_ms, 1, "time that a statement takes, in milliseconds");
DEFINE_int32(slots, 3, "statements that run at once");
DEFINE_int32(connections, 20, "connections that are accepted");
DEFINE_int32(connect_ms, 12, "time that a new connection takes, in milliseconds");
DEFINE_int32(rejoin_ms, 2000, "time until a replaced primary follows its successor");
DEFINE_string(run_log, "", "file that every committed change is appended to");

namespace {

using namespace balsamdrift;
using namespace balsamdrift::rig;

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> parts;
    for (const QString& it : QString::fromStdString(text).split(',', Qt::SkipEmptyParts)) {
        parts.push_back(it.toStdString());
    }
    return parts;
}

endpoint parse_address_flag(const std::string& text)
{
    auto parsed = parse_endpoint(text);
    if (!succeeded(parsed)) {
        std::fprintf(stderr, "%s\n", failure_of(parsed).message.c_str());
        std::exit(64);
    }
    return value_of(parsed);
}

instance_options options_from_flags()
{
    return {.group = FLAGS_group,
            .name = FLAGS_name,
            .failure_domain = FLAGS_failure_domain,
            .listen = parse_address_flag(FLAGS_listen),
            .replication = parse_address_flag(FLAGS_replication),
            .replication_peers = split_list(FLAGS_peers),
            .announce_to = split_list(FLAGS_announce_to),
            .starts_as_primary = FLAGS_primary,
            .ship_delay = milliseconds(FLAGS_ship_delay_ms),
            .apply_lag = milliseconds(FLAGS_apply_lag_ms),
            .service_time = milliseconds(FLAGS_service_ms),
            .slots = FLAGS_slots,
            .connection_limit = FLAGS_connections,
            .connect_time = milliseconds(FLAGS_connect_ms),
            .rejoin_delay = milliseconds(FLAGS_rejoin_ms),
            .run_log = FLAGS_run_log};
}

}  // namespace

// Runs a stand-in for a PostgreSQL instance. Prints `ready sql=ADDRESS replication=ADDRESS` once it
// listens on both addresses.
int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in database instance for tests and experiments");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    QCoreApplication app(argc, argv);
    open_event_log({.process = FLAGS_name, .file = ""});
    std::signal(SIGTERM, [](int) { std::_Exit(0); });
    std::signal(SIGINT, [](int) { std::_Exit(0); });

    instance it(options_from_flags());
    QTcpServer server;
    QObject sessions;
    it.on_sessions_invalidated = [&sessions] { qDeleteAll(sessions.children()); };
    QObject::connect(&server, &QTcpServer::newConnection, &server, [&] {
        while (QTcpSocket* socket = server.nextPendingConnection()) {
            new pg_session(socket, it, &sessions);
        }
    });
    const endpoint listen = it.options().listen;
    if (!server.listen(QHostAddress(QString::fromStdString(listen.address)), listen.port)) {
        std::fprintf(stderr, "cannot listen on %s\n", to_string(listen).c_str());
        return 69;
    }
    const endpoint sql_address{listen.address, server.serverPort()};
    auto started = it.start(sql_address);
    if (!succeeded(started)) {
        std::fprintf(stderr, "%s\n", failure_of(started).message.c_str());
        return 69;
    }
    std::printf("ready sql=%s replication=%s\n", to_string(sql_address).c_str(),
                to_string(value_of(started)).c_str());
    std::fflush(stdout);
    return QCoreApplication::exec();
}
