#include <QProcess>
#include <QTemporaryDir>
#include <QThread>
#include <catch2/catch.hpp>
#include <fstream>
#include <string>

// Tests exit codes and messages of balsamdrift and balsamctl.

namespace {

/// Exit code and output, standard error included, of a program.
struct program_run {
    int exit_code = -1;
    std::string text;
};

program_run run(const std::string& program, const QStringList& arguments)
{
    QProcess process;
    process.setProcessChannelMode(QProcess::MergedChannels);
    process.start(QString::fromStdString(std::string(BALSAMDRIFT_BINARIES) + "/" + program),
                  arguments);
    process.waitForFinished(20'000);
    return {process.exitCode(), process.readAll().toStdString()};
}

bool has(const program_run& res, const std::string& text)
{
    return res.text.find(text) != std::string::npos;
}

QString settings_file(const std::string& name)
{
    return QString::fromStdString(std::string(BALSAMDRIFT_SOURCE_DIR) + "/settings/" + name);
}

}  // namespace

TEST_CASE("the default settings of each role are valid", "[command_line]")
{
    for (const char* name : {"control.yaml", "entry.yaml"}) {
        const auto res = run("balsamdrift", {"--check", "--settings", settings_file(name)});
        CHECK(res.exit_code == 0);
        CHECK(has(res, "the settings are valid"));
    }
}

TEST_CASE("invalid settings are rejected with file, line and key", "[command_line]")
{
    QTemporaryDir folder;
    const std::string path = folder.path().toStdString() + "/bad.yaml";
    std::ofstream(path) << "role: entry\nname: e1\nfleet:\n  listen: 127.0.0.1:99999\n  odd: 1\n";
    const auto res = run("balsamdrift", {"--settings", QString::fromStdString(path)});
    CHECK(res.exit_code == 78);
    CHECK(has(res, path + ":4: fleet.listen: expected an IP number and port"));
    CHECK(has(res, path + ":5: fleet.odd: expected a known key"));
    CHECK(has(res, "callers: expected a value"));
    const auto missing = run("balsamdrift", {"--settings", "/no/such/file.yaml"});
    CHECK(missing.exit_code == 78);
    CHECK(has(missing, "cannot be opened"));
}

TEST_CASE("a control member that cannot start exits with code 69", "[command_line]")
{
    QTemporaryDir folder;
    const std::string base = folder.path().toStdString();
    std::ofstream(base + "/secret") << "a secret of sixteen bytes\n";
    std::ofstream(base + "/c.yaml")
        << "role: control\nname: c\ndata_folder: /dev/null/x\n"
           "operator_token_file: secret\n"
           "fleet: {listen: \"127.0.0.1:0\", secret_file: secret}\n"
           "operators: {listen: \"127.0.0.1:0\"}\n"
           "control:\n  members: [{name: c, address: \"127.0.0.1:1\"}]\n";
    const auto res = run("balsamdrift", {"--settings", QString::fromStdString(base + "/c.yaml")});
    CHECK(res.exit_code == 69);
}

TEST_CASE("an idle control member whose peers are away wakes a hundred times a second",
          "[command_line]")
{
    // Guards against leases that run out where a machine has more idle processes than processors.
    QTemporaryDir folder;
    const std::string base = folder.path().toStdString();
    std::ofstream(base + "/secret") << "a secret of sixteen bytes\n";
    std::ofstream(base + "/c.yaml") << "role: control\nname: c\ndata_folder: " << base
                                    << "/data\noperator_token_file: secret\n"
                                       "fleet: {listen: \"127.0.0.1:0\", secret_file: secret}\n"
                                       "operators: {listen: \"127.0.0.1:0\"}\n"
                                       "control:\n  members: [{name: c, address: \"127.0.0.1:3\"}, "
                                       "{name: d, address: \"127.0.0.1:1\"}, "
                                       "{name: e, address: \"127.0.0.1:2\"}]\n";
    QProcess process;
    process.start(QString::fromStdString(std::string(BALSAMDRIFT_BINARIES) + "/balsamdrift"),
                  {"--settings", QString::fromStdString(base + "/c.yaml")});
    REQUIRE(process.waitForReadyRead(20'000));
    const auto count_wake_ups = [&] {
        std::ifstream status("/proc/" + std::to_string(process.processId()) + "/status");
        const std::string name = "voluntary_ctxt_switches:";
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(name)) {
                return std::stol(line.substr(name.size()));
            }
        }
        return -1L;
    };
    const long before = count_wake_ups();
    REQUIRE(before >= 0);
    QThread::msleep(2000);
    // 60 a second.
    CHECK(count_wake_ups() - before < 120);
    process.terminate();
    REQUIRE(process.waitForFinished(10'000));
    CHECK(process.exitCode() == 0);
}

TEST_CASE("wrong command lines exit with code 64 and help is printed", "[command_line]")
{
    CHECK(run("balsamdrift", {}).exit_code == 64);
    CHECK(has(run("balsamdrift", {"--version"}), "0.1.0"));
    CHECK(has(run("balsamctl", {"--help"}), "customer put NAME"));
    const QString token = settings_file("operator.token");
    CHECK(run("balsamctl", {"--token_file", token}).exit_code == 64);
    CHECK(run("balsamctl", {"--token_file", token, "no", "such"}).exit_code == 64);
    CHECK(run("balsamctl", {"--token_file", "/no/such/file", "status"}).exit_code == 64);
    const auto nobody = run("balsamctl", {"--token_file", token, "--control", "127.0.0.1:1",
                                          "--timeout_s", "1", "customer", "put", "x"});
    CHECK(nobody.exit_code == 69);
    CHECK(has(nobody, "change id"));
}
