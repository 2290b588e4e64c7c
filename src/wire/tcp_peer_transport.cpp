// Index
//   implementation : peers, their addresses and connections
//   connection     : one socket with its input and send buffers
//   tcp_peer_transport
#include "tcp_peer_transport.hpp"

#include <algorithm>
#include <atomic>
#include <cstring>
#include <map>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <vector>

#include <netinet/tcp.h>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>

#include "codec.hpp"
#include "gateway/memory_budget.hpp"

namespace dotterellock
{

namespace
{

using io_error = asio::error_code;
using asio::ip::tcp;

// Input buffers start small, since most connections of a fleet are nearly idle.
constexpr std::size_t initial_input_bytes = 4u << 10;
constexpr std::size_t max_idle_input_bytes = 64u << 10;
constexpr std::size_t max_input_bytes = max_frame_bytes + frame_header_bytes;
constexpr std::size_t max_hello_bytes = 1u << 10; // a peer id and a version
constexpr std::size_t max_retained_output_bytes = 16u << 10;

// Ends a connection within seconds when sent bytes stay unacknowledged or
// keep-alive probes unanswered; the kernel's default is 15 minutes or more.
constexpr int tcp_user_timeout_ms = 10'000;
constexpr int keepalive_idle_s = 10;
constexpr int keepalive_interval_s = 5;
constexpr int keepalive_probes = 3;

constexpr milliseconds accept_retry_delay{100};

// A replaced connection may be healthy: messages in flight on it, also those of
// other requests, have this long to arrive.
constexpr milliseconds drain_timeout{1000};

tcp::endpoint parse_address(std::string const& text, char const* step)
{
    auto const colon = text.rfind(':');
    io_error failure;
    asio::ip::address address;
    if (colon != std::string::npos)
        address = asio::ip::make_address(text.substr(0, colon), failure);
    std::string const port = colon == std::string::npos //
                                 ? std::string{}
                                 : text.substr(colon + 1);
    bool const digits =
        !port.empty() && port.size() <= 5 &&
        port.find_first_not_of("0123456789") == std::string::npos;
    if (failure || !digits || std::stoul(port) > 65535)
    {
        throw error(
            error_code::invalid_argument, step, "",
            "address \"" + text + "\" is not ip:port");
    }
    return {address, static_cast<std::uint16_t>(std::stoul(port))};
}

void set_option(tcp::socket& socket, int level, int name, int value)
{
    // Failure is ignored: it only slows the detection of dead peers.
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

void set_options(tcp::socket& socket)
{
    io_error ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, tcp_user_timeout_ms);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

class connection;
using connection_ptr = std::shared_ptr<connection>;

struct peer_state
{
    std::mutex mutex;
    std::string address;     // empty: only the peer connects
    connection_ptr outgoing; // opened by this process
    connection_ptr incoming; // opened by the peer
    connection_ptr current;  // the later of the two, used for sending
};

} // namespace

// ---- implementation -------------------------------------------------------

class tcp_peer_transport::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(
        asio::io_context& io, tcp_transport_settings settings,
        message_callback on_message, disconnect_callback on_disconnected,
        counter_registry& counters);

    void accept_next();
    void stop();
    void set_address(peer_id const& peer, std::string const& ip_port);
    void send(peer_id const& to, message m);
    void reconnect(peer_id const& to);

    /// Registers a connection opened by the peer, after its hello.
    void add_incoming(peer_id const& peer, connection_ptr const& c);

    /// Unregisters a failed connection and reports the peer as disconnected,
    /// unless the connection was replaced or closed before.
    void remove_connection(peer_id const& peer, connection_ptr const& c);
    void deliver(peer_id const& from, message m);
    void log(char const* step, peer_id const& peer, std::string const& detail);

    /// The counters may be gone when the last connections are destroyed, after
    /// stop().
    void set_gauge(dotterellock::counter& gauge, std::size_t value)
    {
        if (!stopped_)
            gauge.set(value);
    }

    /// Records the new size of an input buffer, unless it exceeds its share.
    bool hold_input(memory_account& account, std::size_t bytes);
    void release_input(std::optional<memory_account>& account);

