#include "rig/soak/connection.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace balsamdrift::soak {

namespace {

/// A silent direction is looked at again after this time; short beside the bounds of a site.
constexpr milliseconds silence_interval{50};
constexpr int backlog = 1024;

sockaddr_in to_sockaddr(const address& at)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(at.port));
    ::inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
    return out;
}

}  // namespace

connection::connection(event_loop& loop, int fd, const link* over)
    : loop_(loop), fd_(fd), over_(over), opened_(monotonic_clock::now()), changed_(loop)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    events_ = EPOLLIN | EPOLLOUT;
    token_ = loop_.watch(fd_, events_, *this);
}

connection::~connection()
{
    if (later_) {
        loop_.cancel(*later_);
    }
    if (resume_) {
        loop_.cancel(*resume_);
    }
    if (token_ != 0) {
        loop_.unwatch(fd_, token_);
    }
    ::close(fd_);
}

task<std::unique_ptr<connection>> connection::open(event_loop& loop, address to, duration limit,
                                                   const link* over)
{
    const time_point until = monotonic_clock::now() + limit;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        co_return nullptr;
    }
    const sockaddr_in at = to_sockaddr(to);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 &&
        errno != EINPROGRESS) {
        ::close(fd);
        co_return nullptr;
    }
    auto out = std::make_unique<connection>(loop, fd, over);
    while (!out->connected_ && !out->closed_ && monotonic_clock::now() < until) {
        co_await out->changed_.wait(until);
    }
    if (!out->connected_) {
        co_return nullptr;
    }
    co_return out;
}

task<std::optional<std::string>> connection::line(time_point until)
{
    while (true) {
        const auto end = input_.find('\n');
        if (end != std::string::npos) {
            std::string out = input_.substr(0, end);
            input_.erase(0, end + 1);
            if (!out.empty() && out.back() == '\r') {
                out.pop_back();
            }
            co_return std::optional<std::string>(std::move(out));
        }
        if (closed_ || monotonic_clock::now() >= until) {
            co_return std::nullopt;
        }
        co_await changed_.wait(until);
    }
}

task<std::optional<std::string>> connection::bytes(std::size_t size, time_point until)
{
    while (input_.size() < size) {
        if (closed_ || monotonic_clock::now() >= until) {
            co_return std::nullopt;
        }
        co_await changed_.wait(until);
    }
    std::string out = input_.substr(0, size);
    input_.erase(0, size);
    co_return std::optional<std::string>(std::move(out));
}

task<bool> connection::arrives(time_point until)
{
    while (input_.empty() && !closed_ && monotonic_clock::now() < until) {
        co_await changed_.wait(until);
    }
    co_return !input_.empty() || closed_;
}

void connection::send(const std::string& bytes)
{
    if (closed_) {
        return;
    }
    output_ += bytes;
    if (over_ != nullptr && over_->delay > duration::zero()) {
        if (!later_) {
            later_ = loop_.at(monotonic_clock::now() + over_->delay, [this] {
                later_.reset();
                write_pending();
            });
        }
        return;
    }
    write_pending();
}

void connection::on_events(std::uint32_t events)
{
    if (!connected_ && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0) {
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
        connected_ = error == 0;
        closed_ = error != 0;
        changed_.notify();
    }
    if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0 && !closed_) {
        read_available();
    }
    if ((events & EPOLLOUT) != 0 && !closed_ && !later_) {
        write_pending();
    }
    watch();
}

void connection::close()
{
    ::shutdown(fd_, SHUT_RDWR);
    closed_ = true;
    changed_.notify();
    watch();
}

void connection::watch()
{
    // A hang-up is reported for any mask, so a connection without interest is taken out.
    if (closed_ || paused_) {
        if (token_ != 0) {
            loop_.unwatch(fd_, std::exchange(token_, 0));
        }
        return;
    }
    const bool pending = !output_.empty() && !later_;
    const std::uint32_t wanted = EPOLLIN | (pending ? std::uint32_t{EPOLLOUT} : 0U);
    if (token_ == 0) {
        token_ = loop_.watch(fd_, wanted, *this);
    }
    else if (wanted != events_) {
        loop_.change(fd_, token_, wanted);
    }
    events_ = wanted;
}

void connection::read_available()
{
    if (is_dead() && monotonic_clock::now() - over_->dead_before >= over_->drops_dead_after) {
        closed_ = true;
        changed_.notify();
        return;
    }
    if (is_dead() || (over_ != nullptr && over_->silent_in)) {
        paused_ = true;
        watch();
        resume_ = loop_.at(monotonic_clock::now() + silence_interval, [this] {
            resume_.reset();
            paused_ = false;
            watch();
        });
        return;
    }
    std::array<char, 8192> buf;  // NOLINT(cppcoreguidelines-pro-type-member-init)
    const ssize_t n = ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n > 0) {
        input_.append(buf.data(), static_cast<std::size_t>(n));
    }
    else if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
        closed_ = true;
    }
    changed_.notify();
}

void connection::write_pending()
{
    if (!connected_) {
        return;
    }
    if (is_dead() || (over_ != nullptr && over_->silent_out)) {
        if (!later_) {
            later_ = loop_.at(monotonic_clock::now() + silence_interval, [this] {
                later_.reset();
                write_pending();
            });
        }
        return;
    }
    while (!output_.empty()) {
        const ssize_t n = ::send(fd_, output_.data(), output_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                closed_ = true;
                changed_.notify();
            }
            break;
        }
        output_.erase(0, static_cast<std::size_t>(n));
    }
    watch();
}

int listen_on(const address& at)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in to = to_sockaddr(at);
    if (fd >= 0 && (::bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 ||
                    ::listen(fd, backlog) != 0)) {
        ::close(fd);
        return -1;
    }
    return fd;
}

listener::listener(event_loop& loop, const address& at, const link* over, accepted action)
    : loop_(loop), over_(over), action_(std::move(action)), fd_(listen_on(at))
{
    if (fd_ >= 0) {
        token_ = loop_.watch(fd_, EPOLLIN, *this);
    }
}

listener::~listener()
{
    if (fd_ >= 0) {
        loop_.unwatch(fd_, token_);
        ::close(fd_);
    }
}

void listener::on_events(std::uint32_t /*events*/)
{
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd >= 0) {
        action_(std::make_unique<connection>(loop_, fd, over_));
    }
}

}  // namespace balsamdrift::soak
