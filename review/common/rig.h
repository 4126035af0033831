// Test rig of the review cases: starts the project's programs as separate processes on loopback
// addresses and plays their peers: database instances, the platform's promotion call, the operator
// and callers. POSIX sockets only, no dependencies.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using clk = std::chrono::steady_clock;

inline clk::time_point start_time() {
    static const clk::time_point at = clk::now();
    return at;
}

/// Seconds since the start of the run.
inline double now_s() { return std::chrono::duration<double>(clk::now() - start_time()).count(); }

inline void sleep_s(double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); }

// ---- the record ----

inline FILE*& record_file() {
    static FILE* file = stdout;
    return file;
}

/// Writes one line to record.txt.
__attribute__((format(printf, 1, 2))) inline void note(const char* format, ...) {
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    char text[2048];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    fprintf(record_file(), "%9.3f  %s\n", now_s(), text);
    fflush(record_file());
}

/// Ends with code 2: the case could not run.
[[noreturn]] inline void cannot_run(const std::string& why);

// ---- processes ----

struct process {
    std::string name;
    std::string log;
    pid_t pid = -1;
    int fd_limit = 0;  // 0: as inherited
};

inline std::vector<process*>& all_processes() {
    static std::vector<process*> all;
    return all;
}

inline void start_process(process& it, const std::vector<std::string>& args) {
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        const int fd = open(it.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, 1);
        dup2(fd, 2);
        for (int n = 3; n < 8192; ++n) {
            close(n);
        }
        if (it.fd_limit > 0) {
            const rlimit limit{static_cast<rlim_t>(it.fd_limit), static_cast<rlim_t>(it.fd_limit)};
            setrlimit(RLIMIT_NOFILE, &limit);
        }
        std::vector<char*> argv;
        for (const std::string& arg : args) {
            argv.push_back(const_cast<char*>(arg.c_str()));
        }
        argv.push_back(nullptr);
        execv(argv[0], argv.data());
        _exit(127);
    }
    it.pid = pid;
    for (process* other : all_processes()) {
        if (other == &it) {
            return;
        }
    }
    all_processes().push_back(&it);
}

inline void send_signal(const process& it, int number) {
    if (it.pid > 0) {
        kill(it.pid, number);
    }
}

/// True while the process has not ended.
inline bool is_running(process& it) {
    if (it.pid <= 0) {
        return false;
    }
    int status = 0;
    if (waitpid(it.pid, &status, WNOHANG) == it.pid) {
        note("process %s ended by itself, wait status %d", it.name.c_str(), status);
        it.pid = -1;
        return false;
    }
    return true;
}

inline void end_processes() {
    for (process* it : all_processes()) {
        if (it->pid > 0) {
            kill(it->pid, SIGCONT);
            kill(it->pid, SIGKILL);
            waitpid(it->pid, nullptr, 0);
            it->pid = -1;
        }
    }
}

// ---- sockets ----

/// `127.a.b.c:port`
struct address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline address parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), atoi(text.c_str() + colon + 1)};
}

inline sockaddr_in to_sockaddr(const address& at) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
    return out;
}

inline int listen_on(const address& at, int backlog = 512) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in to = to_sockaddr(at);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 ||
        listen(fd, backlog) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/// Connects within the timeout; -1 on failure.
inline int connect_to(const address& at, double timeout_s) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        return -1;
    }
    const sockaddr_in to = to_sockaddr(at);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        pollfd p{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || poll(&p, 1, static_cast<int>(timeout_s * 1000)) != 1 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// Reads lines that end in CRLF.
struct line_reader {
    int fd = -1;
    std::string buffer;

    /// Nothing at the end of the stream, on an error or after the timeout.
    std::optional<std::string> next(double timeout_s) {
        const double until = now_s() + timeout_s;
        while (true) {
            const auto end = buffer.find("\r\n");
            if (end != std::string::npos) {
                std::string line = buffer.substr(0, end);
                buffer.erase(0, end + 2);
                return line;
            }
            const double left = until - now_s();
            pollfd p{fd, POLLIN, 0};
            if (left <= 0 || poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0) {
                return std::nullopt;
            }
            char bytes[8192];
            const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
            if (n <= 0) {
                return std::nullopt;
            }
            buffer.append(bytes, static_cast<std::size_t>(n));
        }
    }
};

// ---- HTTP ----

struct http_result {
    int status = 0;  // 0: no answer
    std::string body;
};

inline http_result http(const address& at, const std::string& method, const std::string& path,
                        const std::string& body, double timeout_s) {
    const double until = now_s() + timeout_s;
    const int fd = connect_to(at, timeout_s);
    if (fd < 0) {
        return {};
    }
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + at.text() +
                          "\r\nContent-Type: application/json\r\nConnection: close\r\n"
                          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string answer;
    if (send_all(fd, request)) {
        while (true) {
            const double left = until - now_s();
            pollfd p{fd, POLLIN, 0};
            if (left <= 0 || poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0) {
                close(fd);
                return {};
            }
            char bytes[16384];
            const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
            if (n <= 0) {
                break;
            }
            answer.append(bytes, static_cast<std::size_t>(n));
        }
    }
    close(fd);
    http_result out;
    if (answer.rfind("HTTP/1.1 ", 0) == 0) {
        out.status = atoi(answer.c_str() + 9);
        const auto end = answer.find("\r\n\r\n");
        out.body = end == std::string::npos ? "" : answer.substr(end + 4);
    }
    return out;
}

/// One request that a server received.
struct http_call {
    std::string path;
    std::map<std::string, std::string> headers;  // names in lower case
    std::string body;
};

/// Value of a member of a flat JSON object, for the few calls that the rig receives.
inline std::string json_text(const std::string& body, const std::string& name) {
    const auto at = body.find("\"" + name + "\"");
    if (at == std::string::npos) {
        return {};
    }
    const auto colon = body.find(':', at);
    const auto from = body.find('"', colon);
    const auto to = body.find('"', from + 1);
    return body.substr(from + 1, to - from - 1);
}

/// Reads one request from a connection; nothing if it ends before.
inline std::optional<http_call> read_call(int fd, double timeout_s) {
    line_reader in{fd, {}};
    http_call call;
    const auto first = in.next(timeout_s);
    if (!first) {
        return std::nullopt;
    }
    const auto blank = first->find(' ');
    call.path = first->substr(blank + 1, first->rfind(' ') - blank - 1);
    while (true) {
        const auto line = in.next(timeout_s);
        if (!line) {
            return std::nullopt;
        }
        if (line->empty()) {
            break;
        }
        const auto colon = line->find(": ");
        std::string name = line->substr(0, colon);
        for (char& c : name) {
            c = static_cast<char>(tolower(c));
        }
        call.headers[name] = line->substr(colon + 2);
    }
    const std::size_t size = static_cast<std::size_t>(atoi(call.headers["content-length"].c_str()));
    call.body = in.buffer;
    while (call.body.size() < size) {
        pollfd p{fd, POLLIN, 0};
        char bytes[4096];
        if (poll(&p, 1, static_cast<int>(timeout_s * 1000)) <= 0) {
            return std::nullopt;
        }
        const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return std::nullopt;
        }
        call.body.append(bytes, static_cast<std::size_t>(n));
    }
    return call;
}

