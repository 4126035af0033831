#include "base/compression.h"

#include <QByteArray>
#include <utility>

namespace balsamdrift {
namespace {

/// First byte of compressed bytes. Encoded messages begin with an array, a map or an integer below.
constexpr char compressed_marker = 'Z';

/// The fastest level: documents of routes shrink to a tenth already.
constexpr int level = 1;

}  // namespace

std::string compress_if_large(std::string bytes)
{
    if (bytes.size() < compression_threshold_bytes) {
        return bytes;
    }
    const QByteArray packed = qCompress(reinterpret_cast<const uchar*>(bytes.data()),
                                        static_cast<qsizetype>(bytes.size()), level);
    return std::string(1, compressed_marker).append(packed.constData(), packed.size());
}

outcome<std::string> decompress(std::string_view bytes)
{
    if (bytes.empty() || bytes.front() != compressed_marker) {
        return std::string(bytes);
    }
    const std::string_view body = bytes.substr(1);
    const QByteArray plain = qUncompress(reinterpret_cast<const uchar*>(body.data()),
                                         static_cast<qsizetype>(body.size()));
    if (plain.isEmpty()) {
        return failure{"malformed compressed bytes"};
    }
    return plain.toStdString();
}

}  // namespace balsamdrift
