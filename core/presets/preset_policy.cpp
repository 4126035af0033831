#include "core/presets/preset_policy.h"

namespace balsamdrift {

preset_policy policy_of(preset value)
{
    switch (value) {
        case preset::peak:
            return {.customer_queue_limit = 64,
                    .max_queue_wait = seconds(1),
                    .default_max_age = seconds(30),
                    .transaction_idle_limit = seconds(2),
                    .accepts_writes = true};
        case preset::maintenance: return {.accepts_writes = false};
        case preset::ordinary: break;
    }
    return {};
}

}  // namespace balsamdrift