inline void answer_call(int fd, int status) {
    send_all(fd, "HTTP/1.1 " + std::to_string(status) +
                     " X\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
}

// ---- a service of database instances ----

struct commit_entry {
    std::uint64_t term = 0;
    std::string id;    // id of the statement that committed it
    std::string item;
    std::string data;
    double at = 0;
};

struct instance {
    std::string id;
    address at;
    std::string zone;
    std::int64_t born = 0;
    std::uint64_t sequence = 0;
    bool primary = false;
    std::uint64_t term = 1;  // term of its log
    std::vector<commit_entry> log;
    bool draining = false;
    bool deaf = false;         // receives nothing from the primary
    bool dark = false;         // answers nobody, does nothing
    bool status_busy = false;  // answers BUSY to STATUS
    bool gone = false;         // the process has ended
    double lag_s = 0.02;       // time until it receives a commit
    double reaches_newer_since = -1;
    std::atomic<double> slow_factor = 1;
    int running = 0;  // statements in slots, and waiting for one
    int waiting = 0;
    std::thread listener;
    std::thread heart;
    int listen_fd = -1;
};

/// What an instance ran, for the checks.
struct run_event {
    double at = 0;
    std::string instance;
    std::string id;
    std::string text;
    std::string tenant;
};

/// A commit, or the moment from which a promoted instance leads its term.
struct lead_event {
    double at = 0;
    std::string instance;
    std::uint64_t term = 0;
    std::string id;  // of the statement that committed; empty for a promotion
};

/// The instances of one service and their replication.
class service {
public:
    std::string name;
    int sync_replicas = 0;
    double promote_s = 0.3;
    int slots = 0;       // statements that an instance runs at a time; 0: any number
    int queue = 24;      // statements that wait for a slot; further ones get BUSY
    std::atomic<double> work_s = 0;  // usual time in a slot
    double heartbeat_s = 1.2;
    std::vector<address> control;  // where heartbeats go
    std::vector<std::unique_ptr<instance>> instances;
    std::vector<run_event> runs;
    std::vector<lead_event> commits;
    std::vector<lead_event> promotions;
    std::mutex mutex;
    std::condition_variable changed;
    std::atomic<bool> stopping = false;

    ~service() { stop(); }

    instance& add(const std::string& id, const address& at, const std::string& zone, bool primary) {
        auto it = std::make_unique<instance>();
        it->id = id;
        it->at = at;
        it->zone = zone;
        it->primary = primary;
        it->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch()).count();
        instance& out = *it;
        const std::lock_guard lock(mutex);
        instances.push_back(std::move(it));
        return out;
    }

    void start() {
        for (const auto& it : instances) {
            start_instance(*it);
        }
        replication_ = std::thread([this] { replicate(); });
    }

    void start_instance(instance& it) {
        it.listen_fd = listen_on(it.at);
        if (it.listen_fd < 0) {
            cannot_run("cannot listen on " + it.at.text());
        }
        it.listener = std::thread([this, &it] { accept_loop(it); });
        it.heart = std::thread([this, &it] { heartbeat_loop(it); });
    }

    void stop() {
        if (stopping.exchange(true)) {
            return;
        }
        changed.notify_all();
        for (const auto& it : instances) {
            if (it->listen_fd >= 0) {
                shutdown(it->listen_fd, SHUT_RDWR);
            }
        }
        for (const auto& it : instances) {
            if (it->listener.joinable()) {
                it->listener.join();
            }
            if (it->heart.joinable()) {
                it->heart.join();
            }
            if (it->listen_fd >= 0) {
                close(it->listen_fd);
            }
        }
        if (replication_.joinable()) {
            replication_.join();
        }
        while (connections_ > 0) {
            sleep_s(0.01);
        }
    }

    instance* find(const std::string& id) {
        for (const auto& it : instances) {
            if (it->id == id) {
                return it.get();
            }
        }
        return nullptr;
    }

    /// The platform's promotion takes effect: the instance leads the next term with what it has
    /// received.
    void promote(const std::string& id) {
        const std::lock_guard lock(mutex);
        instance* const it = find(id);
        if (it == nullptr || it->gone) {
            note("promotion of %s has no effect: it does not run", id.c_str());
            return;
        }
        if (it == newest_primary()) {
            note("promotion of %s changes nothing: it is the primary", id.c_str());
            return;
        }
        std::uint64_t newest = 0;
        for (const auto& other : instances) {
            newest = std::max(newest, other->term);
        }
        it->term = newest + 1;
        it->primary = true;
        beat_now_.insert(it->id);
        promotions.push_back({now_s(), id, it->term, {}});
        note("promotion takes effect: %s leads term %llu of %s with %zu commits", id.c_str(),
             static_cast<unsigned long long>(it->term), name.c_str(), it->log.size());
        changed.notify_all();
    }

    void beat_soon(const std::string& id) {
        const std::lock_guard lock(mutex);
        beat_now_.insert(id);
    }

    /// Ends an instance as after a drain: it deregisters, and its process exits. The connections to
    /// it end, and its address is free.
    void end(instance& it) {
        bool acknowledged = false;
        for (std::size_t n = 0; n < control.size() && !acknowledged; ++n) {
            const auto res = http(control[next_control_++ % control.size()], "POST",
                                  "/balsamdrift/instances/" + it.id + "/deregister",
                                  "{\"born\":" + std::to_string(it.born) + "}", 1.0);
            acknowledged = res.status >= 200 && res.status < 300;
        }
        {
            const std::lock_guard lock(mutex);
            it.gone = true;
            it.primary = false;
            changed.notify_all();
        }
        shutdown(it.listen_fd, SHUT_RDWR);
        it.listener.join();
        it.heart.join();
        close(it.listen_fd);
        it.listen_fd = -1;
        note("%s has deregistered (%s) and ended", it.id.c_str(),
             acknowledged ? "acknowledged" : "not acknowledged");
    }

    /// Sends one heartbeat at once and returns whether it was acknowledged.
    bool beat(instance& it) {
        std::string body;
        {
            const std::lock_guard lock(mutex);
            body = heartbeat_body(it);
        }
        for (std::size_t n = 0; n < control.size(); ++n) {
            const address& to = control[next_control_++ % control.size()];
            const auto res = http(to, "POST", "/balsamdrift/instances/" + it.id + "/heartbeat",
                                  body, 1.0);
            if (res.status >= 200 && res.status < 300) {
                return true;
            }
        }
        return false;
    }

private:
    std::string heartbeat_body(instance& it) {
        return "{\"service\":\"" + name + "\",\"address\":\"" + it.at.text() + "\",\"zone\":\"" +
               it.zone + "\",\"version\":\"v1\",\"slots\":3,\"state\":\"" +
               (it.draining ? "draining" : "ready") + "\",\"warmupLeftMs\":0,\"dbRole\":\"" +
               (it.primary ? "primary" : "replica") + "\",\"born\":" + std::to_string(it.born) +
               ",\"sequence\":" + std::to_string(++it.sequence) + "}";
    }

    void heartbeat_loop(instance& it) {
        double next = 0;
        while (!stopping && !it.gone) {
            bool due = now_s() >= next;
            {
                const std::lock_guard lock(mutex);
                due = (due || beat_now_.erase(it.id) > 0) && !it.dark;
            }
            if (due) {
                next = now_s() + heartbeat_s;
                beat(it);
            }
            sleep_s(0.02);
        }
    }

    /// The running primary of the highest term.
    instance* newest_primary() {
        instance* best = nullptr;
        for (const auto& it : instances) {
            if (it->primary && !it->gone && (best == nullptr || it->term > best->term)) {
                best = it.get();
            }
        }
        return best;
    }

    void replicate() {
        while (!stopping) {
            sleep_s(0.005);
            const std::lock_guard lock(mutex);
            instance* const from = newest_primary();
            if (from == nullptr || from->dark) {
                continue;
            }
            for (const auto& it : instances) {
                if (it.get() == from || it->gone || it->dark || it->deaf) {
                    it->reaches_newer_since = -1;
                    continue;
                }
                if (it->primary) {
                    // An earlier primary continues until a second after it can reach the new one.
                    if (it->reaches_newer_since < 0) {
                        it->reaches_newer_since = now_s();
                    }
                    if (now_s() - it->reaches_newer_since < 1) {
                        continue;
                    }
                    note("%s steps down: %s leads term %llu", it->id.c_str(), from->id.c_str(),
                         static_cast<unsigned long long>(from->term));
                    it->primary = false;
                    beat_now_.insert(it->id);
                }
                follow(*from, *it);
            }
        }
    }

    /// Brings a replica's log in line with the primary's.
    void follow(const instance& from, instance& to) {
        std::size_t same = 0;
        while (same < to.log.size() && same < from.log.size() &&
               to.log[same].id == from.log[same].id && to.log[same].term == from.log[same].term) {
            ++same;
        }
        if (same < to.log.size()) {
            note("%s rolls back %zu commits", to.id.c_str(), to.log.size() - same);
            to.log.resize(same);
        }
        bool received = to.term != from.term;
        to.term = from.term;
        while (to.log.size() < from.log.size() &&
               now_s() - from.log[to.log.size()].at >= to.lag_s) {
            to.log.push_back(from.log[to.log.size()]);
            received = true;
        }
        if (received) {
            changed.notify_all();
        }
    }

    void accept_loop(instance& it) {
        while (!stopping && !it.gone) {
            pollfd p{it.listen_fd, POLLIN, 0};
            if (poll(&p, 1, 50) <= 0) {
                continue;
            }
            const int fd = accept4(it.listen_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            ++connections_;
            std::thread([this, &it, fd] {
                serve(it, fd);
                close(fd);
                --connections_;
            }).detach();
        }
    }

    std::string position(const instance& it) {
        return std::to_string(it.term) + "." + std::to_string(it.log.size());
    }

    /// Serves one connection.
    void serve(instance& it, int fd) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        line_reader in{fd, {}};
        session s;
        while (!stopping && !it.gone) {
            const auto line = in.next(0.2);
            if (!line) {
                if (is_closed(fd)) {
                    return;
                }
                continue;
            }
            while (it.dark && !stopping) {
                sleep_s(0.01);
            }
            if (!process(it, s, fd, *line)) {
                return;
            }
        }
    }

    static bool is_closed(int fd) {
        char byte;
        const ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    struct session {
        bool started = false;
        std::string tenant;
        char state = 'I';
        bool read_only = false;
        std::uint64_t term = 0;  // of the transaction
        std::vector<commit_entry> writes;
        std::map<std::string, std::pair<bool, std::string>> prepared;
    };

    static std::string word(std::string& rest) {
        const auto end = rest.find(' ');
        std::string out = rest.substr(0, end);
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
        return out;
    }

    bool reply(instance& it, session& s, int fd, const std::string& text) {
        while (it.dark && !stopping) {
            sleep_s(0.01);
        }
        std::string at;
        {
            const std::lock_guard lock(mutex);
            at = position(it);
        }
        return send_all(fd, text + "READY " + s.state + " " + at + "\r\n");
    }

    bool fail(instance& it, session& s, int fd, const std::string& code) {
        if (s.state == 'T') {
            s.state = 'E';
        }
        return reply(it, s, fd, "ERROR " + code + " " + it.id + "\r\n");
    }

    bool process(instance& it, session& s, int fd, std::string line) {
        const std::string kind = word(line);
        if (kind == "STARTUP") {
            const std::string service_name = word(line);
            s.tenant = word(line);
            const std::string expected = word(line);
            if (service_name != name || (!expected.empty() && expected != it.id)) {
                send_all(fd, "ERROR MISROUTED " + it.id + "\r\n");
                return false;
            }
            s.started = true;
            return reply(it, s, fd, "");
        }
        if (kind != "QUERY" || !s.started) {
            return false;
        }
        const std::string id = word(line);
        std::string verb = word(line);
        std::optional<std::pair<std::uint64_t, std::uint64_t>> after;
        if (verb == "AFTER") {
            const std::string text = word(line);
            after = {strtoull(text.c_str(), nullptr, 10),
                     strtoull(text.c_str() + text.find('.') + 1, nullptr, 10)};
            verb = word(line);
        }
        if (verb == "STATUS") {
            std::string row;
            {
                const std::lock_guard lock(mutex);
                if (it.status_busy) {
                    row = "";
                }
                else {
                    row = std::string("ROW ") + (it.primary ? "primary" : "replica") + " " +
                          std::to_string(it.term) + " " + position(it) + " 0 0 0 1\r\n";
                }
            }
            return row.empty() ? fail(it, s, fd, "BUSY")
                               : reply(it, s, fd, row + "COMPLETE -\r\n");
        }
        if (verb == "STEPDOWN") {
            {
                const std::lock_guard lock(mutex);
                if (it.primary && it.term < strtoull(line.c_str(), nullptr, 10)) {
                    note("%s steps down by order", it.id.c_str());
                    it.primary = false;
                    beat_now_.insert(it.id);
                }
            }
            return reply(it, s, fd, "ROW replica 0 0.0 0 0 0 1\r\nCOMPLETE -\r\n");
        }
        if (verb == "SET") {
            return reply(it, s, fd, "COMPLETE -\r\n");
        }
        if (verb == "DISCARD") {
            s.prepared.clear();
            return reply(it, s, fd, "COMPLETE -\r\n");
        }
        if (verb == "PREPARE") {
            const std::string prepared_name = word(line);
            const std::string access = word(line);
            s.prepared[prepared_name] = {access == "WRITE", line};
            return reply(it, s, fd, "COMPLETE -\r\n");
        }
        return process_statement(it, s, fd, id, verb, line, after);
    }

    bool process_statement(instance& it, session& s, int fd, const std::string& id,
                           const std::string& verb, std::string line,
                           const std::optional<std::pair<std::uint64_t, std::uint64_t>>& after) {
        if (s.state == 'E') {
            if (verb == "COMMIT" || verb == "ROLLBACK") {
                s.state = 'I';
                s.writes.clear();
                return verb == "ROLLBACK" ? reply(it, s, fd, "COMPLETE " + receipt() + "\r\n")
                                          : reply(it, s, fd, "ERROR ABORTED " + it.id + "\r\n");
            }
            return reply(it, s, fd, "ERROR MALFORMED " + it.id + "\r\n");
        }
        bool lags = false;
        {
            const std::lock_guard lock(mutex);
            lags = after && std::pair(it.term, std::uint64_t{it.log.size()}) < *after;
        }
        if (lags) {
            return fail(it, s, fd, "LAGGING");
        }
        const bool lost_lead = s.state == 'T' && !s.read_only &&
                               (!it.primary || it.term != s.term) &&
                               !(verb == "COMMIT" && s.writes.empty()) && verb != "ROLLBACK";
        if (lost_lead) {
            return fail(it, s, fd, "READONLY");
        }
        if (verb == "BEGIN") {
            s.read_only = line == "READ";
            if (!s.read_only && !it.primary) {
                return fail(it, s, fd, "READONLY");
            }
            s.state = 'T';
            s.term = it.term;
            s.writes.clear();
            return reply(it, s, fd, "COMPLETE -\r\n");
        }
        if (verb == "ROLLBACK") {
            s.state = 'I';
            s.writes.clear();
            return reply(it, s, fd, "COMPLETE " + receipt() + "\r\n");
        }
        if (verb != "READ" && verb != "WRITE" && verb != "COMMIT") {
            return fail(it, s, fd, "MALFORMED");
        }
        if (slots > 0 && !occupy_slot(it)) {
            // The statement did not run, and the state stays as it was.
            return reply(it, s, fd, "ERROR BUSY " + it.id + "\r\n");
        }
        if (verb == "COMMIT") {
            s.state = 'I';
            return commit(it, s, fd, id);
        }
        {
            const std::lock_guard lock(mutex);
            runs.push_back({now_s(), it.id, id, verb + " " + line, s.tenant});
        }
        if (verb == "WRITE") {
            if (!it.primary) {
                return fail(it, s, fd, "READONLY");
            }
            const std::string item = word(line);
            s.writes.push_back({0, id, item, line, 0});
            return s.state == 'T' ? reply(it, s, fd, "COMPLETE " + receipt() + "\r\n")
                                  : commit(it, s, fd, id);
        }
        std::string value = "-";
        {
            const std::lock_guard lock(mutex);
            for (const commit_entry& entry : it.log) {
                if (entry.item == line) {
                    value = entry.data;
                }
            }
        }
        return reply(it, s, fd, "ROW " + value + "\r\nCOMPLETE " + receipt() + "\r\n");
    }

    /// Works in a slot, after waiting for one if all are taken. False if too many wait already.
    bool occupy_slot(instance& it) {
        std::unique_lock lock(mutex);
        if (it.running >= slots) {
            if (it.waiting >= queue) {
                return false;
            }
            ++it.waiting;
            changed.wait(lock, [&] { return stopping || it.running < slots; });
            --it.waiting;
        }
        ++it.running;
        lock.unlock();
        sleep_s(work_s * it.slow_factor);
        lock.lock();
        --it.running;
        changed.notify_all();
        return true;
    }

    /// Appends the writes as one commit and waits for the replicas that must have received it.
    bool commit(instance& it, session& s, int fd, const std::string& id) {
        {
            std::unique_lock lock(mutex);
            if (!s.writes.empty()) {
                for (commit_entry entry : s.writes) {
                    entry.term = it.term;
                    entry.at = now_s();
                    it.log.push_back(entry);
                }
                const std::size_t size = it.log.size();
                const std::uint64_t term = it.term;
                commits.push_back({now_s(), it.id, term, id});
                note("%s commits %s as %llu.%zu", it.id.c_str(), id.c_str(),
                     static_cast<unsigned long long>(term), size);
                s.writes.clear();
                changed.wait(lock, [&] {
                    if (stopping || it.gone || !it.primary || it.term != term) {
                        return true;
                    }
                    int received = 0;
                    for (const auto& other : instances) {
                        received += other.get() != &it && !other->gone &&
                                    other->log.size() >= size && other->term == term;
                    }
                    return received >= sync_replicas;
                });
                if (it.gone || !it.primary || it.term != term) {
                    return false;  // the connection ends without an answer
                }
            }
        }
        return reply(it, s, fd, "COMPLETE " + receipt() + "\r\n");
    }

    std::string receipt() { return "c." + std::to_string(++receipts_); }

    std::set<std::string> beat_now_;
    std::thread replication_;
    std::atomic<int> connections_ = 0;
    std::atomic<std::uint64_t> receipts_ = 0;
    std::atomic<std::size_t> next_control_ = 0;
};

// ---- the platform ----

/// A promotion call that the platform has received.
struct promotion_call {
    double at = 0;
    std::string service;
    std::string id;
    std::string holder;
    std::uint64_t token = 0;
};

/// The platform's promotion call: answers 200, and the promotion takes effect some time later.
class platform {
public:
    std::map<std::string, service*> services;
    std::vector<promotion_call> calls;
    std::mutex mutex;
    /// Time that the platform takes for a call before it acts and answers.
    std::function<double(const promotion_call&)> delay_s;
    /// True while the platform accepts no connections: they wait in the queue of the listener.
    std::atomic<bool> accepts = true;

    explicit platform(const address& at, int backlog = 64) : at_(at), backlog_(backlog) {}
    ~platform() { stop(); }

    void start() {
        listen_fd_ = listen_on(at_, backlog_);
        if (listen_fd_ < 0) {
            cannot_run("the platform cannot listen");
        }
        listener_ = std::thread([this] {
            while (!stopping_) {
                pollfd p{listen_fd_, POLLIN, 0};
                if (!accepts || poll(&p, 1, 20) <= 0) {
                    if (!accepts) {
                        sleep_s(0.005);
                    }
                    continue;
                }
                const int fd = accept4(listen_fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) {
                    ++running_;
                    std::thread([this, fd] {
                        serve(fd);
                        close(fd);
                        --running_;
                    }).detach();
                }
            }
        });
    }

    void stop() {
        if (stopping_.exchange(true)) {
            return;
        }
        if (listener_.joinable()) {
            listener_.join();
        }
        while (running_ > 0) {
            sleep_s(0.01);
        }
        if (listen_fd_ >= 0) {
            close(listen_fd_);
        }
    }

private:
    void serve(int fd) {
        const auto call = read_call(fd, 5);
        if (!call) {
            return;
        }
        promotion_call it{now_s(), json_text(call->body, "service"), json_text(call->body, "id"),
                          call->headers.count("x-duty-holder") ? call->headers.at("x-duty-holder")
                                                               : "",
                          0};
        if (call->headers.count("x-fencing-token")) {
            it.token = strtoull(call->headers.at("x-fencing-token").c_str(), nullptr, 10);
        }
        {
            const std::lock_guard lock(mutex);
            calls.push_back(it);
        }
        note("platform receives: promote %s of %s, holder %s, token %llu", it.id.c_str(),
             it.service.c_str(), it.holder.c_str(), static_cast<unsigned long long>(it.token));
        const double delay = delay_s ? delay_s(it) : 0;
        for (double until = now_s() + delay; now_s() < until && !stopping_;) {
            sleep_s(0.01);
        }
        const auto found = services.find(it.service);
        if (found == services.end()) {
            answer_call(fd, 404);
            return;
        }
        answer_call(fd, 200);
        for (double until = now_s() + found->second->promote_s; now_s() < until && !stopping_;) {
            sleep_s(0.01);
        }
        if (!stopping_) {
            found->second->promote(it.id);
        }
    }

    address at_;
    int backlog_;
    int listen_fd_ = -1;
    std::thread listener_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> running_ = 0;
};

// ---- callers ----

struct answer {
    bool answered = false;
    bool ok = false;
    std::string code;  // of an error
    std::string text;
    std::vector<std::string> rows;
    std::string receipt;
    std::string state;

    std::string summary() const {
        return !answered ? "no answer" : ok ? "COMPLETE " + receipt : "ERROR " + code + " " + text;
    }
};

/// A caller's session.
class caller {
public:
    ~caller() { hang_up(); }

    answer open(const address& entry, const std::string& database, const std::string& key) {
        hang_up();
        in_.fd = connect_to(entry, 2);
        in_.buffer.clear();
        if (in_.fd < 0 || !send_all(in_.fd, "STARTUP " + database + " " + key + "\r\n")) {
            return {};
        }
        return read_answer(2);
    }

    bool is_open() const { return in_.fd >= 0; }

    answer query(const std::string& id, const std::string& text, double timeout_s = 5) {
        if (in_.fd < 0 || !send_all(in_.fd, "QUERY " + id + " " + text + "\r\n")) {
            return {};
        }
        return read_answer(timeout_s);
    }

    void hang_up() {
        if (in_.fd >= 0) {
            close(in_.fd);
            in_.fd = -1;
        }
    }

private:
    answer read_answer(double timeout_s) {
        answer out;
        const double until = now_s() + timeout_s;
        while (true) {
            const auto line = in_.next(until - now_s());
            if (!line) {
                // An error during the start is followed by a close.
                out.answered = !out.code.empty();
                hang_up();
                return out;
            }
            std::istringstream words(*line);
            std::string kind;
            words >> kind;
            if (kind == "ROW") {
                out.rows.push_back(line->substr(std::min<std::size_t>(4, line->size())));
            }
            else if (kind == "COMPLETE") {
                out.ok = true;
                words >> out.receipt;
            }
            else if (kind == "ERROR") {
                words >> out.code;
                std::getline(words, out.text);
            }
            else if (kind == "READY") {
                words >> out.state;
                out.answered = true;
                out.ok = out.code.empty();
                return out;
            }
        }
    }

    line_reader in_;
};

// ---- configuration ----

struct tenant {
    std::string name;
    std::vector<std::string> keys;
    double rate = 500;
    double burst = 500;
};

struct route {
    std::string database;
    std::string kind;
    std::string service;
    int max_staleness_ms = 1500;
    int timeout_ms = 1000;
};

struct configuration {
    int version = 1;
    std::vector<route> routes;
    std::vector<std::pair<std::string, int>> services;  // name, syncReplicas
    std::vector<tenant> tenants;
    int max_conns = 39;

    std::string json() const {
        std::string out = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
        int n = 0;
        for (const route& it : routes) {
            out += std::string(n == 0 ? "" : ",") + "{\"name\":\"r-" + std::to_string(n) +
                   "\",\"host\":\"" + it.database + "\",\"pathPrefix\":\"/\",\"kind\":\"" +
                   it.kind + "\",\"timeoutMs\":" + std::to_string(it.timeout_ms) +
                   ",\"targetLatencyMs\":500,\"priority\":1,\"service\":\"" + it.service +
                   "\",\"maxAttempts\":2,\"public\":false";
            if (it.kind != "primary") {
                out += ",\"maxStalenessMs\":" + std::to_string(it.max_staleness_ms);
            }
            out += "}";
            ++n;
        }
        out += "],\"services\":[";
        for (std::size_t i = 0; i < services.size(); ++i) {
            out += std::string(i == 0 ? "" : ",") + "{\"name\":\"" + services[i].first +
                   "\",\"healthPath\":\"/healthz\",\"maxConns\":" + std::to_string(max_conns) +
                   ",\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":" +
                   std::to_string(services[i].second) + "}";
        }
        out += "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
               "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"txIdleMs\":3000},\"tenants\":[";
        for (std::size_t i = 0; i < tenants.size(); ++i) {
            char limits[200];
            snprintf(limits, sizeof limits, "],\"priority\":1,\"ratePerS\":%.0f,\"burst\":%.0f}",
                     tenants[i].rate, tenants[i].burst);
            out += std::string(i == 0 ? "" : ",") + "{\"name\":\"" + tenants[i].name +
                   "\",\"apiKeys\":[";
            for (std::size_t k = 0; k < tenants[i].keys.size(); ++k) {
                out += std::string(k == 0 ? "" : ",") + "\"" + tenants[i].keys[k] + "\"";
            }
            out += limits;
        }
        return out + "]}";
    }
};

// ---- the site ----

struct site_options {
    int controls = 5;
    int entries = 3;
    int fd_limit = 0;  // of entries; 0: as inherited
    /// Where the control member of this number sends promotions; empty: the rig's platform.
    std::function<std::string(int)> promotions;
};

/// The zones of the case, as in a small deployment.
inline const char* zone_name(int n) {
    static const char* names[] = {"brest-port", "rennes-nord", "lorient-ouest"};
    return names[n % 3];
}

class site {
public:
    site_options options;
    std::string folder;  // temporary
    std::vector<std::unique_ptr<process>> controls;
    std::vector<std::unique_ptr<process>> entries;
    std::vector<address> control_planes;
    std::vector<address> frontends;
    std::vector<address> readiness;

    explicit site(site_options o) : options(std::move(o)) {
        char path[] = "/tmp/review-XXXXXX";
        if (mkdtemp(path) == nullptr) {
            cannot_run("no temporary folder");
        }
        folder = path;
        std::mt19937 random(static_cast<unsigned>(getpid()) * 7919U +
                            static_cast<unsigned>(time(nullptr)));
        net_ = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) +
               ".";
        choose_ports(random);
    }

    ~site() {
        end_processes();
        const std::string command = "rm -rf '" + folder + "'";
        if (getenv("KEEP") == nullptr && system(command.c_str()) != 0) {
            note("cannot remove the temporary folder");
        }
    }

    address host(int last, int port_offset) const {
        return {net_ + std::to_string(last), port_ + port_offset};
    }

    address platform_address() const { return host(2, 5); }

    void start() {
        std::string seeds;
        for (int n = 0; n < options.controls; ++n) {
            control_planes.push_back(host(10 + n, 2));
            if (n < 3) {
                seeds += std::string(n == 0 ? "" : ",") + "\"" + control_planes.back().text() + "\"";
            }
        }
        std::string zones = "{";
        const char* regions[] = {"finistere", "ille-vilaine", "morbihan"};
        for (int n = 0; n < 3; ++n) {
            zones += std::string(n == 0 ? "" : ",") + "\"" + zone_name(n) + "\":\"" + regions[n] +
                     "\"";
        }
        zones += "}";
        for (int n = 0; n < options.controls; ++n) {
            auto it = std::make_unique<process>();
            it->name = "core-" + std::to_string(n);
            it->log = folder + "/" + it->name + ".log";
            const std::string ip = net_ + std::to_string(10 + n);
            const std::string promotions =
                options.promotions ? options.promotions(n) : platform_address().text();
            std::ofstream(folder + "/" + it->name + ".yaml")
                << "role: control\nname: " << it->name << "\ndata_folder: " << folder << "/data-"
                << it->name << "\noperator_token_file: operator.token\nfleet:\n  listen: "
                << host(10 + n, 0).text() << "\n  secret_file: fleet.secret\noperators:\n  listen: "
                << host(10 + n, 1).text() << "\ncoordination:\n  platform:\n    listen: "
                << control_planes[static_cast<std::size_t>(n)].text() << "\n    also_listen: [\""
                << host(10 + n, 3).text()
                << "\"]\n    body_limit_bytes: 8388608\n  promotions: " << promotions
                << "\n  disks_lost_at_once: 2\n  first_start: true\n  rates:\n    window: 5s\n"
                   "    overage: 0.1\n    slack: 20\n  regions: " << zones << "\n  seed_hosts: ["
                << seeds << "]\ncontrol:\n  lease_duration: 3s\n";
            controls.push_back(std::move(it));
        }
        for (int n = 0; n < options.entries; ++n) {
            auto it = std::make_unique<process>();
            it->name = "edge-" + std::to_string(n);
            it->fd_limit = options.fd_limit;
            it->log = folder + "/" + it->name + ".log";
            frontends.push_back(host(40 + n, 6));
            readiness.push_back(host(40 + n, 7));
            std::ofstream(folder + "/" + it->name + ".yaml")
                << "role: statement_entry\nname: " << it->name << "\nfailure_domain: "
                << zone_name(n) << "\nregions: " << zones
                << "\noperator_token_file: operator.token\nfleet:\n  listen: "
                << host(40 + n, 0).text() << "\n  secret_file: fleet.secret\nstatements:\n  listen: "
                << frontends.back().text() << "\nreadiness:\n  listen: " << readiness.back().text()
                << "\n  also_listen: [\"" << host(40 + n, 3).text()
                << "\"]\ncontrol:\n  seed_hosts: [" << seeds << "]\nstop:\n  grace: 6s\n";
            entries.push_back(std::move(it));
        }
        for (const auto& it : controls) {
            start_daemon(*it);
        }
        for (const auto& it : entries) {
            start_daemon(*it);
        }
    }

    void start_daemon(process& it) {
        start_process(it, {"target/bin/balsamdrift", "--settings", folder + "/" + it.name + ".yaml",
                           "--secrets", "settings"});
    }

    /// Sends a configuration like an operator: again, to any member, until it is accepted. Returns
    /// whether it was acknowledged in time.
    bool replace(const configuration& conf, double timeout_s) {
        const double until = now_s() + timeout_s;
        int last = 0;
        for (std::size_t n = 0; now_s() < until; ++n) {
            const auto res = http(control_planes[n % control_planes.size()], "POST",
                                  "/balsamdrift/config/replace", conf.json(), 1.0);
            if (res.status != last) {
                last = res.status;
                note("configuration %d: status %d", conf.version, res.status);
            }
            if (res.status == 200) {
                return true;
            }
            if (res.status == 400 || res.status == 409 || res.status == 422) {
                note("configuration %d refused: %s", conf.version, res.body.c_str());
                return false;
            }
            sleep_s(0.1);
        }
        return false;
    }

    bool is_ready(std::size_t entry, double timeout_s = 1.0) const {
        return http(readiness[entry], "GET", "/balsamdrift/readyz", "", timeout_s).status == 200;
    }

    /// Waits until all entries are ready and a statement succeeds at each.
    void wait_until_serving(const std::string& database, const std::string& key) {
        const double until = now_s() + 30;
        for (std::size_t n = 0; n < entries.size(); ++n) {
            while (true) {
                caller it;
                if (is_ready(n) && it.open(frontends[n], database, key).ok &&
                    it.query("warm" + std::to_string(n), "READ warm").ok) {
                    break;
                }
                if (now_s() > until) {
                    cannot_run("the site does not serve");
                }
                sleep_s(0.1);
            }
        }
        note("all %zu entries serve", entries.size());
    }

    /// Fleet names of the events that a member's log holds, newest last.
    std::string read_log(const process& it) const {
        std::ifstream in(it.log);
        return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    }

private:
    void choose_ports(std::mt19937& random) {
        for (int attempt = 0; attempt < 100; ++attempt) {
            port_ = 10000 + static_cast<int>(random() % 18000);
            bool free = true;
            for (int offset = 0; offset < 9 && free; ++offset) {
                for (const int last : {2, 10, 11, 12, 13, 14, 40, 41, 42, 60, 61, 62}) {
                    const int fd = listen_on(host(last, offset));
                    free = free && fd >= 0;
                    if (fd >= 0) {
                        close(fd);
                    }
                }
            }
            if (free) {
                return;
            }
        }
        cannot_run("no free ports");
    }

    std::string net_;
    int port_ = 0;
};

[[noreturn]] inline void cannot_run(const std::string& why) {
    note("the case could not run: %s", why.c_str());
    end_processes();
    _exit(2);
}

/// True unless TROUBLE=0.
inline bool with_trouble() {
    const char* value = getenv("TROUBLE");
    return value == nullptr || strcmp(value, "0") != 0;
}

/// Opens record.txt in the folder of the case and limits the time of the run.
inline void begin(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    (void)start_time();
    if (argc > 1) {
        FILE* const file = fopen((std::string(argv[1]) + "/record.txt").c_str(), "w");
        if (file != nullptr) {
            record_file() = file;
        }
    }
    std::thread([] {
        sleep_s(110);
        cannot_run("time limit");
    }).detach();
    note("trouble: %s", with_trouble() ? "yes" : "no");
}

/// Writes the verdict and returns the exit code.
inline int finish(bool broken, const std::string& what) {
    note("%s. Checked: %s", broken ? "RULE BROKEN" : "The rule held", what.c_str());
    return broken ? 1 : 0;
}

}  // namespace rig
