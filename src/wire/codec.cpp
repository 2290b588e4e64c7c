// Index
//   conversions : convert single fields to and from their Thrift types
//   map_fields  : field list of each message, shared by both directions
//   envelope    : version, kind and body of a frame
#include "codec.hpp"

#include <cmath>
#include <limits>
#include <memory>
#include <type_traits>
#include <utility>

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "dotterellock_types.h"
#include "dotterellock_types.tcc"

namespace dotterellock
{

namespace
{

namespace generated = wire::generated;
namespace thrift = apache::thrift;

using buffer_type = thrift::transport::TMemoryBuffer;
using protocol_type = thrift::protocol::TCompactProtocolT<buffer_type>;

// Larger buffers are freed after use, so that one long prompt does not pin
// megabytes in every thread.
constexpr std::uint32_t max_retained_buffer_bytes = 64u << 10;
constexpr std::int16_t hello_kind = 0;

// Longer durations are rejected: sums in nanoseconds would overflow.
constexpr std::int64_t max_duration_ms = 10'000'000'000;

[[noreturn]] void throw_decode_error(std::string const& detail)
{
    throw error(error_code::protocol_error, "decode", "", detail);
}

// ---- conversions ----------------------------------------------------------

template<typename Enum>
constexpr int max_enum_value()
{
    if constexpr (std::is_same_v<Enum, error_code>)
        return static_cast<int>(error_code::internal_error);
    else if constexpr (std::is_same_v<Enum, rank>)
        return static_cast<int>(rank::background);
    else if constexpr (std::is_same_v<Enum, work_kind>)
        return static_cast<int>(work_kind::call);
    else if constexpr (std::is_same_v<Enum, finish_reason>)
        return static_cast<int>(finish_reason::length);
    else
    {
        static_assert(std::is_same_v<Enum, call_outcome>);
        return static_cast<int>(call_outcome::running);
    }
}

template<typename Tag>
void convert(std::string& wire, identifier<Tag> const& value)
{
    wire = value.value();
}

template<typename Tag>
void convert(identifier<Tag>& value, std::string& wire)
{
    value = identifier<Tag>(std::move(wire));
}

void convert(std::string& to, std::string const& from)
{
    to = from;
}

void convert(std::string& to, std::string& from)
{
    to = std::move(from);
}

void convert(bool& to, bool const& from)
{
    to = from;
}

/// Encodes integers and enumerations.
template<
    typename Wire, typename Value,
    typename = std::enable_if_t<
        std::is_integral_v<Wire> &&
        (std::is_integral_v<Value> || std::is_enum_v<Value>)>>
void convert(Wire& wire, Value const& value)
{
    wire = static_cast<Wire>(value);
}

template<
    typename Enum, typename = std::enable_if_t<std::is_enum_v<Enum>>,
    typename = void>
void convert(Enum& value, std::int32_t& wire)
{
    if (wire < 0 || wire > max_enum_value<Enum>())
        throw_decode_error("invalid enumeration value " + std::to_string(wire));
    value = static_cast<Enum>(wire);
}

void convert(std::int64_t& wire, milliseconds const& value)
{
    wire = value.count();
}

void convert(milliseconds& value, std::int64_t& wire)
{
    if (wire < 0 || wire > max_duration_ms)
        throw_decode_error(
            "duration out of range: " + std::to_string(wire) + " ms");
    value = milliseconds(wire);
}

void convert(double& wire, double const& value)
{
    wire = value;
}

void convert(double& to, double& from)
{
    if (!std::isfinite(from))
        throw_decode_error("number is not finite");
    to = from;
}

template<typename To, typename From>
void convert(std::vector<To>& to, std::vector<From> const& from)
{
    to.assign(from.begin(), from.end());
}

void convert(std::vector<std::string>& to, std::vector<std::string>& from)
{
    to = std::move(from);
}

using rank_counts = std::array<std::uint32_t, rank_count>;

void convert(std::vector<std::int32_t>& wire, rank_counts const& value)
{
    wire.assign(value.begin(), value.end());
}

void convert(rank_counts& value, std::vector<std::int32_t>& wire)
{
    if (wire.size() != value.size())
        throw_decode_error(
            "unexpected number of ranks " + std::to_string(wire.size()));
    for (std::size_t i = 0; i < value.size(); ++i)
        value[i] = static_cast<std::uint32_t>(wire[i]);
}

struct to_wire
{
    template<typename Wire, typename Value>
    void operator()(Wire& wire, Value const& value) const
    {
        convert(wire, value);
    }
};

struct from_wire
{
    template<typename Wire, typename Value>
    void operator()(Wire& wire, Value& value) const
    {
        convert(value, wire);
    }
};

// ---- map_fields -----------------------------------------------------------
// `w` is the Thrift struct and `v` the value, which is const when encoding.
// `copy` is to_wire or from_wire and sets the direction.

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::model_ref& w, Message& v)
{
    copy(w.name, v.name);
    copy(w.adapter, v.adapter);
    copy(w.version, v.version);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::sampling& w, Message& v)
{
    copy(w.max_tokens, v.max_tokens);
    copy(w.temperature, v.temperature);
    copy(w.seed, v.seed);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::hello& w, Message& v)
{
    copy(w.peer, v.peer);
    copy(w.software_version, v.software_version);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::reserve& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.attempt, v.attempt);
    copy(w.epoch, v.epoch);
    copy(w.organisation, v.organisation);
    copy(w.rank, v.rank);
    copy(w.kind, v.kind);
    map_fields(copy, w.model, v.model);
    copy(w.service_name, v.service);
    copy(w.estimated_tokens, v.estimated_tokens);
    copy(w.waiting_budget_ms, v.waiting_budget);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::withdraw& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.attempt, v.attempt);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::offer& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.attempt, v.attempt);
    copy(w.permit, v.permit);
    copy(w.incarnation, v.incarnation);
    copy(w.valid_for_ms, v.valid_for);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::reserve_refused& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.attempt, v.attempt);
    copy(w.reason, v.reason);
    copy(w.retry_after_ms, v.retry_after);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::dispatch_generation& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.attempt, v.attempt);
    copy(w.epoch, v.epoch);
    copy(w.permit, v.permit);
    copy(w.incarnation, v.incarnation);
    copy(w.organisation, v.organisation);
    copy(w.rank, v.rank);
    map_fields(copy, w.model, v.model);
    copy(w.prompt, v.prompt);
    copy(w.resume_tokens, v.resume_tokens);
    map_fields(copy, w.sampling_settings, v.sampling);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::acknowledge& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.attempt, v.attempt);
    copy(w.epoch, v.epoch);
    copy(w.next_index, v.next_index);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::cancel& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.attempt, v.attempt);
    copy(w.epoch, v.epoch);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::attach& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.epoch, v.epoch);
    copy(w.next_index, v.next_index);
    copy(w.takeover, v.takeover);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::attach_result& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.found, v.found);
    copy(w.attempt, v.attempt);
    copy(w.epoch, v.epoch);
    copy(w.first_index, v.first_index);
    copy(w.next_index, v.next_index);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::token_batch& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.attempt, v.attempt);
    copy(w.epoch, v.epoch);
    copy(w.first_index, v.first_index);
    copy(w.tokens, v.tokens);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::generation_finished& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.attempt, v.attempt);
    copy(w.epoch, v.epoch);
    copy(w.next_index, v.next_index);
    copy(w.reason, v.reason);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::generation_failed& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.attempt, v.attempt);
    copy(w.epoch, v.epoch);
    copy(w.code, v.code);
    copy(w.step, v.step);
    copy(w.detail, v.detail);
    copy(w.retryable, v.retryable);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::dispatch_call& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.attempt, v.attempt);
    copy(w.permit, v.permit);
    copy(w.incarnation, v.incarnation);
    copy(w.organisation, v.organisation);
    copy(w.service_name, v.service);
    copy(w.operation, v.operation);
    copy(w.method, v.method);
    copy(w.path, v.path);
    copy(w.content_type, v.content_type);
    copy(w.body, v.body);
    copy(w.repeatable, v.repeatable);
    copy(w.timeout_ms, v.timeout);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::query_call& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.attempt, v.attempt);
    copy(w.incarnation, v.incarnation);
    copy(w.close_if_not_run, v.close_if_not_run);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::call_result& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.attempt, v.attempt);
    copy(w.incarnation, v.incarnation);
    copy(w.outcome, v.outcome);
    copy(w.status, v.status);
    copy(w.content_type, v.content_type);
    copy(w.body, v.body);
    copy(w.detail, v.detail);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::ping& w, Message& v)
{
    copy(w.sequence, v.sequence);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::pong& w, Message& v)
{
    copy(w.sequence, v.sequence);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::load_report& w, Message& v)
{
    copy(w.endpoint, v.endpoint);
    copy(w.incarnation, v.incarnation);
    copy(w.running, v.running);
    copy(w.capacity, v.capacity);
    copy(w.waiting, v.waiting);
    copy(w.waiting_tokens, v.waiting_tokens);
    copy(w.tokens_per_second, v.tokens_per_second);
    copy(w.tokens_per_second_per_stream, v.tokens_per_second_per_stream);
    copy(w.draining, v.draining);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::prefix_hint& w, Message& v)
{
    copy(w.endpoint, v.endpoint);
    copy(w.added, v.added);
    copy(w.removed, v.removed);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::journal_append& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.epoch, v.epoch);
    copy(w.endpoint, v.endpoint);
    copy(w.attempt, v.attempt);
    copy(w.first_index, v.first_index);
    copy(w.tokens, v.tokens);
    copy(w.finished, v.finished);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::journal_appended& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.epoch, v.epoch);
    copy(w.next_index, v.next_index);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::journal_read& w, Message& v)
{
    copy(w.request, v.request);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::journal_state& w, Message& v)
{
    copy(w.request, v.request);
    copy(w.found, v.found);
    copy(w.epoch, v.epoch);
    copy(w.endpoint, v.endpoint);
    copy(w.attempt, v.attempt);
    copy(w.tokens, v.tokens);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::configuration_digest& w, Message& v)
{
    copy(w.version, v.version);
}

