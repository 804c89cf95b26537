#include "connection/answer_reader.hpp"

#include <limits>

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http/read.hpp>

#include "cornelstall/runtime/connection/answer_rules.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;

/// Largest event that is buffered until its end arrives; a stream with a larger event is treated as cut. An event holds
/// the tokens of one pass, some hundreds of bytes.
constexpr std::size_t max_event_bytes = 1U << 20U;

void complete_read(answer_reader& reader, const boost::system::error_code& failed)
{
    reader.reading_ = false;
    reader.failed_ = failed;
    reader.wake_timer_.cancel();
    if (const auto other = reader.wakes_.lock())
    {
        other->wake_timer_.cancel();
    }
}

bool is_event_complete(const answer_reader& reader)
{
    return reader.parser_->is_done() || reader.events_.find(event_end) != std::string::npos;
}

/// Reads part after part until an event is complete.
void read_next_part(const std::shared_ptr<answer_reader>& reader)
{
    reader->parser_->get().body().data = reader->part_.data();
    reader->parser_->get().body().size = reader->part_.size();
    http::async_read_some(
        reader->connection_->socket_, reader->connection_->buffer_, *reader->parser_,
        [reader](const boost::system::error_code& failed, std::size_t) {
            reader->events_.append(reader->part_.data(), reader->part_.size() - reader->parser_->get().body().size);
            if (failed && failed != http::error::need_buffer)
            {
                complete_read(*reader, failed);
            }
            else if (is_cut_short(*reader->parser_, *reader->connection_))
            {
                complete_read(*reader, reader->connection_->write_failed_);
            }
            else if (is_event_complete(*reader))
            {
                complete_read(*reader, {});
            }
            else if (reader->events_.size() > max_event_bytes || !reader->share_.grow_to(reader->events_.size()))
            {
                complete_read(*reader, http::error::body_limit);
            }
            else
            {
                read_next_part(reader);
            }
        });
}

/// Reads head after head until one is not that of an interim answer.
task<> read_heads(std::shared_ptr<answer_reader> reader)
{
    auto& connection = *reader->connection_;
    boost::system::error_code failed;
    bool skip = true;
    while (skip)
    {
        reader->parser_.emplace();
        reader->parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        reader->parser_->skip(reader->without_body_);
        failed = co_await receive_answer_head(connection.socket_, connection.buffer_, *reader->parser_);
        skip = !failed && is_interim(reader->parser_->get().result_int()) &&
               ++reader->interim_answers_ <= max_interim_answers;
    }
    complete_read(*reader, failed);
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
        reader->reads_head_ = reader->started_ = reader->reading_ = true;
        boost::asio::co_spawn(reader->connection_->socket_.get_executor(), read_heads(reader), boost::asio::detached);
    }
    co_return co_await take_read(reader, limit);
}

task<bool> read_events(std::shared_ptr<answer_reader> reader, time_point limit)
{
    if (!reader->started_)
    {
        reader->reads_head_ = false;
        reader->started_ = reader->reading_ = true;
        read_next_part(reader);
    }
    co_return co_await take_read(reader, limit);
}

bool has_read(const answer_reader& reader)
{
    return reader.started_ && !reader.reading_ && !reader.failed_;
}

}  // namespace cornelstall
