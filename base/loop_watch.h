#pragma once

#include <optional>

#include "base/time.h"

namespace balsamdrift {

/// Settings of record_turn().
struct loop_watch_options {
    /// How often the event loop should turn; the interval of the timer that records the turns.
    duration interval = milliseconds(10);
    /// Delays from this length on are reported. Shorter ones are the rule on a busy machine, and no
    /// timeout between processes is that short.
    duration reported_delay = milliseconds(250);
};

/// When an event loop last turned, and how much processor time its process had used by then.
struct loop_watch {
    time_point turned_at{};
    duration processor_time{};
};

/// A turn of an event loop that came late.
struct loop_delay {
    /// Time between the turn that was due and the one that came.
    duration delay{};
    /// Processor time of all threads of the process since the turn before. Little of it says that
    /// the process did not get a processor, much that its own work delayed the loop.
    duration processor_time{};
};

/// Records a turn of the event loop. Returns its delay if it is to be reported; never for the first
/// turn.
std::optional<loop_delay> record_turn(loop_watch& watch, const loop_watch_options& options,
                                      time_point now, duration processor_time);

/// Processor time that all threads of this process have used.
duration process_processor_time();

}  // namespace balsamdrift