    asio::io_context& io;
    tcp_transport_settings const settings;
    std::string const hello_frame; // sent first on each connection
    tcp::acceptor acceptor;
    dotterellock::counter& sent;
    dotterellock::counter& received;
    dotterellock::counter& dropped;
    dotterellock::counter& failed;
    dotterellock::counter& refused;
    dotterellock::counter& incoming; // number of connections
    memory_budget input_budget;      // guarded by input_mutex_
    std::atomic<std::size_t> incoming_connections{0};

private:
    /// State of a peer, which is not forgotten while this object exists.
    struct peer_reference
    {
        std::shared_lock<std::shared_mutex> lock;
        peer_state* state = nullptr; // null: the peer is not known
    };

    peer_reference find_peer(peer_id const& peer);
    peer_reference find_or_add_peer(peer_id const& peer);

    /// Forgets the peer if it has neither address nor connection.
    void forget_unused(peer_id const& peer);
    void listen();
    void send_to_self(message m);
    void post_disconnected(peer_id const& peer);

    message_callback const on_message_;
    disconnect_callback const on_disconnected_;
    asio::strand<asio::io_context::executor_type> self_strand_; // keeps order
    asio::steady_timer accept_retry_timer_;
    std::atomic<bool> stopped_{false};
    std::mutex input_mutex_;        // guards input_budget
    std::shared_mutex peers_mutex_; // guards the map, not the states
    std::map<peer_id, std::unique_ptr<peer_state>> peers_;
    dotterellock::counter& peers_known_;
    dotterellock::counter& input_held_;
};

// ---- connection -----------------------------------------------------------

namespace
{

using implementation_ptr = std::shared_ptr<tcp_peer_transport::implementation>;

/// Members are used on the strand of the socket, except the public functions,
/// closed_ and what send_mutex_ guards.
class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(implementation_ptr transport, tcp::socket socket, peer_id peer)
        : transport_(std::move(transport)), socket_(std::move(socket)),
          timer_(socket_.get_executor()), peer_(std::move(peer)),
          outgoing_(!peer_.empty()),
          account_(std::in_place, transport_->input_budget, memory_use::peers),
          unsent_(transport_->hello_frame)
    {
        if (!outgoing_)
            transport_->set_gauge(
                transport_->incoming, ++transport_->incoming_connections);
    }

    ~connection()
    {
        transport_->release_input(account_);
        if (!outgoing_)
            transport_->set_gauge(
                transport_->incoming, --transport_->incoming_connections);
    }

    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    void dial(tcp::endpoint const& to)
    {
        asio::post(
            socket_.get_executor(),
            [self = shared_from_this(), to]
            {
                self->start_handshake_timer();
                self->socket_.async_connect(
                    to,
                    [self](io_error failure) { self->on_connected(failure); });
            });
    }

    void start_accepted()
    {
        asio::post(
            socket_.get_executor(),
            [self = shared_from_this()]
            {
                self->start_handshake_timer();
                self->on_connected({});
            });
    }

    /// Returns false when the send buffer would exceed its limit.
    bool enqueue(std::string const& frame)
    {
        std::lock_guard<std::mutex> const lock(send_mutex_);
        if (unsent_.size() + frame.size() >
            transport_->settings.max_unsent_bytes)
            return false;
        unsent_ += frame;
        if (connected_ && !writing_)
        {
            writing_ = true;
            asio::post(
                socket_.get_executor(),
                [self = shared_from_this()] { self->write(); });
        }
        return true;
    }

    /// Closes the connection after drain_timeout, so that messages in flight
    /// can still arrive. The caller enqueues nothing more. The end of the
    /// connection is not reported as a disconnect.
    void drain()
    {
        asio::post(
            socket_.get_executor(),
            [self = shared_from_this()]
            {
                self->draining_ = true;
                self->timer_.expires_after(drain_timeout);
                self->timer_.async_wait(
                    [self](io_error cancelled)
                    {
                        if (!cancelled)
                            self->close();
                    });
            });
    }

