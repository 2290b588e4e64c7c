#include "caller_connection.hpp"

#include <utility>

#include <asio/write.hpp>

#include "standins/standin.hpp"

namespace dotterellock::soak
{

caller_connection::caller_connection(asio::io_context& io)
    : io_(io), socket_(io), parser_(message_parser::kind::response, *this)
{
}

void caller_connection::send(
    asio::ip::tcp::endpoint const& peer, std::vector<std::string> pieces,
    std::chrono::milliseconds pause, std::function<void()> written,
    response_handler& handler)
{
    handlers_.push_back(&handler);
    for (std::size_t i = 0; i < pieces.size(); ++i)
        unsent_.push_back(
            {std::move(pieces[i]),
             i == 0 ? std::chrono::milliseconds(0) : pause,
             i + 1 == pieces.size() ? std::move(written) : nullptr});
    if (connected_)
        write();
    if (std::exchange(connecting_, true))
        return;
    socket_.async_connect(
        peer,
        [this, self = shared_from_this()](asio::error_code const& e)
        {
            if (e)
                fail(connection_failure::not_connected);
            if (!open_)
                return;
            connected_ = true;
            asio::error_code ignored; // a late piece is only slower
            socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
            read();
            write();
        });
}

void caller_connection::write()
{
    if (writing_ || unsent_.empty() || !open_)
        return;
    writing_ = true;
    standins::after(
        io_, unsent_.front().pause_before,
        [this, self = shared_from_this()]
        {
            if (!open_)
                return;
            asio::async_write(
                socket_, asio::buffer(unsent_.front().bytes),
                [this, self](asio::error_code const& e, std::size_t)
                {
                    if (e || !open_)
                        return; // the read reports the end
                    auto const sent = std::move(unsent_.front());
                    unsent_.pop_front();
                    writing_ = false;
                    if (sent.written)
                        sent.written();
                    write();
                });
        });
}

void caller_connection::read()
{
    socket_.async_read_some(
        asio::buffer(buffer_),
        [this,
         self = shared_from_this()](asio::error_code const& e, std::size_t n)
        {
            if (!open_)
                return;
            if (e)
            {
                if (e == asio::error::eof && parser_.in_message() &&
                    parser_.close_delimited())
                    parser_.finish();
                fail(
                    e == asio::error::eof ? connection_failure::closed
                                          : connection_failure::reset);
                return;
            }
            parse({buffer_.data(), n});
            if (open_ && read_pause.count() == 0)
                read();
            else if (open_)
                standins::after(
                    io_, read_pause,
                    [this, self]
                    {
                        if (open_)
                            read();
                    });
        });
}

void caller_connection::parse(std::string_view bytes)
{
    while (open_ && !bytes.empty())
    {
        if (handlers_.empty())
        {
            fail(connection_failure::malformed); // bytes of no response
            return;
        }
        bytes.remove_prefix(parser_.feed(bytes));
        if (parser_.error() != parse_error::none)
            fail(connection_failure::malformed);
    }
}

void caller_connection::on_head(message_head head)
{
    if (!handlers_.empty())
        handlers_.front()->on_response_head(std::move(head));
}

void caller_connection::on_body(std::string_view bytes)
{
    if (!handlers_.empty())
        handlers_.front()->on_response_body(bytes);
}

void caller_connection::on_complete()
{
    if (handlers_.empty())
        return;
    reusable_ = reusable_ && parser_.keep_alive() && unsent_.empty();
    auto* const handler = handlers_.front();
    handlers_.pop_front();
    bool const last = !parser_.keep_alive();
    handler->on_response_complete();
    if (last)
        fail(connection_failure::closed);
}

void caller_connection::fail(connection_failure failure)
{
    if (!std::exchange(open_, false))
        return;
    asio::error_code ignored; // the connection is discarded either way
    socket_.close(ignored);
    for (auto& piece : unsent_)
        piece.written = nullptr; // it may own this connection
    for (auto* const handler : std::exchange(handlers_, {}))
        handler->on_failure(failure);
}

} // namespace dotterellock::soak
