#include "entry/owner_host.h"

#include "base/event_log.h"
#include "core/registry/item_id.h"
#include "entry/answers.h"

namespace balsamdrift {
namespace {

/// Interval between checks for groups that can be released.
constexpr milliseconds release_check_interval(20);

}  // namespace

owner_host::owner_host(owner_host_options options, entry_view& view,
                       group_owner::propose_function propose)
    : options_(std::move(options)), view_(view), propose_(std::move(propose))
{
    for (int n = 0; n < options_.threads; ++n) {
        auto it = std::make_unique<host_thread>();
        it->loop = new QObject;
        it->loop->moveToThread(&it->thread);
        it->thread.start();
        host_thread* const raw = it.get();
        post(*raw, [this, raw] {
            auto* timer = new QTimer(raw->loop);
            QObject::connect(timer, &QTimer::timeout, raw->loop,
                             [this, raw] { release_idle_groups(*raw); });
            timer->start(release_check_interval);
        });
        threads_.push_back(std::move(it));
    }
}

owner_host::~owner_host() { stop(); }

void owner_host::post(host_thread& thread, std::function<void()> fn)
{
    QMetaObject::invokeMethod(thread.loop, std::move(fn), Qt::QueuedConnection);
}

owner_host::host_thread& owner_host::thread_of(const std::string& group)
{
    return *threads_[std::hash<std::string>{}(group) % threads_.size()];
}

void owner_host::on_view_changed()
{
    for (const auto& it : threads_) {
        post(*it, [this, raw = it.get()] { reconcile(*raw); });
    }
}

void owner_host::reconcile(host_thread& thread)
{
    const auto state = view_.state();
    // Owners whose epoch has ended are destroyed first, so that their requests are answered before
    // an owner of a new epoch starts.
    for (auto owner = thread.owners.begin(); owner != thread.owners.end();) {
        const auto record = state->owners.find(group_item(owner->first));
        const bool ours = record != state->owners.end() && record->second.entry == view_.self() &&
                          record->second.epoch == thread.epochs[owner->first];
        if (ours) {
            if (record->second.recalled) {
                owner->second->drain();
            }
            ++owner;
            continue;
        }
        log_event(event_id::ownership_released, {{"group", owner->first}});
        owner->second->end_epoch();
        owner->second.release()->deleteLater();
        thread.epochs.erase(owner->first);
        owner = thread.owners.erase(owner);
        --owned_;
    }
    for (const auto& [item, record] : state->owners) {
        const std::string group(group_of_item(item));
        if (group.empty() || record.entry != view_.self() || &thread_of(group) != &thread ||
            thread.owners.contains(group)) {
            continue;
        }
        log_event(event_id::ownership_gained,
                  {{"group", group}, {"epoch", std::to_string(record.epoch)}});
        thread.epochs[group] = record.epoch;
        thread.owners[group] = std::make_unique<group_owner>(
            group_owner_options{
                .group = group, .epoch = record.epoch, .failure_domain = options_.failure_domain},
            view_, propose_);
        ++owned_;
    }
    for (const auto& [group, owner] : thread.owners) {
        owner->on_view_changed();
    }
}

void owner_host::release_idle_groups(host_thread& thread)
{
    const auto state = view_.state();
    for (const auto& [group, owner] : thread.owners) {
        const auto record = state->owners.find(group_item(group));
        const bool must_release =
            draining_ || (record != state->owners.end() && record->second.recalled);
        if (!must_release) {
            continue;
        }
        owner->drain();
        if (owner->is_idle()) {
            propose_(release_item{group_item(group), thread.epochs[group]});
        }
    }
}

void owner_host::submit(work_request request, group_owner::answer_function on_answer)
{
    host_thread& it = thread_of(request.group);
    post(it, [&it, request = std::move(request), on_answer = std::move(on_answer)]() mutable {
        const auto found = it.owners.find(request.group);
        if (found == it.owners.end()) {
            work_answer refusal = not_run_answer("not_owner", "this VM does not own the group");
            refusal.id = request.id;
            on_answer(std::move(refusal));
            return;
        }
        found->second->submit(std::move(request), std::move(on_answer));
    });
}

void owner_host::cancel(const work_cancel& cancelled)
{
    host_thread& it = thread_of(cancelled.group);
    post(it, [&it, cancelled] {
        const auto found = it.owners.find(cancelled.group);
        if (found != it.owners.end()) {
            found->second->cancel(cancelled.customer, cancelled.id);
        }
    });
}

void owner_host::handle_announcement(const announcement& announced)
{
    host_thread& it = thread_of(announced.group);
    post(it, [&it, announced] {
        const auto found = it.owners.find(announced.group);
        if (found != it.owners.end()) {
            found->second->handle_announcement(announced);
        }
    });
}

void owner_host::drain() { draining_ = true; }

std::vector<group_status> owner_host::status()
{
    std::vector<group_status> statuses;
    for (const auto& it : threads_) {
        QMetaObject::invokeMethod(
            it->loop,
            [&statuses, raw = it.get()] {
                for (const auto& [group, owner] : raw->owners) {
                    statuses.push_back(owner->status());
                }
            },
            Qt::BlockingQueuedConnection);
    }
    return statuses;
}

void owner_host::stop()
{
    for (const auto& it : threads_) {
        QMetaObject::invokeMethod(
            it->loop,
            [raw = it.get()] {
                raw->owners.clear();
                qDeleteAll(raw->loop->children());
            },
            Qt::BlockingQueuedConnection);
        it->thread.quit();
        it->thread.wait();
        delete it->loop;
    }
    threads_.clear();
}

}  // namespace balsamdrift
