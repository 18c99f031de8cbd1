#include "foxtaillift/transport/operator_client.hpp"

#include "address.hpp"
#include "http_text.hpp"
#include "response_reader.hpp"
#include "tls.hpp"

#include <array>
#include <optional>

namespace foxtaillift::transport
{

namespace
{

/// One request on one connection, run to its end on an io_context of its own.
class operator_exchange
{
public:
    operator_exchange(
        operator_client_options const& client_options, request const& content)
        : options(client_options)
        , message(content)
        , tls(make_tls_context(tls_role::client, "operator", options.key))
        , stream(io, *tls)
        , budget(options.body_limit)
        , reader(
              {header_limit, options.body_limit},
              content.method == "HEAD",
              budget)
    {}

    exchange_result run()
    {
        this->connect();
        this->io.run_for(this->options.timeout.to_chrono());
        if (!this->result) {
            this->fail(
                failure_reason::deadline,
                "no answer from " + this->options.address + " in time");
        }
        return std::move(*this->result);
    }

private:
    static constexpr std::size_t header_limit = 64UL * 1024;
    static constexpr std::size_t read_size = 16UL * 1024;

    void connect()
    {
        this->stream.lowest_layer().async_connect(
            require_address(this->options.address), [this](error_code failure) {
                if (failure) {
                    this->fail(
                        failure_reason::no_connection,
                        "cannot connect to " + this->options.address + ": " +
                            failure.message());
                } else {
                    this->handshake();
                }
            });
    }

    void handshake()
    {
        this->stream.async_handshake(
            net::ssl::stream_base::client, [this](error_code failure) {
                if (failure || !is_authenticated(this->stream)) {
                    this->fail(
                        failure_reason::no_connection,
                        "TLS handshake with " + this->options.address +
                            " failed; is the operator key the same? " +
                            failure.message());
                } else {
                    this->write();
                }
            });
    }

    void write()
    {
        this->head = make_request_head(this->message, this->options.address);
        this->is_sent = true;
        std::array<net::const_buffer, 2> const buffers{
            net::buffer(this->head), net::buffer(this->message.body)};
        net::async_write(this->stream, buffers, [](error_code, std::size_t) {
            // The read reports a lost connection.
        });
        this->read();
    }

    void read()
    {
        this->scratch.resize(read_size);
        this->stream.async_read_some(
            net::buffer(this->scratch),
            [this](error_code failure, std::size_t bytes) {
                this->on_read(failure, bytes);
            });
    }

    void on_read(error_code failure, std::size_t bytes)
    {
        if (failure) {
            this->fail(
                this->reader.has_started() ? failure_reason::incomplete_answer
                                           : failure_reason::connection_lost,
                failure.message());
            return;
        }
        this->input.append(this->scratch, 0, bytes);
        switch (this->reader.consume(this->input)) {
        case response_reader::progress::need_more:
            this->read();
            break;
        case response_reader::progress::complete:
            this->result = {
                .outcome = delivery::answered,
                .reason = failure_reason::none,
                .message = {},
                .answer = this->reader.take()};
            this->io.stop();
            break;
        case response_reader::progress::failed:
            this->fail(this->reader.reason(), this->reader.message());
            break;
        }
    }

    void fail(failure_reason reason, std::string const& explanation)
    {
        this->result = {
            .outcome =
                this->is_sent ? delivery::sent_unknown : delivery::not_sent,
            .reason = reason,
            .message = explanation,
            .answer = {}};
        this->io.stop();
    }

    operator_client_options const& options;
    request const& message;
    net::io_context io;
    std::shared_ptr<net::ssl::context> tls;
    tls_stream stream;
    buffer_budget budget;
    response_reader reader;
    std::string head;
    std::string scratch;
    std::string input;
    bool is_sent = false;
    std::optional<exchange_result> result;
};

} // namespace

operator_client::operator_client(operator_client_options client_options)
    : options(std::move(client_options))
{
    require_address(this->options.address);
    make_tls_context(tls_role::client, "operator", this->options.key);
}

exchange_result operator_client::send(request const& message) const
{
    if (auto fault = find_fault(message); !fault.empty()) {
        return {
            .outcome = delivery::not_sent,
            .reason = failure_reason::invalid_request,
            .message = std::move(fault),
            .answer = {}};
    }
    return operator_exchange{this->options, message}.run();
}

} // namespace foxtaillift::transport