template<typename Copy, typename Message>
void map_fields(Copy copy, generated::configuration_push& w, Message& v)
{
    copy(w.version, v.version);
    copy(w.document, v.document);
}

// Same order as the alternatives of `message`; the kind is the index plus 1.
using wire_structs = std::tuple<
    generated::reserve, generated::withdraw, generated::offer,
    generated::reserve_refused, generated::dispatch_generation,
    generated::acknowledge, generated::cancel, generated::attach,
    generated::attach_result, generated::token_batch,
    generated::generation_finished, generated::generation_failed,
    generated::dispatch_call, generated::query_call, generated::call_result,
    generated::ping, generated::pong, generated::load_report,
    generated::prefix_hint, generated::journal_append,
    generated::journal_appended, generated::journal_read,
    generated::journal_state, generated::configuration_digest,
    generated::configuration_push>;

constexpr std::size_t kind_count = std::variant_size_v<message>;
static_assert(std::tuple_size_v<wire_structs> == kind_count);

// ---- envelope -------------------------------------------------------------

struct encoder
{
    std::shared_ptr<buffer_type> buffer = std::make_shared<buffer_type>(1024);
    protocol_type protocol{buffer};
};

struct decoder
{
    std::shared_ptr<thrift::TConfiguration> limits =
        std::make_shared<thrift::TConfiguration>(
            static_cast<int>(max_frame_bytes),
            static_cast<int>(max_frame_bytes));
    std::shared_ptr<buffer_type> buffer = std::make_shared<buffer_type>(limits);
    protocol_type protocol{
        buffer, static_cast<std::int32_t>(max_frame_bytes),
        max_container_items};
};

