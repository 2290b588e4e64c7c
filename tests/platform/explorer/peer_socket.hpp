// One end of a connection under the explorer's control: it reads and writes
// without blocking, and sends no more bytes than it was told to.
#ifndef DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_PEER_SOCKET_HPP
#define DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_PEER_SOCKET_HPP

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include <asio.hpp>
#include <poll.h>

namespace dotterellock::testing::explorer
{

class peer_socket
{
public:
    explicit peer_socket(asio::ip::tcp::socket socket);

    /// Resets the connection, which leaves no port in TIME_WAIT.
    ~peer_socket();

    peer_socket(peer_socket const&) = delete;
    peer_socket& operator=(peer_socket const&) = delete;

    void append(std::string const& text) { outbox_ += text; }

    /// Lets so many more of the appended bytes be sent; 0 is all.
    void allow(std::size_t bytes);

    /// Adds what pump() would wait for.
    void add_interest(std::vector<pollfd>& polled);

    /// Reads and writes what is possible now. Returns whether it did anything.
    bool pump();

    /// Reads up to so many bytes while reading is paused.
    void read_some(std::size_t bytes);
    void pause_reading() { reading_ = false; }
    void resume_reading() { reading_ = true; }
    bool reading() const { return reading_; }

    void close();
    void half_close();
    void reset();

    std::string const& received() const { return inbox_; }
    std::size_t sent() const { return sent_; }
    std::size_t appended() const { return outbox_.size(); }
    bool all_sent() const { return sent_ == outbox_.size(); }
    bool open() const { return socket_.is_open(); }
    bool ended_in_order() const { return ended_in_order_; }
    bool broken() const { return broken_; }
    bool ended() const { return ended_in_order_ || broken_; }

private:
    bool read(std::size_t limit);

    asio::ip::tcp::socket socket_;
    std::string inbox_;
    std::string outbox_;
    std::size_t sent_ = 0;
    std::size_t allowed_ = 0;
    bool reading_ = true;
    bool ended_in_order_ = false; // by the other side
    bool broken_ = false;         // as before, by a reset
    std::array<char, 65536> buffer_;
};

} // namespace dotterellock::testing::explorer

#endif
