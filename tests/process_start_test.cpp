#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <QElapsedTimer>
#include <QProcess>
#include <QTcpServer>
#include <QTemporaryDir>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>

// Guards against processes that end by themselves, or do not start, because of what a real machine
// does to them: limits, signals, broken standard streams, addresses and files that are not there
// yet.

namespace {

constexpr int start_timeout_ms = 15'000;
constexpr int stop_timeout_ms = 10'000;

/// One control member with files of its own, which leads a group of one.
class member_process {
public:
    member_process()
    {
        static int number = 0;
        // Each process of the test has a loopback address of its own.
        address_ = "127.77." + std::to_string(getpid() % 250) + "." + std::to_string(++number);
        std::ofstream(path("secret")) << "a secret of sixteen bytes\n";
        write_settings("first_start: true");
        process_.setProcessChannelMode(QProcess::MergedChannels);
    }

    ~member_process()
    {
        if (process_.state() != QProcess::NotRunning) {
            process_.kill();
            process_.waitForFinished(stop_timeout_ms);
        }
    }

    std::string path(const std::string& name) const
    {
        return folder_.path().toStdString() + "/" + name;
    }

    const std::string& address() const { return address_; }

    std::string settings(const std::string& name = "member.yaml") const { return path(name); }

    std::string settings_text(const std::string& extra) const
    {
        return "role: control\nname: member\ndata_folder: " + path("data") +
               "\noperator_token_file: secret\nfleet: {listen: \"" + address_ +
               ":7600\", secret_file: secret}\noperators: {listen: \"" + address_ +
               ":7601\"}\ncoordination:\n  platform: {listen: \"" + address_ +
               ":7602\", also_listen: [\"" + address_ + ":7603\"]}\n  promotions: \"" + address_ +
               ":7604\"\n  disks_lost_at_once: 0\n  regions: {z: r}\n  seed_hosts: [\"" + address_ +
               ":7602\"]\n  " + extra + "\n";
    }

    void write_settings(const std::string& extra)
    {
        std::ofstream(settings()) << settings_text(extra);
    }

    /// Called in the child before it runs the program.
    void on_child(const std::function<void()>& function)
    {
        process_.setChildProcessModifier(function);
    }

    QProcess& process() { return process_; }

    void start(const QStringList& arguments)
    {
        process_.start(QString::fromUtf8(BALSAMDRIFT_BINARIES "/balsamdrift"), arguments);
        REQUIRE(process_.waitForStarted(start_timeout_ms));
    }

    void start() { start({"--settings", QString::fromStdString(settings())}); }

    /// Waits until the output holds the text.
    bool wait_for(const std::string& text, int timeout_ms = start_timeout_ms)
    {
        QElapsedTimer clock;
        clock.start();
        while (output().find(text) == std::string::npos) {
            if (clock.elapsed() > timeout_ms || process_.state() == QProcess::NotRunning) {
                return output().find(text) != std::string::npos;
            }
            process_.waitForReadyRead(20);
        }
        return true;
    }

    const std::string& output()
    {
        output_ += process_.readAll().toStdString();
        return output_;
    }

    bool is_running()
    {
        process_.waitForFinished(1);
        return process_.state() == QProcess::Running;
    }

    void signal(int number) { ::kill(static_cast<pid_t>(process_.processId()), number); }

    /// Asks the process to stop. Returns whether it ended in time and with success.
    bool stop()
    {
        signal(SIGTERM);
        return ends_with(0);
    }

    bool ends_with(int code)
    {
        return process_.waitForFinished(stop_timeout_ms) &&
               process_.exitStatus() == QProcess::NormalExit && process_.exitCode() == code;
    }

private:
    QTemporaryDir folder_;
    std::string address_;
    QProcess process_;
    std::string output_;
};

void limit_address_space(rlim_t bytes)
{
    const rlimit limit{bytes, bytes};
    ::setrlimit(RLIMIT_AS, &limit);
}

/// The smallest address space, in bytes and steps of 4 MiB, in which the program is loaded and
/// reads its command line.
rlim_t smallest_address_space()
{
    constexpr rlim_t step = 4UL << 20U;
    constexpr rlim_t largest = 1UL << 30U;
    for (rlim_t bytes = step; bytes < largest; bytes += step) {
        member_process it;
        it.on_child([=] { limit_address_space(bytes); });
        it.process().start(QString::fromUtf8(BALSAMDRIFT_BINARIES "/balsamdrift"), {"--version"});
        if (it.process().waitForStarted(start_timeout_ms) && it.ends_with(0)) {
            return bytes;
        }
    }
    return largest;
}

/// Whether something accepts connections at the address.
bool accepts(const std::string& address, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &to.sin_addr);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): as connect(2) asks for it.
    const bool ok = ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
    ::close(fd);
    return ok;
}

