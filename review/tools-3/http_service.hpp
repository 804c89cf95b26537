#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace review
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

/// Milliseconds since the program started, on a monotonic clock.
std::int64_t now_ms();

/// Sleeps until @a at_ms on the clock of `now_ms`.
void sleep_until_ms(std::int64_t at_ms);

/// An HTTP/1.1 server on a loopback address with one thread for each connection.
class http_service
{
  public:
    using handler = std::function<response(const request&)>;

    /// Listens on @a ip and a free port.
    /// @throws boost::system::system_error when the address cannot be used
    http_service(const std::string& ip, handler serve);
    ~http_service() = default;
    http_service(const http_service&) = delete;
    http_service(http_service&&) = delete;
    http_service& operator=(const http_service&) = delete;
    http_service& operator=(http_service&&) = delete;

    [[nodiscard]] const std::string& address() const
    {
        return address_;
    }

    /// How callers see that the service is away.
    enum class absence
    {
        none,
        reset,   ///< all connections are closed, and new ones are reset
        silent,  ///< nothing is answered, also later, on connections that were open or are opened meanwhile
    };
    void set_away(absence kind);

  private:
    void accept_connections();
    void serve_connection(const std::shared_ptr<tcp::socket>& socket);

    handler serve_;
    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::string address_;
    std::atomic<absence> away_{absence::none};
    std::atomic<int> silences_{0};
    std::mutex mutex_;
    std::vector<std::weak_ptr<tcp::socket>> open_;
};

/// Sends @a message to @a address (ip:port) on a new connection.
/// @return the response, with result code 0 (unknown) when none arrived within @a timeout_ms milliseconds
response send_request(const std::string& address, const request& message, int timeout_ms);

/// Ports on which nothing listens, for TCP and for UDP, on all of @a ips.
std::vector<int> free_ports(const std::vector<std::string>& ips, std::size_t count);

/// Makes a response to @a call.
response make_response(const request& call, http::status status, std::string body);

/// The value of the field @a name, or an empty text.
std::string field(const request& call, const std::string& name);

}  // namespace review
