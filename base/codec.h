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

    /// Reads a duration from a whole number of milliseconds.
    template<>
    struct convert<std::chrono::milliseconds> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          std::chrono::milliseconds& value) const
        {
            value = std::chrono::milliseconds(from.as<std::int64_t>());
            return from;
        }
    };

    /// Writes a duration as a whole number of milliseconds.
    template<>
    struct pack<std::chrono::milliseconds> {
        template<class Stream>
        packer<Stream>& operator()(msgpack::packer<Stream>& out,
                                   const std::chrono::milliseconds& value) const
        {
            return out.pack(static_cast<std::int64_t>(value.count()));
        }
    };

    }  // namespace adaptor
}
}  // namespace msgpack

namespace balsamdrift {

/// Serializes a message with MessagePack. Structs list their members in MSGPACK_DEFINE and are
/// packed as arrays, so members may only be added at the end: older readers ignore an added member,
/// and newer readers leave it at its default if it is missing.
template<class T>
std::string encode(const T& message)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, message);
    return {buf.data(), buf.size()};
}

/// Reads a message that encode() wrote. Malformed bytes give a failure; nothing is thrown.
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

/// Reads the alternative with the given index into a variant; `Index` is the one to compare with.
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

/// Serializes a variant as an array of two: the index of its alternative and the alternative.
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

/// Reads a variant that encode_variant() wrote. The index identifies the alternative on the wire,
/// so alternatives may only be added at the end.
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