// Reused by each thread: constructing an encoder or decoder costs more than
// encoding a small message.
std::unique_ptr<encoder>& thread_encoder()
{
    thread_local std::unique_ptr<encoder> instance;
    if (!instance)
        instance = std::make_unique<encoder>();
    return instance;
}

std::unique_ptr<decoder>& thread_decoder()
{
    thread_local std::unique_ptr<decoder> instance;
    if (!instance)
        instance = std::make_unique<decoder>();
    return instance;
}

template<typename Wire>
void write_envelope(protocol_type& out, std::int16_t kind, Wire const& body)
{
    out.writeStructBegin("frame");
    out.writeFieldBegin("version", thrift::protocol::T_I16, 1);
    out.writeI16(wire_version);
    out.writeFieldEnd();
    out.writeFieldBegin("kind", thrift::protocol::T_I16, 2);
    out.writeI16(kind);
    out.writeFieldEnd();
    out.writeFieldBegin("body", thrift::protocol::T_STRUCT, 3);
    body.write(&out);
    out.writeFieldEnd();
    out.writeFieldStop();
    out.writeStructEnd();
}

/// Calls `use` with the encoded bytes, which are valid only during the call.
template<typename Wire, typename Value, typename Use>
void with_encoded(std::int16_t kind, Value const& value, Use use)
{
    Wire wire;
    map_fields(to_wire{}, wire, value);
    auto& slot = thread_encoder();
    // Taken out of the slot while in use and put back only on success, since a
    // failed write leaves the protocol object unusable.
    auto codec = std::move(slot);
    write_envelope(codec->protocol, kind, wire);
    std::uint8_t* bytes = nullptr;
    std::uint32_t size = 0;
    codec->buffer->getBuffer(&bytes, &size);
    if (size > max_frame_bytes)
    {
        throw error(
            error_code::payload_too_large, "encode", "",
            std::to_string(size) + " bytes exceed the frame limit");
    }
    use(std::string_view(reinterpret_cast<char const*>(bytes), size));
    if (codec->buffer->getBufferSize() > max_retained_buffer_bytes)
        return;
    codec->buffer->resetBuffer();
    slot = std::move(codec);
}

