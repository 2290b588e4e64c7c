// Measures the cost of sending a token from an agent to a router: encoding and
// decoding, the transport over loopback, which writes queued messages in
// batches, and memory per connection. Times are CPU time of this process,
// which other load on the machine affects little. Prints one JSON document.
//
// Baselines: JSON instead of Thrift for the codec; one write and two reads per
// message instead of batched writes for the transport.
#include <array>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

#include "records.hpp"
#include "wire/codec.hpp"
#include "wire/tcp_peer_transport.hpp"

namespace dotterellock::bench
{

using asio::ip::tcp;
using nlohmann::json;

constexpr unsigned codec_rounds = 200'000;
constexpr unsigned batched_messages = 400'000;
constexpr unsigned unbatched_messages = 50'000;
// One message for each of the streams that have a token ready at once.
constexpr unsigned burst_messages = 64;
constexpr unsigned connection_count = 200;

double cpu_seconds()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) +
           1e-9 * static_cast<double>(t.tv_nsec);
}

token_batch batch_of(unsigned tokens)
{
    token_batch batch;
    batch.request = request_id("organisation/auto-0123456789abcdef01234567");
    batch.attempt = 1;
    batch.epoch = 1;
    batch.first_index = 1000;
    for (unsigned i = 0; i < tokens; ++i)
        batch.tokens.push_back(" word" + std::to_string(i % 10));
    return batch;
}

json to_json(token_batch const& b)
{
    return {{"kind", "token_batch"},  {"request", b.request.value()},
            {"attempt", b.attempt},   {"epoch", b.epoch},
            {"first", b.first_index}, {"tokens", b.tokens}};
}

token_batch from_json(json const& j)
{
    token_batch b;
    b.request = request_id(j.at("request").get<std::string>());
    b.attempt = j.at("attempt");
    b.epoch = j.at("epoch");
    b.first_index = j.at("first");
    b.tokens = j.at("tokens").get<std::vector<std::string>>();
    return b;
}

/// CPU nanoseconds per call of `work`, whose results are summed so that the
/// compiler cannot remove the calls.
template<typename Work>
double nanoseconds_per_call(unsigned rounds, Work work)
{
    std::size_t sum = 0;
    for (unsigned i = 0; i < rounds / 10; ++i)
        sum += work(); // warm up
    double const start = cpu_seconds();
    for (unsigned i = 0; i < rounds; ++i)
        sum += work();
    double const spent = cpu_seconds() - start;
    if (sum == 0)
        std::cerr << "no work was done\n";
    return spent * 1e9 / rounds;
}

/// Frame size of a load report, the part of a router's control traffic that
/// grows with the number of endpoints.
void measure_load_report(record_list& records)
{
    load_report r;
    r.endpoint = endpoint_id("endpoint-600");
    r.incarnation = 7534508406403097135;
    r.running = 64;
    r.capacity = 64;
    r.waiting = {100, 1000, 1000};
    r.waiting_tokens = 2'000'000;
    r.tokens_per_second = 3333;
    r.tokens_per_second_per_stream = 30;
    records.add(
        "frame_load_report", "bytes",
        static_cast<double>(encode(message(r)).size() + frame_header_bytes));
}

void measure_codec(record_list& records)
{
    for (unsigned const tokens : {1u, 8u, 64u})
    {
        token_batch const batch = batch_of(tokens);
        message const m = batch;
        std::string const body = encode(m);
        std::string const text = to_json(batch).dump();
        unsigned const rounds = codec_rounds / (1 + tokens / 8);
        std::string const suffix = "_" + std::to_string(tokens) + "_tokens";
        records.add(
            "encode" + suffix, "ns",
            nanoseconds_per_call(rounds, [&] { return encode(m).size(); }),
            nanoseconds_per_call(
                rounds, [&] { return to_json(batch).dump().size(); }));
        records.add(
            "decode" + suffix, "ns",
            nanoseconds_per_call(
                rounds, [&]
                { return std::get<token_batch>(decode(body)).tokens.size(); }),
            nanoseconds_per_call(
                rounds,
                [&] { return from_json(json::parse(text)).tokens.size(); }));
        records.add(
            "frame" + suffix, "bytes",
            static_cast<double>(body.size() + frame_header_bytes),
            static_cast<double>(text.size() + frame_header_bytes));
    }
}

