#pragma once

#include <optional>

#include "base/event_log.h"
#include "base/time.h"

namespace balsamdrift {

/// The stages of a stop, each as a span from its beginning.
struct stop_options {
    /// Until then everybody is served on, so that the balancer sends new callers elsewhere.
    duration drain_notice = milliseconds(2500);
    /// Then sessions end as they come to rest, and after this open transactions end too.
    duration transaction_limit = seconds(3);
    /// From then on nothing new is begun, and sessions end with the answer that they wait for.
    duration closing_delay = seconds(4);
    /// A stop waits for answers only after this.
    duration drain_limit = seconds(5);
    /// Whatever still waits is answered now, and the process ends.
    duration answer_limit = milliseconds(5600);
    /// The event loop sends what was written within this time.
    duration flush_time = milliseconds(50);
};

/// How far a stop has come.
struct stop_progress {
    std::optional<time_point> began;
    /// Since when every caller has its answer.
    std::optional<time_point> answered_at;
};

/// Goes on with the stop of an entry; true when the process can exit. Asked every few milliseconds.
template<class Entry>
bool advance_stop(Entry& entry, const stop_options& options, stop_progress& progress,
                  time_point now)
{
    if (!progress.began) {
        progress.began = now;
        log_event(event_id::process_stopping);
        entry.begin_drain();
    }
    const duration elapsed = now - *progress.began;
    if (elapsed >= options.transaction_limit) {
        entry.abort_transactions();
    }
    if (elapsed >= options.drain_notice) {
        entry.end_idle_sessions();
    }
    if (elapsed >= options.closing_delay) {
        entry.begin_closing();
    }
    const bool drained = elapsed >= options.drain_notice && entry.is_drained();
    const bool rests = elapsed >= options.drain_limit && !entry.is_answering();
    const bool overdue = elapsed >= options.answer_limit;
    if (overdue) {
        entry.finish_pending();
    }
    if (!drained && !rests && !overdue) {
        // A caller whose connection was accepted before the last one left is served as well.
        progress.answered_at.reset();
        return false;
    }
    if (!progress.answered_at) {
        progress.answered_at = now;
        entry.stop_accepting();
    }
    // The last answers are still in the buffers of their connections.
    return now - *progress.answered_at >= options.flush_time;
}

}  // namespace balsamdrift
