#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string_view>

namespace balsamdrift {

/// State split into a fixed number of shards, each under its own lock. A key always maps to the
/// same shard, so work on different keys rarely contends.
template<class State, std::size_t Count = 16>
class sharded {
public:
    /// Runs `fn` on the shard of `key` while holding only that shard's lock.
    template<class Function>
    decltype(auto) with(std::size_t key, Function&& fn)
    {
        shard& it = shards_[key % Count];
        const std::lock_guard lock(it.mutex);
        return fn(it.state);
    }

    /// Same, for keys that are names.
    template<class Function>
    decltype(auto) with(std::string_view key, Function&& fn)
    {
        return with(std::hash<std::string_view>{}(key), std::forward<Function>(fn));
    }

    /// Visits every shard in turn, one lock at a time.
    template<class Function>
    void for_each(Function&& fn)
    {
        for (shard& it : shards_) {
            const std::lock_guard lock(it.mutex);
            fn(it.state);
        }
    }

private:
    struct shard {
        std::mutex mutex;
        State state;
    };
    std::array<shard, Count> shards_;
};

}  // namespace balsamdrift
