#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace balsamdrift {

/// Phase of a change of primary.
enum class primary_phase : std::uint8_t {
    /// The recorded instance serves as primary.
    serving,
    /// The recorded instance is being replaced, and entries send no statements to a primary.
    suspended,
    /// The recorded instance was chosen as successor and may be promoted at any time.
    chosen,
};

/// Name of a phase, for logs.
inline const char* to_string(primary_phase phase)
{
    switch (phase) {
        case primary_phase::serving: return "serving";
        case primary_phase::suspended: return "suspended";
        case primary_phase::chosen: return "chosen";
    }
    return "";
}

/// Which instance of a service may act as primary. Entries send statements to a primary only while
/// its record is in phase `serving` and they hold a lease.
struct primary_record {
    std::string instance;
    primary_phase phase = primary_phase::serving;
    /// True while a primary that still runs is replaced on purpose. What it runs may finish.
    bool planned = false;
    /// Registry index of the newest change of this record. Identifies the phase.
    std::uint64_t epoch = 0;
    /// Number of promotions so far. Log positions of different generations are not comparable.
    std::uint64_t generation = 0;
    /// During a change, the instance that served last; empty while one serves.
    std::string predecessor;
    /// Highest term that an instance had reported when the record was changed.
    std::uint64_t newest_term = 0;
    /// An instance whose promotion was requested more often than it took effect, so that the
    /// platform may have been about to promote it once more when the record was changed; empty if
    /// there is none.
    std::string late_promotion;

    bool operator==(const primary_record&) const = default;
    MSGPACK_DEFINE(instance, phase, planned, epoch, generation, predecessor, newest_term,
                   late_promotion)
};

}  // namespace balsamdrift

MSGPACK_ADD_ENUM(balsamdrift::primary_phase)
