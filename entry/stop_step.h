#pragma once

#include <optional>

#include "base/event_log.h"
#include "base/time.h"

namespace balsamdrift {

/// Stages of an entry's stop. All times except flush_time count from the stop request.
struct stop_options {
    /// The entry reports unready but serves all callers as before until this time, so that the load
    /// balancer can send new callers elsewhere. Then idle sessions are closed.
    duration drain_notice = milliseconds(2500);
    /// Open transactions are aborted from this time on.
    duration transaction_limit = seconds(3);
    /// New operations are refused from this time on, and sessions are closed after their pending
    /// answer.
    duration closing_delay = seconds(4);
    /// From this time on the stop waits only for pending answers, no longer for open sessions.
    duration drain_limit = seconds(5);
    /// Callers that still wait are answered at this time, and the process exits.
    duration answer_limit = milliseconds(5600);
    /// Time allowed to the event loop for sending the last answers.
    duration flush_time = milliseconds(50);
};

/// Progress of a stop.
struct stop_progress {
    std::optional<time_point> started_at;
    /// When the wait for the flush of the last answers began; empty while callers are served.
    std::optional<time_point> flush_started_at;
};

/// Performs the stages of the stop that are due. Called every few milliseconds; returns true when
/// the process can exit.
template<class Entry>
bool advance_stop(Entry& entry, const stop_options& options, stop_progress& progress,
                  time_point now)
{
    if (!progress.started_at) {
        progress.started_at = now;
        log_event(event_id::process_stopping);
        entry.begin_drain();
    }
    const duration elapsed = now - *progress.started_at;
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
    const bool all_answered = elapsed >= options.drain_limit && !entry.is_answering();
    const bool overdue = elapsed >= options.answer_limit;
    if (overdue) {
        entry.finish_pending();
    }
    if (!drained && !all_answered && !overdue) {
        // A caller whose connection had been accepted may still send a statement; it is served too.
        progress.flush_started_at.reset();
        return false;
    }
    if (!progress.flush_started_at) {
        progress.flush_started_at = now;
        entry.stop_accepting();
    }
    // The last answers may still be in the send buffers of their connections.
    return now - *progress.flush_started_at >= options.flush_time;
}

}  // namespace balsamdrift