bool wait_until_accepts(const std::string& address, std::uint16_t port)
{
    QElapsedTimer clock;
    clock.start();
    while (!accepts(address, port)) {
        if (clock.elapsed() > start_timeout_ms) {
            return false;
        }
        ::usleep(20'000);
    }
    return true;
}

/// Blocks until a reader has opened the named pipe; then writes to it.
int open_for_reader(const std::string& pipe)
{
    QElapsedTimer clock;
    clock.start();
    while (clock.elapsed() < start_timeout_ms) {
        const int fd = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        if (fd >= 0) {
            return fd;
        }
        ::usleep(5'000);
    }
    return -1;
}

}  // namespace

TEST_CASE("a member whose files cannot grow keeps running", "[process_start]")
{
    member_process it;
    it.on_child([] {
        const rlimit limit{100, 100};
        ::setrlimit(RLIMIT_FSIZE, &limit);
    });
    it.start();
    REQUIRE(it.wait_for("storage_failed"));
    REQUIRE(it.wait_for("ready "));
    CHECK(it.is_running());
    CHECK(it.stop());
}

TEST_CASE("a log file that cannot grow for a while loses only the lines of that while",
          "[process_start]")
{
    member_process it;
    const std::string log = it.path("events.log");
    it.write_settings("first_start: true\nlog_file: " + log);
    it.on_child([] {
        const rlimit limit{300, RLIM_INFINITY};
        ::setrlimit(RLIMIT_FSIZE, &limit);
    });
    it.start();
    REQUIRE(it.wait_for("ready "));
    REQUIRE(wait_until_accepts(it.address(), 7602));
    // The limit is lifted for the running process, as room returns to a disk.
    const rlimit unlimited{RLIM_INFINITY, RLIM_INFINITY};
    REQUIRE(::prlimit(static_cast<pid_t>(it.process().processId()), RLIMIT_FSIZE, &unlimited,
                      nullptr) == 0);
    CHECK(it.stop());
    std::ifstream in(log);
    const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    CHECK(text.find("process_stopped") != std::string::npos);
}

TEST_CASE("signals before the settings are read do not end the process", "[process_start]")
{
    for (const int number : {SIGHUP, SIGPIPE, SIGXFSZ}) {
        member_process it;
        const std::string pipe = it.path("pipe.yaml");
        REQUIRE(::mkfifo(pipe.c_str(), 0600) == 0);
        it.start({"--check", "--settings", QString::fromStdString(pipe)});
        const int fd = open_for_reader(pipe);
        // The reader may have ended.
        std::signal(SIGPIPE, SIG_IGN);
        REQUIRE(fd >= 0);
        it.signal(number);
        ::usleep(50'000);
        const std::string text = it.settings_text("first_start: true");
        CHECK(::write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        ::close(fd);
        CHECK(it.ends_with(0));
    }
}

TEST_CASE("closed standard descriptors do not become sockets or files", "[process_start]")
{
    member_process it;
    it.on_child([] {
        ::close(0);
        ::close(1);
        ::close(2);
    });
    it.start();
    REQUIRE(wait_until_accepts(it.address(), 7602));
    for (const char* fd : {"0", "1", "2"}) {
        const std::string target = std::filesystem::read_symlink(
            "/proc/" + std::to_string(it.process().processId()) + "/fd/" + fd);
        CHECK(target == "/dev/null");
    }
    CHECK(it.stop());
}

TEST_CASE("a process whose output nobody reads becomes ready and stops", "[process_start]")
{
    member_process it;
    int ends[2];
    REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
    // Full, so that the first write blocks.
    ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
    const std::string filler(4096, 'x');
    while (::write(ends[1], filler.data(), filler.size()) > 0) {
    }
    ::fcntl(ends[1], F_SETFL, 0);
    it.on_child([&] {
        ::dup2(ends[1], 1);
        ::dup2(ends[1], 2);
    });
    it.start();
    CHECK(wait_until_accepts(it.address(), 7602));
    ::usleep(300'000);
    CHECK(it.stop());
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST_CASE("the settings are found at the place that the environment names", "[process_start]")
{
    member_process it;
    auto environment = QProcessEnvironment::systemEnvironment();
    environment.insert("BALSAMDRIFT_BOOT", QString::fromStdString(it.settings()));
    it.process().setProcessEnvironment(environment);
    it.start(QStringList{});
    CHECK(it.wait_for("ready "));
    CHECK(it.stop());
}

TEST_CASE("a settings file that is written while the process starts is awaited", "[process_start]")
{
    member_process it;
    const std::string text = it.settings_text("first_start: true");
    // Half of the file, then none, then the whole.
    std::ofstream(it.settings()) << text.substr(0, text.size() / 2);
    it.start();
    ::usleep(300'000);
    std::filesystem::remove(it.settings());
    ::usleep(300'000);
    CHECK(it.is_running());
    it.write_settings("first_start: true");
    CHECK(it.wait_for("ready "));
    CHECK(it.stop());
}

TEST_CASE("a settings file that cannot be read is reported", "[process_start]")
{
    member_process it;
    it.start({"--check", "--settings", QString::fromStdString(it.path("."))});
    CHECK(it.ends_with(78));
    CHECK(it.output().find("cannot be read") != std::string::npos);
}

TEST_CASE("a member whose files cannot be read keeps running and tries again", "[process_start]")
{
    member_process it;
    // Each read of a folder fails, like those of a broken disk.
    std::filesystem::create_directories(it.path("data") + "/incarnation");
    it.start();
    REQUIRE(it.wait_for("storage_failed"));
    REQUIRE(it.wait_for("ready "));
    CHECK(it.is_running());
    std::filesystem::remove(it.path("data") + "/incarnation");
    CHECK(it.wait_for("storage_restored"));
    CHECK(it.stop());
}

TEST_CASE("an address in use for two seconds delays the start", "[process_start]")
{
    for (const quint16 port : {7600, 7601, 7602, 7603}) {
        member_process it;
        QTcpServer other;
        REQUIRE(other.listen(QHostAddress(QString::fromStdString(it.address())), port));
        it.start();
        CHECK(it.wait_for("address_awaited"));
        CHECK(it.wait_for(it.address() + ":" + std::to_string(port)));
        ::usleep(2'000'000);
        CHECK(it.is_running());
        other.close();
        CHECK(it.wait_for("ready "));
        CHECK(it.stop());
    }
}

TEST_CASE("a process that waits for an address stops when asked", "[process_start]")
{
    member_process it;
    QTcpServer other;
    REQUIRE(other.listen(QHostAddress(QString::fromStdString(it.address())), 7602));
    it.start();
    CHECK(it.wait_for("address_awaited"));
    CHECK(it.stop());
}

TEST_CASE("an address that stays in use ends the start with code 69", "[process_start]")
{
    member_process it;
    it.write_settings("first_start: true\nstart_limit: 300ms");
    QTcpServer other;
    REQUIRE(other.listen(QHostAddress(QString::fromStdString(it.address())), 7600));
    it.start();
    CHECK(it.ends_with(69));
    CHECK(it.output().find("cannot listen") != std::string::npos);
}

TEST_CASE("a killed process starts again at once at the same addresses", "[process_start]")
{
    member_process it;
    for (int n = 0; n < 5; ++n) {
        it.start();
        REQUIRE(wait_until_accepts(it.address(), 7602));
        it.process().kill();
        REQUIRE(it.process().waitForFinished(stop_timeout_ms));
    }
    it.start();
    CHECK(wait_until_accepts(it.address(), 7602));
    CHECK(it.stop());
    CHECK(it.output().find("address_awaited") == std::string::npos);
}

TEST_CASE("a process needs few threads and little address space", "[process_start]")
{
    member_process it;
    it.on_child([] {
        const rlimit limit{260UL << 20U, 260UL << 20U};
        ::setrlimit(RLIMIT_AS, &limit);
    });
    it.start();
    REQUIRE(it.wait_for("ready "));
    const std::filesystem::path tasks =
        "/proc/" + std::to_string(it.process().processId()) + "/task";
    const auto threads = std::distance(std::filesystem::directory_iterator(tasks),
                                       std::filesystem::directory_iterator());
    CHECK(threads <= 16);
    CHECK(it.stop());
}

TEST_CASE("a process that gets no threads says so and ends with code 71", "[process_start]")
{
    // Room for the program and its libraries, but not for the stacks of its threads. How much that
    // is depends on the processor's architecture and on the versions of the libraries.
    const rlim_t needed = smallest_address_space();
    for (const rlim_t further : {0U, 4U, 8U}) {
        INFO("MiB beyond what the program itself needs: " << further);
        member_process it;
        it.write_settings("first_start: true\nstart_limit: 300ms");
        it.on_child([=] { limit_address_space(needed + (further << 20U)); });
        it.start();
        CHECK(it.ends_with(71));
        CHECK(it.output().find("threads") != std::string::npos);
    }
}