    /// Closes the connection at once. Later input is discarded and errors are
    /// not reported.
    void close()
    {
        closed_ = true;
        asio::post(
            socket_.get_executor(),
            [self = shared_from_this()] { self->close_socket(); });
    }

private:
    void start_handshake_timer()
    {
        timer_.expires_after(transport_->settings.connect_timeout);
        timer_.async_wait(
            [self = shared_from_this()](io_error cancelled)
            {
                if (!cancelled && !self->hello_received_)
                    self->fail("connect", "timeout");
            });
    }

    void on_connected(io_error failure)
    {
        if (failure)
        {
            fail("connect", failure.message());
            return;
        }
        set_options(socket_);
        {
            std::lock_guard<std::mutex> const lock(send_mutex_);
            connected_ = true;
            writing_ = true;
        }
        if (!transport_->hold_input(*account_, initial_input_bytes))
        {
            fail("read", "no memory for input");
            return;
        }
        input_.resize(initial_input_bytes);
        write();
        read();
    }

    /// Sends all buffered frames in one write.
    void write()
    {
        {
            std::lock_guard<std::mutex> const lock(send_mutex_);
            if (writing_bytes_.capacity() > max_retained_output_bytes)
                std::string().swap(writing_bytes_);
            writing_bytes_.clear();
            writing_bytes_.swap(unsent_);
            if (writing_bytes_.empty())
            {
                writing_ = false;
                return;
            }
        }
        asio::async_write(
            socket_, asio::buffer(writing_bytes_),
            [self = shared_from_this()](io_error failure, std::size_t)
            {
                if (failure)
                    self->fail("write", failure.message());
                else
                    self->write();
            });
    }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(
                input_.data() + input_end_, input_.size() - input_end_),
            [self = shared_from_this()](io_error failure, std::size_t n)
            {
                if (failure)
                    self->fail("read", failure.message());
                else
                    self->on_read(n);
            });
    }

    void on_read(std::size_t n)
    {
        input_end_ += n;
        try
        {
            std::size_t begin = 0;
            while (consume_frame(begin))
            {
            }
            compact_input(begin);
        }
        catch (error const& e)
        {
            fail(e.step().c_str(), e.detail());
            return;
        }
        if (!closed_)
            read();
    }

    bool consume_frame(std::size_t& begin)
    {
        if (closed_ || input_end_ - begin < frame_header_bytes)
            return false;
        char const* const frame = input_.data() + begin;
        std::size_t const length = body_length(frame);
        if (!hello_received_ && length > max_hello_bytes)
        {
            throw error(
                error_code::protocol_error, "greet", "",
                "hello exceeds " + std::to_string(max_hello_bytes) + " bytes");
        }
        if (input_end_ - begin - frame_header_bytes < length)
            return false;
        begin += frame_header_bytes + length;
        std::string_view const body(frame + frame_header_bytes, length);
        if (hello_received_)
            transport_->deliver(peer_, decode(body));
        else
            on_hello(decode_hello(body));
        return true;
    }

    void on_hello(hello const& h)
    {
        if (h.peer.empty() || (outgoing_ && h.peer != peer_))
        {
            throw error(
                error_code::protocol_error, "greet", "",
                "unexpected peer id \"" + h.peer.value() + "\"");
        }
        hello_received_ = true;
        if (!draining_)
            timer_.cancel();
        if (outgoing_)
            return;
        peer_ = h.peer;
        transport_->add_incoming(peer_, shared_from_this());
    }

    /// Moves an incomplete frame to the front and resizes the buffer. It grows
    /// with the bytes received, not with the length that a header announces,
    /// so that a header alone cannot allocate memory.
    void compact_input(std::size_t begin)
    {
        bool const was_full = input_end_ == input_.size();
        std::memmove(input_.data(), input_.data() + begin, input_end_ - begin);
        input_end_ -= begin;
        if (input_end_ == input_.size())
        {
            if (!grow_input())
            {
                throw error(
                    error_code::protocol_error, "read", "",
                    "no memory for a frame: all peers together hold too much");
            }
        }
        else if (was_full && input_.size() < max_idle_input_bytes)
        {
            (void)grow_input(); // fewer reads; not required
        }
        else if (input_end_ == 0 && input_.size() > max_idle_input_bytes)
        {
            std::vector<char>(initial_input_bytes).swap(input_);
            transport_->hold_input(*account_, initial_input_bytes);
        }
    }

    bool grow_input()
    {
        std::size_t const size = std::min(2 * input_.size(), max_input_bytes);
        if (!transport_->hold_input(*account_, size))
            return false;
        input_.reserve(size); // resize alone may allocate twice as much
        input_.resize(size);
        return true;
    }

    void fail(char const* step, std::string const& detail)
    {
        if (closed_.exchange(true))
            return;
        close_socket();
        transport_->log(step, peer_, detail);
        transport_->remove_connection(peer_, shared_from_this());
    }

    void close_socket()
    {
        io_error ignored;
        socket_.close(ignored);
        timer_.cancel();
    }

    implementation_ptr const transport_;
    tcp::socket socket_;
    asio::steady_timer timer_; // handshake, then drain
    peer_id peer_;             // empty on an accepted one until its hello
    bool const outgoing_;
    bool hello_received_ = false;
    bool draining_ = false;
    std::atomic<bool> closed_{false};

    std::optional<memory_account> account_; // transport_->hold_input only
    std::vector<char> input_;
    std::size_t input_end_ = 0; // end of the received bytes

    std::mutex send_mutex_; // guards the four members below
    bool connected_ = false;
    bool writing_ = false;
    std::string unsent_;        // frames not yet passed to a write
    std::string writing_bytes_; // frames being written
};

} // namespace

