#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string_view>

namespace balsamdrift {

/// State split into a fixed number of shards, each with its own mutex. A key always maps to the
/// same shard, so that work on different keys rarely contends.
template<class State, std::size_t Count = 16>
class sharded {
public:
    /// Calls `fn` with the state of the shard of `key`, holding only that shard's mutex.
    template<class Function>
    decltype(auto) with(std::size_t key, Function&& fn)
    {
        shard& it = shards_[key % Count];
        const std::lock_guard lock(it.mutex);
        return fn(it.state);
    }

    /// Overload for keys that are strings.
    template<class Function>
    decltype(auto) with(std::string_view key, Function&& fn)
    {
        return with(std::hash<std::string_view>{}(key), std::forward<Function>(fn));
    }

    /// Calls `fn` with the state of every shard in turn, holding one mutex at a time.
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
