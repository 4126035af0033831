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
constexpr milliseconds sweep_interval(250);

/// Accepts connections and leaves what to do with them to a function.
class descriptor_server : public QTcpServer {
public:
    explicit descriptor_server(std::function<void(qintptr)> accept) : accept_(std::move(accept)) {}

protected:
    void incomingConnection(qintptr descriptor) override { accept_(descriptor); }

private:
    std::function<void(qintptr)> accept_;
};

/// One thread with an event loop, and the object that owns the connections on it.
struct worker {
    QThread thread;
    QObject* loop = nullptr;
};

}  // namespace

struct http_server::implementation {
    http_server_options options;
    http_handler handler;
    http_server_counters counters;
    std::vector<std::unique_ptr<descriptor_server>> listeners;
    std::vector<std::unique_ptr<worker>> workers;
    std::size_t next_worker = 0;

    void start_worker();
    void on_first_worker(const std::function<void()>& fn);
    outcome<endpoint> listen_all();
    outcome<endpoint> listen(const endpoint& address);
    void hand_over(qintptr descriptor);
};

void http_server::implementation::start_worker()
{
    auto it = std::make_unique<worker>();
    it->loop = new QObject;
    it->loop->moveToThread(&it->thread);
    QObject* const loop = it->loop;
    QObject::connect(&it->thread, &QThread::finished, loop, &QObject::deleteLater);
    it->thread.start();
    QMetaObject::invokeMethod(loop, [loop] {
        auto* timer = new QTimer(loop);
        QObject::connect(timer, &QTimer::timeout, loop, [loop] {
            const time_point now = monotonic_clock::now();
            for (QObject* child : loop->children()) {
                if (auto* connection = dynamic_cast<http_connection*>(child)) {
                    connection->check_timeouts(now);
                }
            }
        });
        timer->start(sweep_interval);
    });
    workers.push_back(std::move(it));
}

void http_server::implementation::on_first_worker(const std::function<void()>& fn)
{
    if (!workers.empty()) {
        QMetaObject::invokeMethod(workers.front()->loop, fn, Qt::BlockingQueuedConnection);
    }
}

outcome<endpoint> http_server::implementation::listen_all()
{
    for (const endpoint& it : options.also_listen) {
        if (auto res = listen(it); !succeeded(res)) {
            return res;
        }
    }
    auto res = listen(options.listen);
    if (succeeded(res)) {
        options.listen = value_of(res);
    }
    return res;
}

outcome<endpoint> http_server::implementation::listen(const endpoint& address)
{
    auto listener =
        std::make_unique<descriptor_server>([this](qintptr descriptor) { hand_over(descriptor); });
    listener->setListenBacklogSize(accept_backlog);
    if (!listener->listen(QHostAddress(QString::fromStdString(address.address)), address.port)) {
        return failure{"cannot listen on " + to_string(address) + ": " +
                       listener->errorString().toStdString()};
    }
    listeners.push_back(std::move(listener));
    return endpoint{address.address, listeners.back()->serverPort()};
}

void http_server::implementation::hand_over(qintptr descriptor)
{
    worker& it = *workers[next_worker++ % workers.size()];
    QObject* const loop = it.loop;
    QMetaObject::invokeMethod(loop, [this, loop, descriptor] {
        new http_connection(descriptor, options, handler, counters, loop);
    });
}

http_server::http_server(http_server_options options, http_handler handler)
    : impl_(std::make_unique<implementation>())
{
    impl_->options = std::move(options);
    impl_->handler = std::move(handler);
}

http_server::~http_server() { stop(); }

outcome<endpoint> http_server::start()
{
    for (int n = 0; n < impl_->options.threads; ++n) {
        impl_->start_worker();
    }
    // The first worker accepts and hands connections out to all of them.
    outcome<endpoint> res = failure{};
    impl_->on_first_worker([&] { res = impl_->listen_all(); });
    return res;
}

void http_server::drain()
{
    impl_->counters.draining = true;
    impl_->on_first_worker([&] { impl_->listeners.clear(); });
}

void http_server::stop()
{
    impl_->on_first_worker([&] { impl_->listeners.clear(); });
    for (const auto& it : impl_->workers) {
        QObject* const loop = it->loop;
        QMetaObject::invokeMethod(
            loop, [loop] { qDeleteAll(loop->children()); }, Qt::BlockingQueuedConnection);
        it->thread.quit();
        it->thread.wait();
    }
    impl_->workers.clear();
}

int http_server::open_connections() const { return impl_->counters.connections; }

int http_server::open_requests() const { return impl_->counters.requests; }

}  // namespace balsamdrift