template<typename Use, std::size_t... I>
void with_encoded(message const& m, Use use, std::index_sequence<I...>)
{
    auto const encode_one = [&](auto index)
    {
        constexpr std::size_t i = decltype(index)::value;
        if (m.index() == i)
        {
            with_encoded<std::tuple_element_t<i, wire_structs>>(
                static_cast<std::int16_t>(i + 1), *std::get_if<i>(&m), use);
        }
    };
    (encode_one(std::integral_constant<std::size_t, I>{}), ...);
}

template<typename Use>
void with_encoded(message const& m, Use use)
{
    with_encoded(m, use, std::make_index_sequence<kind_count>{});
}

template<typename Use>
void with_encoded(hello const& h, Use use)
{
    with_encoded<generated::hello>(hello_kind, h, use);
}

template<typename Value>
void append_encoded(std::string& out, Value const& value)
{
    with_encoded(
        value,
        [&out](std::string_view body)
        {
            auto const size = static_cast<std::uint32_t>(body.size());
            char const header[frame_header_bytes] = {
                static_cast<char>(size >> 24), static_cast<char>(size >> 16),
                static_cast<char>(size >> 8), static_cast<char>(size)};
            out.append(header, frame_header_bytes);
            out.append(body);
        });
}

template<typename Value>
std::string encode_body(Value const& value)
{
    std::string out;
    with_encoded(value, [&out](std::string_view body) { out = body; });
    return out;
}

template<typename Wire, typename Value>
Value read_body(protocol_type& in)
{
    Wire wire;
    wire.read(&in);
    Value value;
    map_fields(from_wire{}, wire, value);
    return value;
}

template<std::size_t... I>
message
read_message(protocol_type& in, std::int16_t kind, std::index_sequence<I...>)
{
    message result;
    auto const decode_one = [&](auto index)
    {
        constexpr std::size_t i = decltype(index)::value;
        if (kind != static_cast<std::int16_t>(i + 1))
            return false;
        result = read_body<
            std::tuple_element_t<i, wire_structs>,
            std::variant_alternative_t<i, message>>(in);
        return true;
    };
    if (!(decode_one(std::integral_constant<std::size_t, I>{}) || ...))
        throw_decode_error("unknown message kind " + std::to_string(kind));
    return result;
}

