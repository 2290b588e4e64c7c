#include "bounded_json.hpp"

#include <string>
#include <utility>
#include <vector>

#include <dotterellock/error.hpp>

namespace dotterellock
{

namespace
{

using nlohmann::json;

/// Builds a value from the events of a parser and stops it at a limit.
class bounded_builder : public json::json_sax_t
{
public:
    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); }
    bool number_unsigned(number_unsigned_t value) override
    {
        return add(value);
    }
    bool number_float(number_float_t value, string_t const&) override
    {
        return add(value);
    }
    bool string(string_t& value) override { return add(std::move(value)); }
    bool binary(binary_t& value) override { return add(std::move(value)); }

    bool start_object(std::size_t) override { return open(json::object()); }
    bool start_array(std::size_t) override { return open(json::array()); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(string_t& name) override
    {
        if (open_.back()->contains(name))
            return fail("has a field twice");
        key_ = std::move(name);
        return true;
    }

    bool parse_error(
        std::size_t, std::string const&, json::exception const& e) override
    {
        constexpr int number_overflow = 406;
        return fail(
            e.id == number_overflow ? "holds a number out of range"
                                    : "cannot be parsed");
    }

    json take() { return std::move(root_); }
    char const* failure() const { return failure_; }

private:
    bool add(json value)
    {
        place(std::move(value));
        return failure_ == nullptr;
    }

    bool open(json value)
    {
        if (open_.size() == max_json_depth)
            return fail("is nested too deeply");
        // Stays in place while it is open, as its parent does not change.
        open_.push_back(place(std::move(value)));
        return failure_ == nullptr;
    }

    bool close()
    {
        open_.pop_back();
        return true;
    }

    json* place(json value)
    {
        if (++values_ > max_json_values)
            fail("holds too many values");
        json* place = &root_;
        if (!open_.empty())
        {
            auto& parent = *open_.back();
            if (parent.is_array())
                parent.push_back(nullptr);
            place = parent.is_array() ? &parent.back() : &parent[key_];
        }
        *place = std::move(value);
        return place;
    }

    bool fail(char const* why)
    {
        failure_ = why;
        return false;
    }

    json root_;
    std::vector<json*> open_;
    std::string key_; // of the next value in an object
    std::size_t values_ = 0;
    char const* failure_ = nullptr;
};

json parse(
    std::string_view input, json::input_format_t format,
    char const* description)
{
    bounded_builder builder;
    bool const complete =
        json::sax_parse(input.begin(), input.end(), &builder, format);
    if (!complete)
        throw error(
            error_code::protocol_error, "decode", "",
            std::string(description) + ' ' +
                (builder.failure() ? builder.failure() : "cannot be parsed"));
    return builder.take();
}

} // namespace

json parse_json(std::string_view text, char const* description)
{
    return parse(text, json::input_format_t::json, description);
}

json parse_message_pack(std::string_view bytes, char const* description)
{
    return parse(bytes, json::input_format_t::msgpack, description);
}

} // namespace dotterellock
