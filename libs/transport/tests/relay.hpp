/// A TCP relay whose connections can go silent, be cut or be slowed down.
#pragma once

#include "support.hpp"

#include <array>
#include <atomic>

namespace support
{

/// Runs on the given io_context, on one strand.
class relay
{
public:
    relay(net::io_context& context, std::uint16_t target_port)
        : strand(net::make_strand(context))
        , acceptor(this->strand)
        , target(net::ip::make_address_v4("127.0.0.1"), target_port)
    {
        this->acceptor.open(tcp::v4());
        // Small buffers, so that what is sent does not pile up in the kernel.
        this->acceptor.set_option(
            net::socket_base::receive_buffer_size(32 * 1024));
        this->acceptor.bind({net::ip::make_address_v4("127.0.0.1"), 0});
        this->acceptor.listen();
        this->number = this->acceptor.local_endpoint().port();
        net::post(this->strand, [this] { this->accept(); });
    }
    relay(relay const&) = delete;
    relay& operator=(relay const&) = delete;

    [[nodiscard]] std::uint16_t port() const { return this->number; }

    /// Discards everything that passes, in both directions, without a reset.
    void set_silent(bool value) { this->is_silent = value; }
    /// Does so for good on the connections that are open now; others work.
    void silence_open()
    {
        std::promise<void> done;
        net::post(this->strand, [&] {
            for (auto const& entry : this->pairs) {
                entry->is_silent = true;
            }
            done.set_value();
        });
        done.get_future().wait();
    }
    /// The same on single ones, by the order in which they were opened.
    void silence(std::vector<std::size_t> const& numbers)
    {
        std::promise<void> done;
        net::post(this->strand, [&] {
            for (auto const each : numbers) {
                this->pairs.at(each)->is_silent = true;
            }
            done.set_value();
        });
        done.get_future().wait();
    }
    /// Forwards at most this much a millisecond and connection; 0: no bound.
    void set_bytes_per_ms(std::size_t value) { this->rate = value; }
    /// Closes the connections that are open now.
    void cut()
    {
        std::promise<void> done;
        net::post(this->strand, [&] {
            for (auto const& entry : this->pairs) {
                boost::system::error_code ignored;
                ignored = entry->near.close(ignored);
                ignored = entry->far.close(ignored);
            }
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    using strand_type = net::strand<net::io_context::executor_type>;

    struct pair
    {
        explicit pair(strand_type const& executor)
            : near(executor)
            , far(executor)
            , up_timer(executor)
            , down_timer(executor)
        {}
        tcp::socket near;
        tcp::socket far;
        net::steady_timer up_timer;
        net::steady_timer down_timer;
        std::array<char, 16UL * 1024> up{};
        std::array<char, 16UL * 1024> down{};
        bool is_silent = false;
    };
    using pair_pointer = std::shared_ptr<pair>;

    void accept()
    {
        auto const entry = std::make_shared<pair>(this->strand);
        this->acceptor.async_accept(
            entry->near, [this, entry](boost::system::error_code failure) {
                if (failure) {
                    return;
                }
                this->pairs.push_back(entry);
                entry->far.async_connect(
                    this->target, [this, entry](auto connect_failure) {
                        if (connect_failure) {
                            this->close(entry);
                            return;
                        }
                        this->pump(
                            entry, entry->near, entry->far, entry->up,
                            entry->up_timer);
                        this->pump(
                            entry, entry->far, entry->near, entry->down,
                            entry->down_timer);
                    });
                this->accept();
            });
    }

    void close(pair_pointer const& entry)
    {
        boost::system::error_code ignored;
        ignored = entry->near.close(ignored);
        ignored = entry->far.close(ignored);
    }

    void pump(
        pair_pointer const& entry,
        tcp::socket& from,
        tcp::socket& to,
        std::array<char, 16UL * 1024>& buffer,
        net::steady_timer& timer)
    {
        auto const limit = this->rate == 0
                               ? buffer.size()
                               : std::min(buffer.size(), this->rate.load());
        from.async_read_some(
            net::buffer(buffer.data(), limit),
            [this, entry, &from, &to, &buffer,
             &timer](auto failure, std::size_t count) {
                if (failure) {
                    // A silent relay does not pass on that a side has closed.
                    if (!this->is_silent && !entry->is_silent) {
                        this->close(entry);
                    }
                    return;
                }
                auto const next = [this, entry, &from, &to, &buffer,
                                   &timer](auto write_failure, std::size_t) {
                    if (write_failure) {
                        this->close(entry);
                        return;
                    }
                    if (this->rate == 0) {
                        this->pump(entry, from, to, buffer, timer);
                        return;
                    }
                    timer.expires_after(std::chrono::milliseconds(1));
                    timer.async_wait(
                        [this, entry, &from, &to, &buffer, &timer](auto) {
                            this->pump(entry, from, to, buffer, timer);
                        });
                };
                if (this->is_silent || entry->is_silent) {
                    this->pump(entry, from, to, buffer, timer);
                } else {
                    net::async_write(
                        to, net::buffer(buffer.data(), count), next);
                }
            });
    }

    strand_type strand;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    std::uint16_t number = 0;
    std::atomic<bool> is_silent{false};
    std::atomic<std::size_t> rate{0};
    std::vector<pair_pointer> pairs;
};

} // namespace support
