#include "crowd.hpp"

#include <fstream>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "cornelstall/runtime/connection/answer_rules.hpp"

namespace cornelstall::testing
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using clock = std::chrono::steady_clock;

constexpr std::uint64_t seed = 20240117;
/// Between two samples of the process, and before an ordinary caller repeats its request.
constexpr milliseconds pause{50};
/// The crowd has this long to send; callers that the gateway pauses take longer. Below `idle_timeout_ms`, so that the
/// ordinary request finds the crowd connected.
constexpr milliseconds sending_limit{12'000};
/// An ordinary caller repeats a refused or lost request for this long.
constexpr milliseconds ordinary_limit{20'000};
/// Of one attempt: the time limit of the route and a second for the way.
constexpr milliseconds attempt_limit{7000};
constexpr milliseconds connect_limit{5000};
/// A case that has not ended after this time has failed.
constexpr milliseconds case_limit{60'000};
/// Keeps bytes that the gateway does not read out of the kernel's memory.
constexpr int send_buffer_bytes = 65'536;
constexpr unsigned unavailable = 503;
constexpr std::uint64_t max_answer_bytes = 2 * max_body_bytes;

/// The logs of the last run stay in the build's folder.
soak::soak_settings small_deployment()
{
    static int cases = 0;
    soak::soak_settings settings;
    settings.seed_ = seed;
    settings.vms_ = 1;
    settings.servers_ = 1;
    settings.programs_ = BINARY_DIR;
    settings.folder_ = settings.programs_ / "hostile_callers" / std::to_string(++cases);
    settings.added_tables_ =
        "[limits]\nmemory_mb = " + std::to_string(memory_mb) + "\nmax_fds = " + std::to_string(max_fds) + "\n";
    std::filesystem::remove_all(settings.folder_);
    return settings;
}

std::string head_of(const std::string& id, const std::string& fields)
{
    return "POST /repeatable/" + id +
           " HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Bearer key-a\r\nAttempt-Id: " + id + "\r\n" + fields;
}

void sample(const soak::deployment& all, observed_gateway& seen)
{
    const std::filesystem::path folder = "/proc/" + std::to_string(all.vms_.front().process_->id());
    const std::string name{"VmHWM:"};
    std::ifstream status(folder / "status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with(name))
        {
            seen.peak_memory_kb_ = std::max<std::size_t>(seen.peak_memory_kb_, std::stoul(line.substr(name.size())));
        }
    }
    std::error_code failed;
    const std::filesystem::directory_iterator entries(folder / "fd", failed);
    const auto descriptors = failed ? 0 : std::ranges::distance(begin(entries), end(entries));
    seen.most_descriptors_ = std::max(seen.most_descriptors_, static_cast<std::size_t>(descriptors));
}

task<> sample_until_end(soak::deployment& all, observed_gateway& seen)
{
    while (!seen.finished_)
    {
        sample(all, seen);
        co_await sleep_for(pause);
    }
}

/// Sends a whole request on a connection of its own and reads the answer.
/// @return the status of the answer; 0 when there was no whole answer
task<unsigned> send_request(soak::deployment& all, std::string id, std::string fields, std::string body)
{
    const auto end = clock::now() + attempt_limit;
    const auto connection = co_await connect_to(all.executor_, all.vms_.front().listen_.get(), end);
    if (!connection)
    {
        co_return 0;
    }
    set_close_deadline(*connection, end);
    const std::string message = head_of(id, fields) + body;
    boost::system::error_code failed;
    co_await boost::asio::async_write(connection->socket_, boost::asio::buffer(message),
                                      redirect_error(use_awaitable, failed));
    // A failed write may follow an early answer.
    connection->write_failed_ = failed;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    co_await http::async_read(connection->socket_, connection->buffer_, parser, redirect_error(use_awaitable, failed));
    clear_close_deadline(*connection);
    const bool whole = !failed && is_final(parser.get().result_int()) && !is_cut_short(parser, *connection);
    co_return whole ? parser.get().result_int() : 0;
}

/// Sends a small request as an ordinary caller, which repeats it when it was refused for now or lost.
task<unsigned> send_ordinary_request(soak::deployment& all)
{
    const auto end = clock::now() + ordinary_limit;
    unsigned status = 0;
    for (int attempt = 1; (status == 0 || status == unavailable) && clock::now() < end; ++attempt)
    {
        status =
            co_await send_request(all, "ordinary-" + std::to_string(attempt), "Content-Length: 5\r\n\r\n", "hello");
        co_await sleep_for(pause);
    }
    co_return status;
}

/// Cancels the sending of @a caller when the gateway answers or closes the connection.
std::shared_ptr<bool> notice_answer(const std::shared_ptr<deadline_socket>& caller, observed_gateway& seen)
{
    auto answered = std::make_shared<bool>(false);
    caller->socket_.async_wait(tcp::socket::wait_read, [caller, answered, &seen](const boost::system::error_code&) {
        ++seen.answered_;
        *answered = true;
        boost::system::error_code ignored;
        caller->socket_.cancel(ignored);
    });
    return answered;
}

/// One caller of the crowd, which keeps its connection until the case ends.
task<> send_and_stay(soak::deployment& all, const crowd& callers, std::size_t index, observed_gateway& seen)
{
    co_await sleep_for(callers.interval_ * static_cast<int>(index));
    const auto caller =
        co_await connect_to(all.executor_, all.vms_.front().listen_.get(), clock::now() + connect_limit);
    if (!caller)
    {
        ++seen.settled_;
        co_return;
    }
    boost::system::error_code failed;
    caller->socket_.set_option(tcp::socket::send_buffer_size(send_buffer_bytes), failed);
    const auto answered = callers.notices_answer_ ? notice_answer(caller, seen) : std::make_shared<bool>(false);
    const std::string head = head_of("hostile-" + std::to_string(index), callers.fields_);
    co_await boost::asio::async_write(caller->socket_, boost::asio::buffer(head),
                                      redirect_error(use_awaitable, failed));
    for (std::size_t repeat = 0; !failed && !*answered && repeat < callers.repeats_; ++repeat)
    {
        co_await boost::asio::async_write(caller->socket_, boost::asio::buffer(callers.body_),
                                          redirect_error(use_awaitable, failed));
    }
    ++seen.settled_;
    while (!seen.finished_)
    {
        co_await sleep_for(pause);
    }
}

task<> play(soak::deployment& all, const crowd& callers, observed_gateway& seen)
{
    co_await soak::start_deployment(all);
    spawn(all.executor_, "sample_until_end", sample_until_end(all, seen));
    for (std::size_t index = 0; index < callers.callers_; ++index)
    {
        spawn(all.executor_, "send_and_stay", send_and_stay(all, callers, index, seen));
    }
    const auto limit = clock::now() + sending_limit;
    while (seen.settled_ < callers.callers_ && clock::now() < limit)
    {
        co_await sleep_for(pause);
    }
    seen.status_ = co_await send_ordinary_request(all);
    sample(all, seen);
    seen.alive_ = !all.vms_.front().process_->ended();
    seen.finished_ = true;
}

task<> send_without_load(soak::deployment& all, const std::string& fields, const std::string& body, unsigned& status)
{
    co_await soak::start_deployment(all);
    status = co_await send_request(all, "calm", fields, body);
}

/// Runs @a work until it ends, at most until the limit of a case.
void run_case(boost::asio::io_context& context, task<> work)
{
    boost::asio::co_spawn(context, std::move(work), [&context](const std::exception_ptr& failure) {
        context.stop();
        if (failure)
        {
            std::rethrow_exception(failure);
        }
    });
    context.run_for(case_limit);
}

}  // namespace

observed_gateway face_crowd(const crowd& callers)
{
    boost::asio::io_context context(1);
    soak::deployment all(context.get_executor(), small_deployment());
    observed_gateway seen;
    run_case(context, play(all, callers, seen));
    std::cout << "VmHWM " << seen.peak_memory_kb_ << " kB, descriptors " << seen.most_descriptors_ << ", settled "
              << seen.settled_ << " and answered " << seen.answered_ << " of " << callers.callers_
              << ", ordinary request " << seen.status_ << ", alive " << seen.alive_ << std::endl;
    return seen;
}

unsigned answer_without_load(const std::string& fields, const std::string& body)
{
    boost::asio::io_context context(1);
    soak::deployment all(context.get_executor(), small_deployment());
    unsigned status = 0;
    run_case(context, send_without_load(all, fields, body, status));
    return status;
}

}  // namespace cornelstall::testing