tcp_peer_transport::implementation::implementation(
    asio::io_context& context, tcp_transport_settings s,
    message_callback on_message, disconnect_callback on_disconnected,
    counter_registry& counters)
    : io(context), settings(std::move(s)),
      hello_frame(
          [this]
          {
              std::string frame;
              append_frame(frame, hello{settings.self, DOTTERELLOCK_VERSION});
              return frame;
          }()),
      acceptor(context), sent(counters.counter("wire_messages_sent_total")),
      received(counters.counter("wire_messages_received_total")),
      dropped(counters.counter("wire_messages_dropped_total")),
      failed(counters.counter("wire_connections_failed_total")),
      refused(counters.counter("wire_connections_refused_total")),
      incoming(counters.counter("wire_incoming_connections")),
      input_budget(settings.input_budget_bytes),
      on_message_(std::move(on_message)),
      on_disconnected_(std::move(on_disconnected)),
      self_strand_(asio::make_strand(context)), accept_retry_timer_(context),
      peers_known_(counters.counter("wire_peers")),
      input_held_(counters.counter("wire_input_held_bytes"))
{
    if (!settings.listen_address.empty())
        listen();
}

void tcp_peer_transport::implementation::listen()
{
    auto const address = parse_address(settings.listen_address, "listen");
    try
    {
        acceptor.open(address.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen();
    }
    catch (asio::system_error const& e)
    {
        throw error(
            error_code::invalid_argument, "listen", "",
            settings.listen_address + ": " + e.what());
    }
}

void tcp_peer_transport::implementation::accept_next()
{
    acceptor.async_accept(
        asio::make_strand(io),
        [self = shared_from_this()](io_error failure, tcp::socket socket)
        {
            if (self->stopped_)
                return;
            if (!failure)
            {
                if (self->incoming_connections <
                    self->settings.max_incoming_connections)
                {
                    std::make_shared<connection>(
                        self, std::move(socket), peer_id{})
                        ->start_accepted();
                }
                else
                {
                    self->refused.add();
                    socket.close(failure);
                }
                self->accept_next();
                return;
            }
            // Most likely out of file descriptors; retry after a delay.
            self->log("accept", peer_id{}, failure.message());
            self->accept_retry_timer_.expires_after(accept_retry_delay);
            self->accept_retry_timer_.async_wait(
                [self](io_error cancelled)
                {
                    if (!cancelled)
                        self->accept_next();
                });
        });
}

void tcp_peer_transport::implementation::stop()
{
    stopped_ = true;
    asio::post(
        io,
        [self = shared_from_this()]
        {
            io_error ignored;
            self->acceptor.close(ignored);
            self->accept_retry_timer_.cancel();
        });
    std::unique_lock<std::shared_mutex> const lock(peers_mutex_);
    for (auto& [id, state] : peers_)
    {
        std::lock_guard<std::mutex> const state_lock(state->mutex);
        for (auto* slot : {&state->outgoing, &state->incoming})
        {
            if (*slot)
                (*slot)->close();
            slot->reset();
        }
        state->current.reset();
    }
}

tcp_peer_transport::implementation::peer_reference
tcp_peer_transport::implementation::find_peer(peer_id const& peer)
{
    std::shared_lock<std::shared_mutex> lock(peers_mutex_);
    auto const found = peers_.find(peer);
    return {
        std::move(lock), found == peers_.end() ? nullptr : found->second.get()};
}

tcp_peer_transport::implementation::peer_reference
tcp_peer_transport::implementation::find_or_add_peer(peer_id const& peer)
{
    for (;;)
    {
        // Another thread may forget the new peer before it is found again.
        if (auto found = find_peer(peer); found.state != nullptr)
            return found;
        std::unique_lock<std::shared_mutex> const lock(peers_mutex_);
        auto& slot = peers_[peer];
        if (!slot)
            slot = std::make_unique<peer_state>();
        set_gauge(peers_known_, peers_.size());
    }
}

void tcp_peer_transport::implementation::forget_unused(peer_id const& peer)
{
    std::unique_lock<std::shared_mutex> const lock(peers_mutex_);
    auto const found = peers_.find(peer);
    if (found == peers_.end())
        return;
    peer_state const& state = *found->second;
    if (!state.address.empty() || state.outgoing || state.incoming)
        return;
    peers_.erase(found);
    set_gauge(peers_known_, peers_.size());
}

bool tcp_peer_transport::implementation::hold_input(
    memory_account& account, std::size_t bytes)
{
    std::lock_guard<std::mutex> const lock(input_mutex_);
    if (!account.may_hold(bytes))
        return false;
    account.hold(bytes);
    set_gauge(input_held_, input_budget.held());
    return true;
}

void tcp_peer_transport::implementation::release_input(
    std::optional<memory_account>& account)
{
    std::lock_guard<std::mutex> const lock(input_mutex_);
    account.reset();
    set_gauge(input_held_, input_budget.held());
}

void tcp_peer_transport::implementation::set_address(
    peer_id const& peer, std::string const& ip_port)
{
    parse_address(ip_port, "set_address");
    auto const known = find_or_add_peer(peer);
    peer_state* const state = known.state;
    std::lock_guard<std::mutex> const lock(state->mutex);
    if (state->address == ip_port)
        return;
    state->address = ip_port;
    if (!state->outgoing)
        return;
    // The peer has moved: the old connection leads to another process.
    if (state->current == state->outgoing)
        state->current = state->incoming;
    state->outgoing->drain();
    state->outgoing.reset();
}

void tcp_peer_transport::implementation::send(peer_id const& to, message m)
{
    if (stopped_)
        return;
    if (to == settings.self)
    {
        send_to_self(std::move(m));
        return;
    }
    std::string frame;
    append_frame(frame, m);
    auto const known = find_peer(to);
    peer_state* const state = known.state;
    if (state == nullptr)
    {
        dropped.add();
        post_disconnected(to);
        return;
    }
    std::lock_guard<std::mutex> const lock(state->mutex);
    if (!state->current)
    {
        if (state->address.empty())
        {
            dropped.add();
            post_disconnected(to);
            return;
        }
        state->outgoing = std::make_shared<connection>(
            shared_from_this(), tcp::socket(asio::make_strand(io)), to);
        state->current = state->outgoing;
        state->outgoing->dial(parse_address(state->address, "dial"));
    }
    if (state->current->enqueue(frame))
    {
        sent.add();
        return;
    }
    dropped.add();
    failed.add();
    log("send", to, "send buffer is full; connection dropped");
    auto& slot =
        state->current == state->outgoing ? state->outgoing : state->incoming;
    slot->close();
    slot.reset();
    state->current = state->outgoing ? state->outgoing : state->incoming;
    post_disconnected(to);
}

void tcp_peer_transport::implementation::send_to_self(message m)
{
    sent.add();
    asio::post(
        self_strand_, [self = shared_from_this(), m = std::move(m)]() mutable
        { self->deliver(self->settings.self, std::move(m)); });
}

void tcp_peer_transport::implementation::reconnect(peer_id const& to)
{
    {
        auto const known = find_peer(to);
        peer_state* const state = known.state;
        if (state == nullptr)
            return;
        std::lock_guard<std::mutex> const lock(state->mutex);
        for (auto* slot : {&state->outgoing, &state->incoming})
        {
            if (*slot)
                (*slot)->drain();
            slot->reset();
        }
        state->current.reset();
    }
    forget_unused(to);
}

void tcp_peer_transport::implementation::add_incoming(
    peer_id const& peer, connection_ptr const& c)
{
    auto const known = find_or_add_peer(peer);
    peer_state* const state = known.state;
    std::lock_guard<std::mutex> const lock(state->mutex);
    if (stopped_)
    {
        c->close();
        return;
    }
    // The peer opens another connection only after abandoning the previous one.
    if (state->incoming)
        state->incoming->drain();
    state->incoming = c;
    state->current = c;
}

void tcp_peer_transport::implementation::remove_connection(
    peer_id const& peer, connection_ptr const& c)
{
    if (peer.empty())
        return;
    {
        auto const known = find_peer(peer);
        peer_state* const state = known.state;
        if (state == nullptr)
            return;
        std::lock_guard<std::mutex> const lock(state->mutex);
        bool registered = false;
        for (auto* slot : {&state->outgoing, &state->incoming})
        {
            registered = registered || *slot == c;
            if (*slot == c)
                slot->reset();
        }
        if (!registered)
            return;
        failed.add();
        if (state->current == c)
            state->current =
                state->outgoing ? state->outgoing : state->incoming;
    }
    forget_unused(peer);
    if (!stopped_)
        on_disconnected_(peer);
}

void tcp_peer_transport::implementation::deliver(peer_id const& from, message m)
{
    received.add();
    if (!stopped_)
        on_message_(from, std::move(m));
}

void tcp_peer_transport::implementation::post_disconnected(peer_id const& peer)
{
    asio::post(
        io,
        [self = shared_from_this(), peer]
        {
            if (!self->stopped_)
                self->on_disconnected_(peer);
        });
}

void tcp_peer_transport::implementation::log(
    char const* step, peer_id const& peer, std::string const& detail)
{
    if (settings.log && !stopped_)
        settings.log(step, peer, detail);
}

// ---- tcp_peer_transport ---------------------------------------------------

tcp_peer_transport::tcp_peer_transport(
    asio::io_context& io, tcp_transport_settings settings,
    message_callback on_message, disconnect_callback on_disconnected,
    counter_registry& counters)
    : implementation_(std::make_shared<implementation>(
          io, std::move(settings), std::move(on_message),
          std::move(on_disconnected), counters))
{
}

tcp_peer_transport::~tcp_peer_transport()
{
    implementation_->stop();
}

void tcp_peer_transport::start()
{
    if (implementation_->acceptor.is_open())
        implementation_->accept_next();
}

void tcp_peer_transport::stop()
{
    implementation_->stop();
}

void tcp_peer_transport::set_address(
    peer_id const& peer, std::string const& ip_port)
{
    implementation_->set_address(peer, ip_port);
}

void tcp_peer_transport::send(peer_id const& to, message m)
{
    implementation_->send(to, std::move(m));
}

void tcp_peer_transport::reconnect(peer_id const& to)
{
    implementation_->reconnect(to);
}

std::string tcp_peer_transport::listening_on() const
{
    if (!implementation_->acceptor.is_open())
        return {};
    auto const local = implementation_->acceptor.local_endpoint();
    return local.address().to_string() + ":" + std::to_string(local.port());
}

} // namespace dotterellock
