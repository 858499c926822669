#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace godwit::http {

/// A Beast body that is read into a string. Unlike Beast's own, it takes no
/// memory for a length that the peer announces.
struct arriving_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template<bool IsRequest, class Fields>
        reader(
            boost::beast::http::header<IsRequest, Fields>& /*head*/,
            value_type& body)
            : body_(body)
        {}

        void init(
            const boost::optional<std::uint64_t>& /*length*/,
            boost::system::error_code& failure)
        {
            failure = {};
        }

        template<class Buffers>
        std::size_t
        put(const Buffers& bytes, boost::system::error_code& failure)
        {
            failure = {};
            std::size_t size = 0;
            for (auto next = boost::asio::buffer_sequence_begin(bytes);
                 next != boost::asio::buffer_sequence_end(bytes);
                 ++next) {
                const boost::asio::const_buffer piece = *next;
                body_.append(
                    static_cast<const char*>(piece.data()), piece.size());
                size += piece.size();
            }
            return size;
        }

        void finish(boost::system::error_code& failure) { failure = {}; }

    private:
        value_type& body_;
    };
};

} // namespace godwit::http
