#include "cornelstall/runtime/connection/http_call.hpp"

#include <algorithm>
#include <cctype>
#include <vector>

#include "connection/server_connection.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;

constexpr std::size_t read_buffer_bytes = 16'384;

/// Closes a connection at the end of its scope, which also ends a write under way.
class scoped_connection
{
  public:
    explicit scoped_connection(std::shared_ptr<server_connection> connection) : connection_(std::move(connection)) {}
    scoped_connection(const scoped_connection&) = delete;
    scoped_connection& operator=(const scoped_connection&) = delete;
    scoped_connection(scoped_connection&&) = delete;
    scoped_connection& operator=(scoped_connection&&) = delete;
    ~scoped_connection()
    {
        clear_close_deadline(*connection_->transport_);
        close_socket(*connection_->transport_);
    }

  private:
    std::shared_ptr<server_connection> connection_;
};

/// The path of @a url before that of a call; empty when it has none.
std::string path_prefix(const web::uri& url)
{
    return url.path() == "/" ? std::string{} : url.path();
}

http::request<http::string_body> to_request(const http_call& call, const web::uri& url)
{
    http::request<http::string_body> request;
    request.method_string(call.method_);
    request.target(path_prefix(url) + call.path_);
    std::ranges::for_each(call.headers_, [&request](const auto& header) { request.set(header.first, header.second); });
    if (!call.body_.empty())
    {
        request.set(http::field::content_type, call.content_type_);
        request.body() = call.body_;
    }
    return request;
}

std::string lower_case(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

/// The status and the fields of the answer; values of a repeated field are joined by commas.
http_answer read_head(const http::response_header<>& head)
{
    http_answer answer;
    answer.status_ = static_cast<int>(head.result_int());
    std::ranges::for_each(head, [&answer](const auto& field) {
        const std::string value(field.value());
        const auto [entry, added] = answer.headers_.emplace(lower_case(std::string(field.name_string())), value);
        entry->second += added ? "" : ", " + value;
    });
    return answer;
}

}  // namespace

task<http_answer> make_call(http_call call)
{
    const auto connection =
        co_await connect_to_server(call.base_url_, std::chrono::steady_clock::now() + call.timeout_);
    const scoped_connection closed_at_end(connection);
    start_sending(connection, to_request(call, connection->url_));
    co_await receive_head(connection);
    auto answer = read_head(connection->answer_->get());
    std::vector<char> part(read_buffer_bytes);
    auto size = co_await receive_body(connection, part);
    while (size > 0)
    {
        answer.body_.append(part.data(), size);
        size = co_await receive_body(connection, part);
    }
    co_return answer;
}

}  // namespace cornelstall