struct transport_node
{
    transport_node(asio::io_context& io, std::string const& name, bool listens)
        : transport(
              io, settings(name, listens),
              [this](peer_id const&, message m)
              {
                  if (auto const* const b = std::get_if<token_batch>(&m))
                      tokens += b->tokens.size();
                  else
                      ++other_messages;
              },
              [](peer_id const& peer)
              { std::cerr << "lost " << peer.value() << "\n"; },
              counters)
    {
        transport.start();
    }

    static tcp_transport_settings
    settings(std::string const& name, bool listens)
    {
        tcp_transport_settings s;
        s.self = peer_id(name);
        if (listens)
            s.listen_address = "127.0.0.1:0";
        return s;
    }

    counter_registry counters;
    std::size_t tokens = 0;
    std::size_t other_messages = 0;
    tcp_peer_transport transport;
};

/// Tokens per CPU second of one thread that sends and receives bursts of
/// one-token messages, as when an engine step yields a token for each stream.
double batched_tokens_per_cpu_second()
{
    asio::io_context io(1);
    transport_node router(io, "router/r", true);
    transport_node agent(io, "agent/e", false);
    agent.transport.set_address(
        peer_id("router/r"), router.transport.listening_on());
    message const m = batch_of(1);
    double const start = cpu_seconds();
    for (unsigned sent = 0; sent < batched_messages;)
    {
        for (unsigned i = 0; i < burst_messages; ++i, ++sent)
            agent.transport.send(peer_id("router/r"), m);
        while (router.tokens < sent)
            io.run_one();
    }
    double const spent = cpu_seconds() - start;
    return static_cast<double>(router.tokens) / spent;
}

/// Baseline of batched_tokens_per_cpu_second(): blocking socket calls with one
/// write and two reads per message.
double unbatched_tokens_per_cpu_second()
{
    asio::io_context io(1);
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    tcp::socket out(io);
    out.connect(acceptor.local_endpoint());
    out.set_option(tcp::no_delay(true));
    tcp::socket in = acceptor.accept();
    message const m = batch_of(1);
    std::size_t tokens = 0;
    double const start = cpu_seconds();
    for (unsigned i = 0; i < unbatched_messages; ++i)
    {
        std::string frame;
        append_frame(frame, m);
        asio::write(out, asio::buffer(frame));
        std::array<char, frame_header_bytes> header{};
        asio::read(in, asio::buffer(header));
        std::string body(body_length(header.data()), '\0');
        asio::read(in, asio::buffer(body));
        tokens += std::get<token_batch>(decode(body)).tokens.size();
    }
    double const spent = cpu_seconds() - start;
    return static_cast<double>(tokens) / spent;
}

/// Heap bytes per end of an established, idle connection.
double heap_bytes_per_connection()
{
    asio::io_context io(1);
    transport_node router(io, "router/r", true);
    std::vector<std::unique_ptr<transport_node>> agents;
    for (unsigned i = 0; i < connection_count; ++i)
    {
        agents.push_back(std::make_unique<transport_node>(
            io, "agent/e" + std::to_string(i), false));
        agents.back()->transport.set_address(
            peer_id("router/r"), router.transport.listening_on());
    }
    std::size_t const before = mallinfo2().uordblks;
    for (auto& a : agents)
        a->transport.send(peer_id("router/r"), ping{1});
    while (router.other_messages < connection_count)
        io.run_one();
    for (unsigned i = 0; i < connection_count; ++i)
        router.transport.send(peer_id("agent/e" + std::to_string(i)), pong{1});
    std::size_t answered = 0;
    while (answered < connection_count)
    {
        io.run_one();
        answered = 0;
        for (auto const& a : agents)
            answered += a->other_messages;
    }
    std::size_t const after = mallinfo2().uordblks;
    return static_cast<double>(after - before) / (2.0 * connection_count);
}

void run()
{
    record_list records;
    // Measured first, before other benchmarks leave free blocks on the heap.
    records.add("connection_memory", "bytes", heap_bytes_per_connection());
    measure_codec(records);
    measure_load_report(records);
    records.add(
        "loopback_rate", "tokens/s/core", batched_tokens_per_cpu_second(),
        unbatched_tokens_per_cpu_second());
    records.print();
}

} // namespace dotterellock::bench

int main()
{
    try
    {
        dotterellock::bench::run();
        return 0;
    }
    catch (std::exception const& e)
    {
        std::cerr << "bench_relay: " << e.what() << "\n";
        return 1;
    }
}
