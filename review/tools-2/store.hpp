#pragma once

// A store for the scripts that need more of it than the project's stand-in can do: it forgets its history on request.
// It does what PROTOCOL.md says of the platform's store for the calls that the gateway makes: /log-append, /log-read
// and /log-newest of keyed topics with one partition. One call for each connection.

#include <condition_variable>
#include <deque>

#include "fleet.hpp"

namespace review
{

class forgetful_store
{
  public:
    forgetful_store(const std::string& ip, int port)
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
        if (::bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 || ::listen(listener_, 256) != 0)
        {
            throw cannot_run("the store cannot listen");
        }
        std::thread([this] {
            while (true)
            {
                const int caller = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                if (caller >= 0)
                {
                    std::thread([this, caller] { serve(caller); }).detach();
                }
            }
        }).detach();
    }

    /// Deletes all records; the newest one of each key is retained for /log-newest.
    void forget(const std::string& name)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        auto& each = topics_[name];
        each.first_ += each.records_.size();
        each.records_.clear();
    }

    std::atomic<int> expired_reads_{0};  ///< reads that were answered 410

  private:
    struct topic
    {
        std::uint64_t first_ = 0;
        std::deque<std::string> records_;  // without their lengths
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest_;

        [[nodiscard]] std::uint64_t end() const
        {
            return first_ + records_.size();
        }
    };

    static std::string big_endian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int at = bytes - 1; at >= 0; --at)
        {
            text += static_cast<char>((value >> (8 * at)) & 0xFFU);
        }
        return text;
    }

    static std::string base64(const std::string& bytes)
    {
        static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3)
        {
            std::uint32_t group = 0;
            for (std::size_t k = 0; k < 3; ++k)
            {
                group = (group << 8U) | (at + k < bytes.size() ? static_cast<unsigned char>(bytes[at + k]) : 0U);
            }
            for (std::size_t k = 0; k < 4; ++k)
            {
                text += at + k <= bytes.size() ? digits[(group >> (18U - 6U * k)) & 63U] : '=';
            }
        }
        return text;
    }

    static std::string query_of(const std::string& target, const std::string& name)
    {
        const auto at = target.find(name + "=", target.find('?'));
        const auto begin = at == std::string::npos ? target.size() : at + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    static void reply(int caller, const std::string& status, const std::string& type, const std::string& body)
    {
        (void)send_all(caller,
                       "HTTP/1.1 " + status + "\r\nContent-Type: " + type +
                           "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                           body,
                       now_ms() + 2000);
    }

    void append(topic& to, const std::string& body)
    {
        std::size_t at = 0;
        while (at + 4 <= body.size())
        {
            std::size_t length = 0;
            for (std::size_t k = 0; k < 4; ++k)
            {
                length = (length << 8U) | static_cast<unsigned char>(body[at + k]);
            }
            const auto content = body.substr(at + 4, length);
            at += 4 + length;
            const std::size_t key_length = static_cast<unsigned char>(content.at(0));
            const auto key = content.substr(1, key_length);
            const auto value = content.substr(1 + key_length);
            if (value.empty())
            {
                to.newest_.erase(key);
            }
            else
            {
                to.newest_[key] = {value, to.end()};
            }
            to.records_.push_back(content);
        }
        appended_.notify_all();
    }

    void serve(int caller)
    {
        std::string raw;
        std::size_t end = std::string::npos;
        std::size_t length = 0;
        while (end == std::string::npos || raw.size() < end + 4 + length)
        {
            std::array<char, 8192> piece{};
            const auto count = ::recv(caller, piece.data(), piece.size(), 0);
            if (count <= 0)
            {
                ::close(caller);
                return;
            }
            raw.append(piece.data(), static_cast<std::size_t>(count));
            end = raw.find("\r\n\r\n");
            if (end != std::string::npos)
            {
                length = std::strtoul(field_of(raw.substr(0, end + 2), "Content-Length").c_str(), nullptr, 10);
            }
        }
        const auto target = raw.substr(raw.find(' ') + 1, raw.find(' ', raw.find(' ') + 1) - raw.find(' ') - 1);
        std::unique_lock<std::mutex> lock(mutex_);
        auto& chosen = topics_[query_of(target, "topic")];
        if (target.rfind("/log-append", 0) == 0)
        {
            const auto first = chosen.end();
            append(chosen, raw.substr(end + 4, length));
            const auto last = chosen.end();
            lock.unlock();
            reply(caller, "200 OK", "application/json",
                  "{\"offset\":" + std::to_string(first) + ",\"end\":" + std::to_string(last) + "}");
        }
        else if (target.rfind("/log-read", 0) == 0)
        {
            read(caller, lock, chosen, std::strtoull(query_of(target, "from").c_str(), nullptr, 10),
                 std::atoll(query_of(target, "wait_ms").c_str()));
        }
        else
        {
            std::string items;
            for (const auto& each : chosen.newest_)
            {
                items += (items.empty() ? "" : ",") + ("{\"key\":\"" + each.first) + "\",\"value\":\"" +
                         base64(each.second.first) + "\",\"offset\":" + std::to_string(each.second.second) + "}";
            }
            const auto last = chosen.end();
            lock.unlock();
            reply(caller, "200 OK", "application/json",
                  "{\"items\":[" + items + "],\"has_more\":false,\"end\":" + std::to_string(last) + "}");
        }
        ::close(caller);
    }

    void read(int caller, std::unique_lock<std::mutex>& lock, topic& from, std::uint64_t wanted, std::int64_t wait_ms)
    {
        (void)appended_.wait_for(lock, milliseconds{wait_ms}, [&] { return from.end() > wanted; });
        if (wanted < from.first_)
        {
            const auto first = from.first_;
            lock.unlock();
            ++expired_reads_;
            reply(caller, "410 Gone", "application/json", "{\"first\":" + std::to_string(first) + "}");
            return;
        }
        std::string body = big_endian(from.end(), 8) + big_endian(from.first_, 8);
        for (auto at = wanted; at < from.end(); ++at)
        {
            const auto& content = from.records_[at - from.first_];
            body += big_endian(content.size(), 4) + content;
        }
        lock.unlock();
        reply(caller, "200 OK", "application/octet-stream", body);
    }

    int listener_ = -1;
    std::mutex mutex_;
    std::condition_variable appended_;
    std::map<std::string, topic> topics_;
};

}  // namespace review
