#include "connection/answer_reader.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http/read.hpp>

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;

/// Notes the start of a read and returns its completion handler.
auto start_read(const std::shared_ptr<answer_reader>& reader)
{
    reader->started_ = true;
    reader->reading_ = true;
    return [reader](const boost::system::error_code& failed, std::size_t) {
        reader->reading_ = false;
        reader->failed_ = failed;
        reader->wake_timer_.cancel();
    };
}

/// Waits until the read under way has completed, at most until @a limit.
task<bool> take_read(std::shared_ptr<answer_reader> reader, time_point limit)
{
    if (reader->reading_)
    {
        boost::system::error_code cancelled;
        reader->wake_timer_.expires_at(limit);
        co_await reader->wake_timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    }
    reader->started_ = reader->reading_;
    co_return !reader->reading_;
}

}  // namespace

task<bool> read_head(std::shared_ptr<answer_reader> reader, time_point limit)
{
    if (!reader->started_)
    {
        http::async_read_header(reader->connection_->socket_, reader->connection_->buffer_, reader->parser_,
                                start_read(reader));
    }
    co_return co_await take_read(reader, limit);
}

task<bool> read_part(std::shared_ptr<answer_reader> reader, time_point limit)
{
    if (!reader->started_)
    {
        reader->parser_.get().body().data = reader->bytes_.data();
        reader->parser_.get().body().size = reader->bytes_.size();
        http::async_read_some(reader->connection_->socket_, reader->connection_->buffer_, reader->parser_,
                              start_read(reader));
    }
    co_return co_await take_read(reader, limit);
}

bool has_read(const answer_reader& reader)
{
    return reader.started_ && !reader.reading_ && (!reader.failed_ || reader.failed_ == http::error::need_buffer);
}

std::string_view last_part(const answer_reader& reader)
{
    return {reader.bytes_.data(), reader.bytes_.size() - reader.parser_.get().body().size};
}

}  // namespace cornelstall
