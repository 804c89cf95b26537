#pragma once

#include <fcntl.h>
#include <netinet/in.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelstall/value.hpp"

/// @file
/// Certificates that tests make themselves, and clients on raw sockets, with or without TLS.

namespace cornelstall::testing
{

/// @brief A key and a certificate that it signs itself, as files in a directory of their own.
class self_signed_files
{
  public:
    /// @param common_name the host name that the certificate is for
    explicit self_signed_files(const std::string& common_name = "cornelstall-peer")
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "cornelstall-tls-XXXXXX").string();
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        directory_ = pattern;
        const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"), EVP_PKEY_free);
        const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), X509_free);
        constexpr long one_day_s = 86'400;
        X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -one_day_s);
        X509_gmtime_adj(X509_getm_notAfter(certificate.get()), one_day_s);
        X509_set_pubkey(certificate.get(), key.get());
        auto* const name = X509_get_subject_name(certificate.get());
        const auto* const text = reinterpret_cast<const unsigned char*>(common_name.c_str());
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, text, -1, -1, 0);
        X509_set_issuer_name(certificate.get(), name);
        REQUIRE(X509_sign(certificate.get(), key.get(), EVP_sha256()) > 0);
        write(certificate_file(), [&](std::FILE* file) { return PEM_write_X509(file, certificate.get()); });
        write(key_file(), [&](std::FILE* file) {
            return PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        });
    }

    ~self_signed_files()
    {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
    self_signed_files(const self_signed_files&) = delete;
    self_signed_files& operator=(const self_signed_files&) = delete;
    self_signed_files(self_signed_files&&) = delete;
    self_signed_files& operator=(self_signed_files&&) = delete;

    [[nodiscard]] std::string certificate_file() const
    {
        return (directory_ / "certificate.pem").string();
    }

    [[nodiscard]] std::string key_file() const
    {
        return (directory_ / "key.pem").string();
    }

    /// The flags that switch TLS on.
    [[nodiscard]] std::vector<std::string> flags() const
    {
        return {"--tls-certificate", certificate_file(), "--tls-key",
                key_file(),          "--tls-authority",  certificate_file()};
    }

  private:
    template <class Writer>
    static void write(const std::string& path, const Writer& writer)
    {
        std::FILE* const file = std::fopen(path.c_str(), "w");
        REQUIRE(file != nullptr);
        REQUIRE(writer(file) == 1);
        REQUIRE(std::fclose(file) == 0);
    }

    std::filesystem::path directory_;
};

using tls_context = std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)>;

/// @brief A context that trusts every certificate.
inline tls_context trusting_context()
{
    tls_context context(SSL_CTX_new(TLS_client_method()), SSL_CTX_free);
    SSL_CTX_set_mode(context.get(), SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
    return context;
}

/// @brief A connected socket on loopback. Writes never wait.
class raw_connection
{
  public:
    /// @param context null for plain text
    raw_connection(const socket_address& address, SSL_CTX* context)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), tls_(nullptr, SSL_free)
    {
        const auto& text = address.get();
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(std::stoul(text.substr(text.rfind(':') + 1))));
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connected_ = ::connect(socket_, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0;
        if (connected_ && context != nullptr)
        {
            tls_.reset(SSL_new(context));
            SSL_set_fd(tls_.get(), socket_);
            connected_ = SSL_connect(tls_.get()) == 1;
        }
        ::fcntl(socket_, F_SETFL, ::fcntl(socket_, F_GETFL) | O_NONBLOCK);
    }

    ~raw_connection()
    {
        ::close(socket_);
    }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection(raw_connection&&) = delete;
    raw_connection& operator=(raw_connection&&) = delete;

    [[nodiscard]] int socket() const
    {
        return socket_;
    }

    [[nodiscard]] bool is_connected() const
    {
        return connected_;
    }

    /// @return bytes that the connection took, 0 when it takes none now, nothing when it is closed
    std::optional<std::size_t> write_some(std::string_view text)
    {
        if (tls_)
        {
            return result_of(SSL_write(tls_.get(), text.data(), static_cast<int>(text.size())));
        }
        const auto count = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
        return plain_result(count);
    }

    /// @return bytes that were added to @a text, 0 when there are none now, nothing when the connection is closed
    std::optional<std::size_t> read_some(std::string& text)
    {
        std::array<char, 16'384> block{};
        std::optional<std::size_t> count;
        if (tls_)
        {
            count = result_of(SSL_read(tls_.get(), block.data(), static_cast<int>(block.size())));
        }
        else
        {
            const auto received = ::recv(socket_, block.data(), block.size(), 0);
            count = received == 0 ? std::nullopt : plain_result(received);
        }
        text.append(block.data(), count.value_or(0));
        return count;
    }

  private:
    std::optional<std::size_t> result_of(int count)
    {
        if (count > 0)
        {
            return static_cast<std::size_t>(count);
        }
        const auto problem = SSL_get_error(tls_.get(), count);
        ERR_clear_error();
        const bool is_waiting = problem == SSL_ERROR_WANT_READ || problem == SSL_ERROR_WANT_WRITE;
        return is_waiting ? std::optional<std::size_t>(0) : std::nullopt;
    }

    static std::optional<std::size_t> plain_result(ssize_t count)
    {
        if (count >= 0)
        {
            return static_cast<std::size_t>(count);
        }
        return errno == EAGAIN || errno == EWOULDBLOCK ? std::optional<std::size_t>(0) : std::nullopt;
    }

    int socket_;
    bool connected_ = false;
    std::unique_ptr<SSL, decltype(&SSL_free)> tls_;
};

}  // namespace cornelstall::testing
