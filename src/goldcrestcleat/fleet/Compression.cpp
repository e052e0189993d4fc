#include "goldcrestcleat/fleet/Compression.h"

#include "goldcrestcleat/errors/ResultCode.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

#include <algorithm>
#include <sstream>

namespace goldcrestcleat::fleet {

using errors::PeerError;
using errors::ResultCode;

std::string compress(std::string_view bytes)
{
    std::ostringstream out;
    Poco::DeflatingOutputStream deflater(out, Poco::DeflatingStreamBuf::STREAM_ZLIB);
    deflater.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    deflater.close();
    return out.str();
}

std::string decompress(std::string_view bytes, std::size_t maxBytes)
{
    try {
        Poco::MemoryInputStream in(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        Poco::InflatingInputStream inflater(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
        inflater.exceptions(std::ios::badbit);
        std::string out;
        char block[16 * 1024];
        while (inflater.read(block, sizeof block), inflater.gcount() > 0) {
            out.append(block, static_cast<std::size_t>(inflater.gcount()));
            if (out.size() > maxBytes)
                throw PeerError(ResultCode::PeerFrameInvalid, "decompressed message exceeds the size limit");
        }
        return out;
    } catch (const Poco::Exception& e) {
        throw PeerError(ResultCode::PeerFrameInvalid, "compressed data: " + e.displayText());
    } catch (const std::ios::failure& e) {
        throw PeerError(ResultCode::PeerFrameInvalid, std::string("compressed data: ") + e.what());
    }
}

} // namespace goldcrestcleat::fleet
