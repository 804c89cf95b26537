#include <cstdlib>

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>

#include "processes/tls_client.hpp"
#include "runtime/peer_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::testing;

namespace
{

namespace ssl = boost::asio::ssl;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

/// Answers one request over TLS and ends the connection with or without telling so within TLS.
task<> serve_over_tls(tcp::acceptor& acceptor, ssl::context& context, bool ends_in_order)
{
    boost::system::error_code failed;
    ssl::stream<tcp::socket> stream(co_await acceptor.async_accept(use_awaitable), context);
    co_await stream.async_handshake(ssl::stream_base::server, redirect_error(use_awaitable, failed));
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::string_body> request;
    co_await boost::beast::http::async_read(stream, buffer, request, redirect_error(use_awaitable, failed));
    const std::string answer{"HTTP/1.1 200 OK\r\n\r\nwhole"};
    co_await boost::asio::async_write(stream, boost::asio::buffer(answer), redirect_error(use_awaitable, failed));
    if (ends_in_order)
    {
        co_await stream.async_shutdown(redirect_error(use_awaitable, failed));
    }
}

/// The end of a call to a TLS server whose certificate is for `localhost`.
/// @param trusted true when the caller's system trusts the certificate
std::shared_ptr<task_end<http_answer>> call_over_tls(bool trusted, bool ends_in_order)
{
    const self_signed_files files("localhost");
    const self_signed_files others("localhost");
    ::setenv("SSL_CERT_FILE", (trusted ? files : others).certificate_file().c_str(), 1);
    boost::asio::io_context io(1);
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    ssl::context context(ssl::context::tls_server);
    context.use_certificate_file(files.certificate_file(), ssl::context::pem);
    context.use_private_key_file(files.key_file(), ssl::context::pem);
    boost::asio::co_spawn(io, serve_over_tls(acceptor, context, ends_in_order), boost::asio::detached);
    http_call call;
    call.base_url_ = "https://localhost:" + std::to_string(acceptor.local_endpoint().port());
    call.timeout_ = milliseconds{10'000};
    auto end = start(io, make_call(std::move(call)));
    CHECK(run_until(io, [&end] { return end->ended(); }));
    ::unsetenv("SSL_CERT_FILE");
    return end;
}

}  // namespace

TEST_CASE("a call over TLS receives the answer of a server that the system trusts")
{
    const auto end = call_over_tls(true, true);
    REQUIRE(end->value_);
    CHECK(end->value_->body_ == "whole");
}

TEST_CASE("a call over TLS sends nothing to a server that the system does not trust")
{
    CHECK(call_over_tls(false, true)->error_id_ == http_connect_failed);
}

TEST_CASE("a body without a length whose TLS connection is cut fails the call")
{
    CHECK(call_over_tls(true, false)->error_id_ == http_cut);
}
