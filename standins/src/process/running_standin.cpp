#include "cornelstall/standins/process/running_standin.hpp"

#include "process/host.hpp"

#include <csignal>

#include <boost/asio/signal_set.hpp>

namespace cornelstall::standins
{

running_standin::running_standin(std::unique_ptr<detail::host> host) : host_(std::move(host)), address_(host_->address_)
{}

running_standin::~running_standin() = default;
running_standin::running_standin(running_standin&&) noexcept = default;
running_standin& running_standin::operator=(running_standin&&) noexcept = default;

const socket_address& running_standin::address() const noexcept
{
    return address_;
}

void running_standin::stop()
{
    host_.reset();
}

struct stop_signal::waiter
{
    boost::asio::io_context context_{1};
    boost::asio::signal_set signals_{context_, SIGINT, SIGTERM};
};

stop_signal::stop_signal() : waiter_(std::make_unique<waiter>())
{
    waiter_->signals_.async_wait([](const boost::system::error_code&, int) {});
}

stop_signal::~stop_signal() = default;

void stop_signal::wait() const
{
    waiter_->context_.run();
}

}  // namespace cornelstall::standins
