#pragma once

#include <cstddef>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "base/outcome.h"
#include "base/time.h"

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    /// Reads a span as a whole number of milliseconds.
    template<>
    struct convert<std::chrono::milliseconds> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          std::chrono::milliseconds& span) const
        {
            span = std::chrono::milliseconds(from.as<std::int64_t>());
            return from;
        }
    };

    /// Writes a span as a whole number of milliseconds.
    template<>
    struct pack<std::chrono::milliseconds> {
        template<class Stream>
        packer<Stream>& operator()(msgpack::packer<Stream>& out,
                                   const std::chrono::milliseconds& span) const
        {
            return out.pack(static_cast<std::int64_t>(span.count()));
        }
    };

    }  // namespace adaptor
}
}  // namespace msgpack

namespace balsamdrift {

/// Serializes a message with MessagePack. Structs declare their members with MSGPACK_DEFINE; a
/// member added at the end is ignored by older readers and left at its default by newer ones.
template<class T>
std::string encode(const T& message)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, message);
    return {buf.data(), buf.size()};
}

/// Reads a message. Malformed bytes give a failure; nothing is thrown.
template<class T>
outcome<T> decode(std::string_view bytes)
{
    try {
        T message;
        msgpack::unpack(bytes.data(), bytes.size()).get().convert(message);
        return message;
    }
    catch (const std::exception& ex) {
        return failure{std::string("malformed message: ") + ex.what()};
    }
}

namespace detail {

template<class Variant, std::size_t Index = 0>
outcome<Variant> decode_alternative(std::size_t index, const msgpack::object& body)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (index != Index) {
            return decode_alternative<Variant, Index + 1>(index, body);
        }
        std::variant_alternative_t<Index, Variant> message;
        body.convert(message);
        return Variant(std::move(message));
    }
    else {
        return failure{"malformed message: unknown alternative"};
    }
}

}  // namespace detail

/// Serializes a variant as its alternative's index followed by the alternative itself.
template<class... Alternatives>
std::string encode_variant(const std::variant<Alternatives...>& message)
{
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> out(buf);
    out.pack_array(2);
    out.pack(message.index());
    std::visit([&](const auto& it) { out.pack(it); }, message);
    return {buf.data(), buf.size()};
}

/// Reads what encode_variant wrote. Alternatives may only ever be added at the end.
template<class Variant>
outcome<Variant> decode_variant(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        const msgpack::object& root = handle.get();
        if (root.type != msgpack::type::ARRAY || root.via.array.size != 2) {
            return failure{"malformed message: not a pair"};
        }
        const auto index = root.via.array.ptr[0].as<std::size_t>();
        return detail::decode_alternative<Variant>(index, root.via.array.ptr[1]);
    }
    catch (const std::exception& ex) {
        return failure{std::string("malformed message: ") + ex.what()};
    }
}

}  // namespace balsamdrift
