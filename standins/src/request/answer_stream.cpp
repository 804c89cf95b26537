#include "process/engine_process.hpp"

#include <algorithm>
#include <functional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cornelstall::standins::detail
{

namespace
{

std::string event_of(const json& data)
{
    return "data: " + data.dump() + "\n\n";
}

std::string part_event(const request_id& id, attempt_number attempt, part_number part, const std::string& text)
{
    return event_of({{"request_id", id.get()}, {"attempt", attempt.get()}, {"part", part.get()}, {"text", text}});
}

std::string end_events(const sequence& answer)
{
    const part_number parts = answer.end_ - std::min(answer.first_part_, answer.end_);
    return event_of({{"request_id", answer.id_.get()},
                     {"attempt", answer.attempt_.get()},
                     {"part", answer.end_.get()},
                     {"finish_reason", answer.ends_by_limit_ ? "length" : "stop"},
                     {"usage",
                      {{"prompt_tokens", answer.prompt_.get()},
                       {"cached_tokens", answer.cached_.get()},
                       {"completion_tokens", parts.get()}}}}) +
           "data: [DONE]\n\n";
}

/// One answer on one connection, with the faults that disturb it.
struct stream_writer
{
    const sequence& answer_;
    exchange& current_;
    stream_faults faults_;
    part_number next_;
    std::string swapped_;  ///< a part that is held back until after its successor
};

/// The events of the next part, with what the faults put before and after it.
std::string disturbed_events(stream_writer& writer)
{
    const sequence& answer = writer.answer_;
    const part_number part = writer.next_;
    const std::string event = part_event(answer.id_, answer.attempt_, part, part_text(answer.seed_, part));
    std::string events;
    if (writer.faults_.earlier_attempt_ == part && answer.attempt_ > attempt_number{})
    {
        events += part_event(answer.id_, answer.attempt_ - attempt_number{1}, part, " late");
    }
    if (writer.faults_.foreign_ == part)
    {
        events += part_event(request_id{answer.id_.get() + "-other"}, answer.attempt_, part, " foreign");
    }
    if (writer.faults_.swap_ == part)
    {
        writer.swapped_ = event;
        return events;
    }
    events += event + std::exchange(writer.swapped_, {});
    return writer.faults_.duplicate_ == part ? events + event : events;
}

/// Sends the parts that are ready.
/// @return false when a fault has ended the stream
awaitable<bool> send_ready_parts(stream_writer& writer)
{
    std::string events;
    const part_number ready = writer.answer_.next_part_;
    for (; writer.next_ < ready; writer.next_ = writer.next_.next())
    {
        events += disturbed_events(writer);
        const bool cut = writer.faults_.cut_after_ == writer.next_;
        const bool silent = writer.faults_.silent_after_ == writer.next_;
        const bool endless = writer.faults_.without_end_after_ == writer.next_;
        if (cut || silent || endless)
        {
            co_await writer.current_.send(events);
            if (silent)
            {
                co_await writer.current_.stay_silent();
            }
            if (endless)
            {
                co_await writer.current_.end_stream();
            }
            writer.current_.cut();
            co_return false;
        }
    }
    if (!events.empty())
    {
        co_await writer.current_.send(events);
    }
    co_return true;
}

awaitable<void> send_answer(engine_process& engine, sequence& answer, stream_writer& writer)
{
    const std::uint64_t mine = answer.stream_;
    while (co_await send_ready_parts(writer))
    {
        if (answer.stream_ != mine || answer.state_ == sequence_state::cancelled)
        {
            writer.current_.cut();
            co_return;
        }
        if (writer.next_ < answer.next_part_)
        {
            continue;
        }
        if (answer.state_ == sequence_state::finished)
        {
            co_await writer.current_.send(std::exchange(writer.swapped_, {}) + end_events(answer));
            co_await writer.current_.end_stream();
            engine.host_.counters_.add("streams_finished");
            co_return;
        }
        boost::system::error_code woken;
        answer.changed_.expires_after(engine.settings_.keep_alive_);
        co_await answer.changed_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
        if (!woken)
        {
            co_await writer.current_.send(": keep-alive\n\n");
        }
        if (!writer.current_.open())
        {
            co_return;
        }
    }
}

/// Drops @a answer when no stream has taken it over in time.
awaitable<void> forget_later(engine_process& engine, std::shared_ptr<sequence> answer)
{
    const std::uint64_t last = answer->stream_;
    boost::asio::steady_timer kept{engine.host_.context_, engine.settings_.kept_after_cut_};
    co_await kept.async_wait(boost::asio::use_awaitable);
    if (answer->stream_ == last)
    {
        if (is_active(*answer))
        {
            engine.host_.counters_.add("abandoned");
            cancel_sequence(*answer);
        }
        std::erase(engine.sequences_, answer);
    }
}

}  // namespace

awaitable<void> stream_answer(engine_process& engine, std::shared_ptr<sequence> answer, exchange& current,
                              part_number first)
{
    const std::uint64_t mine = ++answer->stream_;
    answer->changed_.cancel();
    fault_plan& faults = engine.host_.faults_;
    stream_writer writer{.answer_ = *answer, .current_ = current, .faults_ = {}, .next_ = first, .swapped_ = {}};
    if (use_fault(faults.disturbed_streams_))
    {
        writer.faults_ = faults.stream_;
    }
    try
    {
        // GCC 12 destroys a closure twice that is a temporary of a co_await expression.
        std::function<void()> wake = [answer] {
            answer->changed_.cancel();
        };
        co_await current.begin_stream("text/event-stream", std::move(wake));
        co_await send_answer(engine, *answer, writer);
    }
    catch (const boost::system::system_error&)
    {
        engine.host_.counters_.add("streams_cut");
        current.cut();
    }
    if (answer->stream_ == mine)
    {
        boost::asio::co_spawn(engine.host_.context_, forget_later(engine, answer), boost::asio::detached);
    }
}

}  // namespace cornelstall::standins::detail
