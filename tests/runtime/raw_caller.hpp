#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "runtime/entry_fixture.hpp"

/// @file
/// A caller that writes its bytes itself, for requests that no HTTP client sends.

namespace cornelstall::testing
{

class raw_caller
{
  public:
    explicit raw_caller(entry_fixture& entry) : entry_(entry), socket_(entry.io_)
    {
        const auto& address = entry.state_.settings_.listen_.get();
        const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
        socket_.connect({boost::asio::ip::address_v4::loopback(), port});
        socket_.non_blocking(true);
    }

    /// Sends @a text while the entry process runs; ends early when the connection is closed.
    void send(const std::string& text)
    {
        std::size_t sent = 0;
        (void)run_until(entry_.io_, [&] {
            boost::system::error_code failed;
            sent += socket_.write_some(boost::asio::buffer(text.data() + sent, text.size() - sent), failed);
            return sent == text.size() || (failed && failed != boost::asio::error::would_block);
        });
    }

    /// Reads until @a text has arrived.
    bool receives(const std::string& text)
    {
        return run_until(entry_.io_, [&] {
            read_arrived();
            return received_.find(text) != std::string::npos;
        });
    }

    /// Reads until the connection is closed.
    bool is_closed()
    {
        return run_until(entry_.io_, [&] {
            read_arrived();
            return closed_;
        });
    }

    [[nodiscard]] const std::string& received() const
    {
        return received_;
    }

    /// Number of answers that have arrived.
    [[nodiscard]] int answers() const
    {
        int count = 0;
        for (auto at = received_.find("HTTP/1.1 "); at != std::string::npos; at = received_.find("HTTP/1.1 ", at + 1))
        {
            ++count;
        }
        return count;
    }

  private:
    void read_arrived()
    {
        std::array<char, 65'536> block{};
        boost::system::error_code failed;
        const auto count = socket_.read_some(boost::asio::buffer(block), failed);
        received_.append(block.data(), count);
        closed_ = closed_ || (failed && failed != boost::asio::error::would_block);
    }

    entry_fixture& entry_;
    boost::asio::ip::tcp::socket socket_;
    std::string received_;
    bool closed_ = false;
};

/// @brief The head of a completion call with @a length as its framing header.
inline std::string completion_head(const std::string& length, const std::string& key = caller_key)
{
    return "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + key + "\r\n" + length +
           "\r\n\r\n";
}

/// @brief A whole completion call.
inline std::string completion_text(const std::string& body, const std::string& key = caller_key)
{
    return completion_head("Content-Length: " + std::to_string(body.size()), key) + body;
}

}  // namespace cornelstall::testing
