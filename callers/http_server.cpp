#include "callers/http_server.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QThread>
#include <QTimer>
#include <atomic>
#include <vector>

#include "callers/http_connection.h"

namespace balsamdrift {
namespace {

constexpr int accept_backlog = 1024;
constexpr milliseconds timeout_check_interval(250);

/// Accepts connections and passes their socket descriptors to a function, which may use them on
/// another thread.
class connection_listener : public QTcpServer {
public:
    explicit connection_listener(std::function<void(qintptr)> on_accept)
        : on_accept_(std::move(on_accept))
    {
    }

protected:
    void incomingConnection(qintptr descriptor) override { on_accept_(descriptor); }

private:
    std::function<void(qintptr)> on_accept_;
};

/// A thread with an event loop, and the object that lives on it and is the parent of its
/// connections.
struct worker_thread {
    QThread thread;
    QObject* context = nullptr;
};

}  // namespace

struct http_server::implementation {
    http_server_options options;
    http_handler handler;
    http_server_counters counters;
    std::vector<std::unique_ptr<connection_listener>> listeners;
    std::vector<std::unique_ptr<worker_thread>> workers;
    std::size_t next_worker = 0;

    /// Fails if the system gives no thread.
    outcome<std::monostate> start_worker();
    /// Runs a function on the first worker, which accepts connections, and waits until it is done.
    void run_on_first_worker(const std::function<void()>& function);
    /// Listens on all addresses of the options; gives the bound main address.
    outcome<endpoint> listen_all(const start_retry& retry);
    outcome<endpoint> listen(const endpoint& address);
    /// Passes a new connection to the next worker in turn.
    void assign_to_worker(qintptr descriptor);
};

outcome<std::monostate> http_server::implementation::start_worker()
{
    auto it = std::make_unique<worker_thread>();
    it->context = new QObject;
    it->context->moveToThread(&it->thread);
    QObject* const context = it->context;
    QObject::connect(&it->thread, &QThread::finished, context, &QObject::deleteLater);
    it->thread.start();
    if (!it->thread.isRunning()) {
        delete it->context;
        return failure{"the system gives no thread for " + to_string(options.listen)};
    }
    QMetaObject::invokeMethod(context, [context] {
        auto* timer = new QTimer(context);
        QObject::connect(timer, &QTimer::timeout, context, [context] {
            const time_point now = monotonic_clock::now();
            for (QObject* child : context->children()) {
                if (auto* connection = dynamic_cast<http_connection*>(child)) {
                    connection->check_timeouts(now);
                }
            }
        });
        timer->start(timeout_check_interval);
    });
    workers.push_back(std::move(it));
    return std::monostate{};
}

void http_server::implementation::run_on_first_worker(const std::function<void()>& function)
{
    if (!workers.empty()) {
        QMetaObject::invokeMethod(workers.front()->context, function, Qt::BlockingQueuedConnection);
    }
}

outcome<endpoint> http_server::implementation::listen_all(const start_retry& retry)
{
    for (const endpoint& it : options.also_listen) {
        auto res =
            repeat_start<endpoint>(retry, event_id::address_awaited, [&] { return listen(it); });
        if (!succeeded(res)) {
            return res;
        }
    }
    auto res = repeat_start<endpoint>(retry, event_id::address_awaited,
                                      [&] { return listen(options.listen); });
    if (succeeded(res)) {
        options.listen = value_of(res);
    }
    return res;
}

outcome<endpoint> http_server::implementation::listen(const endpoint& address)
{
    auto listener = std::make_unique<connection_listener>(
        [this](qintptr descriptor) { assign_to_worker(descriptor); });
    listener->setListenBacklogSize(accept_backlog);
    if (!listener->listen(QHostAddress(QString::fromStdString(address.address)), address.port)) {
        return failure{"cannot listen on " + to_string(address) + ": " +
                       listener->errorString().toStdString()};
    }
    listeners.push_back(std::move(listener));
    return endpoint{address.address, listeners.back()->serverPort()};
}

void http_server::implementation::assign_to_worker(qintptr descriptor)
{
    worker_thread& it = *workers[next_worker++ % workers.size()];
    QObject* const context = it.context;
    QMetaObject::invokeMethod(context, [this, context, descriptor] {
        new http_connection(descriptor, options, handler, counters, context);
    });
}

http_server::http_server(http_server_options options, http_handler handler)
    : impl_(std::make_unique<implementation>())
{
    impl_->options = std::move(options);
    impl_->handler = std::move(handler);
}

http_server::~http_server() { stop(); }

outcome<endpoint> http_server::start(const start_retry& retry)
{
    for (int n = 0; n < impl_->options.threads; ++n) {
        if (auto res = impl_->start_worker(); !succeeded(res)) {
            return failure_of(res);
        }
    }
    // The first worker accepts connections and distributes them over all workers.
    outcome<endpoint> res = failure{};
    impl_->run_on_first_worker([&] { res = impl_->listen_all(retry); });
    return res;
}

void http_server::drain()
{
    impl_->counters.draining = true;
    impl_->run_on_first_worker([&] { impl_->listeners.clear(); });
}

void http_server::stop()
{
    impl_->run_on_first_worker([&] { impl_->listeners.clear(); });
    for (const auto& it : impl_->workers) {
        QObject* const context = it->context;
        QMetaObject::invokeMethod(
            context, [context] { qDeleteAll(context->children()); }, Qt::BlockingQueuedConnection);
        it->thread.quit();
        it->thread.wait();
    }
    impl_->workers.clear();
}

int http_server::open_connections() const { return impl_->counters.connections; }

int http_server::open_requests() const { return impl_->counters.requests; }

}  // namespace balsamdrift
