// HTTP server on loopback whose response bytes are written by a script, so that
// they can be endless, malformed, late or sent twice. Each connection has a
// thread of its own; the destructor resets all connections.
#ifndef DOTTERELLOCK_TESTS_SCRIPTED_SERVER_HPP
#define DOTTERELLOCK_TESTS_SCRIPTED_SERVER_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace dotterellock::testing
{

class scripted_connection
{
public:
    explicit scripted_connection(asio::io_context& io) : socket_(io) {}

    /// Reads a request without a body, or up to the end of its head. Returns
    /// its first line; empty: the connection ended.
    std::string read_request()
    {
        asio::error_code failure;
        std::size_t const head = asio::read_until(
            socket_, asio::dynamic_buffer(input_), "\r\n\r\n", failure);
        if (failure)
            return {};
        std::string const line = input_.substr(0, input_.find('\r'));
        input_.erase(0, head);
        return line;
    }

    /// Returns false when the peer has closed the connection.
    bool write(std::string const& bytes)
    {
        asio::error_code failure;
        asio::write(socket_, asio::buffer(bytes), failure);
        return !failure;
    }

    /// Resets the connection.
    /// @param by_unread_input  waits for input and closes it unread; else
    ///                         closes with a linger time of 0
    void reset(bool by_unread_input)
    {
        asio::error_code ignored; // the socket is closed either way
        if (by_unread_input)
            socket_.wait(asio::ip::tcp::socket::wait_read, ignored);
        std::lock_guard<std::mutex> const lock(closing_);
        if (!by_unread_input)
            socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

private:
    friend class scripted_server;

    void shut_down()
    {
        std::lock_guard<std::mutex> const lock(closing_);
        ::shutdown(socket_.native_handle(), SHUT_RDWR);
    }

    asio::ip::tcp::socket socket_;
    std::mutex closing_; // shut_down() is called by another thread as well
    std::string input_;
};

class scripted_server
{
public:
    using script = std::function<void(scripted_connection&)>;

    /// Runs `serve` for each connection and closes it afterwards.
    explicit scripted_server(script serve)
        : serve_(std::move(serve)),
          acceptor_(io_, {asio::ip::address_v4::loopback(), 0}),
          thread_([this] { accept_all(); })
    {
    }

    ~scripted_server()
    {
        stopping_ = true;
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        thread_.join();
        for (auto const& c : connections_)
            c->shut_down();
        for (auto& t : serving_)
            t.join();
    }

    scripted_server(scripted_server const&) = delete;
    scripted_server& operator=(scripted_server const&) = delete;

    std::string url() const
    {
        return "http://127.0.0.1:" +
               std::to_string(acceptor_.local_endpoint().port());
    }

    std::size_t connections() const { return accepted_; }

private:
    void accept_all()
    {
        while (!stopping_)
        {
            auto c = std::make_shared<scripted_connection>(io_);
            asio::error_code failure;
            acceptor_.accept(c->socket_, failure);
            if (failure)
                return;
            ++accepted_;
            connections_.push_back(c);
            serving_.emplace_back(
                [this, c]
                {
                    serve_(*c);
                    c->shut_down();
                });
        }
    }

    script const serve_;
    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> accepted_{0};
    std::vector<std::shared_ptr<scripted_connection>> connections_;
    std::vector<std::thread> serving_; // both: thread_, then the destructor
    std::thread thread_;
};

} // namespace dotterellock::testing

#endif
