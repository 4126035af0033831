#pragma once

#include <QObject>
#include <QThread>
#include <QTimer>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry/group_owner.h"

namespace balsamdrift {

/// Settings of the owners of one entry.
struct owner_host_options {
    int threads = 2;
    std::string failure_domain;
};

/// Runs the owners of the groups that this entry owns, each on one of several threads, and follows
/// the configuration: owners begin when a group is assigned, hand it back when it is recalled, and
/// end when their epoch is over.
class owner_host {
public:
    owner_host(owner_host_options options, entry_view& view, group_owner::propose_function propose);
    ~owner_host();
    owner_host(const owner_host&) = delete;
    owner_host& operator=(const owner_host&) = delete;

    /// Follows the configuration in force. Safe from any thread.
    void on_view_changed();

    /// Takes a statement; the answer comes on a thread of the host. Safe from any thread.
    void submit(work_request request, group_owner::answer_function on_answer);

    /// The caller of a request left. Safe from any thread.
    void cancel(const work_cancel& it);

    /// Passes an announcement to the owner of its group, if that is here. Safe from any thread.
    void handle_announcement(const announcement& it);

    /// Hands all groups back once their work has ended.
    void drain();

    /// Groups that are owned here now.
    int owned_groups() const { return owned_; }

    /// What operators see of the groups owned here. Waits for the threads.
    std::vector<group_status> status();

    /// Ends all owners and threads.
    void stop();

private:
    /// One thread and the owners on it.
    struct host_thread {
        QThread thread;
        QObject* loop = nullptr;
        std::map<std::string, std::unique_ptr<group_owner>> owners;
        std::map<std::string, std::uint64_t> epochs;
    };

    host_thread& thread_of(const std::string& group);
    void on_thread(host_thread& it, std::function<void()> fn);
    void reconcile(host_thread& it);
    void release_idle(host_thread& it);

    owner_host_options options_;
    entry_view& view_;
    group_owner::propose_function propose_;
    std::vector<std::unique_ptr<host_thread>> threads_;
    std::atomic<int> owned_ = 0;
    std::atomic<bool> draining_ = false;
};

}  // namespace balsamdrift
