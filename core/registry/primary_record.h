#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace balsamdrift {

/// How far a change of primary has come.
enum class primary_phase : std::uint8_t {
    /// The recorded instance serves as primary.
    serving,
    /// Nobody sends work to a primary; the recorded instance is being replaced.
    suspended,
    /// The recorded instance was chosen and may be promoted at any time.
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

/// Which instance of a service may act as primary. Entries send work to a primary only while its
/// record is serving and their lease runs.
struct primary_record {
    std::string instance;
    primary_phase phase = primary_phase::serving;
    /// True while the primary still answers and is replaced on purpose: what it runs may finish.
    bool planned = false;
    /// Registry index of the newest change of this record; tells one phase from another.
    std::uint64_t epoch = 0;
    /// Promotions so far. Positions known before the newest one are not comparable with later ones.
    std::uint64_t generation = 0;

    bool operator==(const primary_record&) const = default;
    MSGPACK_DEFINE(instance, phase, planned, epoch, generation)
};

}  // namespace balsamdrift

MSGPACK_ADD_ENUM(balsamdrift::primary_phase)