/// Reads the envelope up to the body and returns the message kind. Throws
/// unless the version precedes the body and is wire_version; a missing kind is
/// returned as -1.
std::int16_t read_kind(protocol_type& in)
{
    std::string name;
    thrift::protocol::TType type{};
    std::int16_t field = 0;
    std::int16_t version = 0;
    std::int16_t kind = -1;
    in.readStructBegin(name);
    for (;;)
    {
        in.readFieldBegin(name, type, field);
        if (type == thrift::protocol::T_STOP)
            throw_decode_error("frame has no body");
        if (field == 1 && type == thrift::protocol::T_I16)
            in.readI16(version);
        else if (field == 2 && type == thrift::protocol::T_I16)
            in.readI16(kind);
        else if (field == 3 && type == thrift::protocol::T_STRUCT)
            break;
        else
            in.skip(type);
        in.readFieldEnd();
    }
    if (version != wire_version)
        throw_decode_error(
            "unsupported wire version " + std::to_string(version));
    return kind;
}

/// Runs `read` over the body. Thrift exceptions become protocol_error.
template<typename Read>
auto with_decoder(std::string_view body, Read read)
{
    if (body.size() > max_frame_bytes)
        throw_decode_error(
            "frame of " + std::to_string(body.size()) + " bytes");
    auto& slot = thread_decoder();
    // Taken out of the slot while in use and put back only on success, since a
    // failed read leaves the protocol object unusable.
    auto codec = std::move(slot);
    try
    {
        // The buffer refers to the bytes without copying and is never written.
        codec->buffer->resetBuffer(
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(body.data())),
            static_cast<std::uint32_t>(body.size()));
        // Limits container sizes to the number of bytes received.
        codec->buffer->updateKnownMessageSize(static_cast<long>(body.size()));
        auto result = read(codec->protocol);
        std::string name;
        thrift::protocol::TType type{};
        std::int16_t field = 0;
        for (;;)
        {
            codec->protocol.readFieldEnd();
            codec->protocol.readFieldBegin(name, type, field);
            if (type == thrift::protocol::T_STOP)
                break;
            codec->protocol.skip(type);
        }
        codec->protocol.readStructEnd();
        codec->buffer->readEnd(); // resets the limit for the next use
        if (body.size() <= max_retained_buffer_bytes)
            slot = std::move(codec);
        return result;
    }
    catch (thrift::TException const& e)
    {
        throw_decode_error(e.what());
    }
}

} // namespace

std::string encode(message const& m)
{
    return encode_body(m);
}

std::string encode(hello const& h)
{
    return encode_body(h);
}

void append_frame(std::string& out, message const& m)
{
    append_encoded(out, m);
}

void append_frame(std::string& out, hello const& h)
{
    append_encoded(out, h);
}

message decode(std::string_view body)
{
    return with_decoder(
        body,
        [](protocol_type& in)
        {
            std::int16_t const kind = read_kind(in);
            return read_message(
                in, kind, std::make_index_sequence<kind_count>{});
        });
}

hello decode_hello(std::string_view body)
{
    return with_decoder(
        body,
        [](protocol_type& in)
        {
            std::int16_t const kind = read_kind(in);
            if (kind != hello_kind)
                throw_decode_error(
                    "expected a hello, got message kind " +
                    std::to_string(kind));
            return read_body<generated::hello, hello>(in);
        });
}

std::size_t body_length(char const* header)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < frame_header_bytes; ++i)
        length = length << 8 | static_cast<unsigned char>(header[i]);
    if (length > max_frame_bytes)
    {
        throw error(
            error_code::protocol_error, "read_frame", "",
            "frame of " + std::to_string(length) + " bytes");
    }
    return length;
}

} // namespace dotterellock
