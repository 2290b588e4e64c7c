#include "settings/yaml_reader.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>

#include <yaml-cpp/eventhandler.h>

namespace dotterellock
{

namespace
{

constexpr char const* error_step = "read_settings";

[[noreturn]] void fail_at(
    std::string const& file, int line, std::string const& key,
    std::string const& problem, std::string const& allowed)
{
    std::string text = file + ":" + std::to_string(std::max(line, 1)) + ": ";
    if (!key.empty())
        text += "key '" + key + "': ";
    text += problem;
    if (!allowed.empty())
        text += "; allowed: " + allowed;
    throw error(error_code::invalid_argument, error_step, "", text);
}

/// Enforces the limits on the parser events, without building the document.
class limit_checker : public YAML::EventHandler
{
public:
    limit_checker(std::string const& file, yaml_limits const& limits)
        : file_(file), limits_(limits)
    {
    }

    void OnDocumentStart(YAML::Mark const& mark) override
    {
        if (++documents_ > 1)
            refuse(mark, "a second document", "one document");
    }
    void OnDocumentEnd() override {}
    void OnNull(YAML::Mark const& mark, YAML::anchor_t anchor) override
    {
        count(mark, anchor);
    }
    void OnAlias(YAML::Mark const& mark, YAML::anchor_t) override
    {
        refuse(mark, "an alias", "values written out in full");
    }
    void OnScalar(
        YAML::Mark const& mark, std::string const&, YAML::anchor_t anchor,
        std::string const&) override
    {
        count(mark, anchor);
    }
    void OnSequenceStart(
        YAML::Mark const& mark, std::string const&, YAML::anchor_t anchor,
        YAML::EmitterStyle::value) override
    {
        enter(mark, anchor);
    }
    void OnSequenceEnd() override { --depth_; }
    void OnMapStart(
        YAML::Mark const& mark, std::string const&, YAML::anchor_t anchor,
        YAML::EmitterStyle::value) override
    {
        enter(mark, anchor);
    }
    void OnMapEnd() override { --depth_; }

private:
    [[noreturn]] void refuse(
        YAML::Mark const& mark, std::string const& problem,
        std::string const& allowed) const
    {
        fail_at(file_, mark.line + 1, "", problem, allowed);
    }

    void count(YAML::Mark const& mark, YAML::anchor_t anchor)
    {
        if (anchor != YAML::NullAnchor)
            refuse(mark, "an anchor", "values written out in full");
        if (++nodes_ > limits_.max_nodes)
        {
            refuse(
                mark, "too many values",
                "at most " + std::to_string(limits_.max_nodes));
        }
    }

    void enter(YAML::Mark const& mark, YAML::anchor_t anchor)
    {
        count(mark, anchor);
        if (++depth_ > limits_.max_depth)
        {
            refuse(
                mark, "nested too deeply",
                "at most " + std::to_string(limits_.max_depth) + " levels");
        }
    }

    std::string const& file_;
    yaml_limits const& limits_;
    std::size_t documents_ = 0;
    std::size_t nodes_ = 0;
    std::size_t depth_ = 0;
};

void check_limits(
    std::string const& text, std::string const& file, yaml_limits const& limits)
{
    if (text.size() > limits.max_bytes)
    {
        fail_at(
            file, 1, "", std::to_string(text.size()) + " bytes",
            "at most " + std::to_string(limits.max_bytes) + " bytes");
    }
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    limit_checker checker(file, limits);
    while (parser.HandleNextDocument(checker))
    {
    }
}

template<typename Number>
bool parse_number(std::string const& text, Number& value)
{
    char const* const end = text.data() + text.size();
    auto const [last, problem] = std::from_chars(text.data(), end, value);
    return problem == std::errc() && last == end;
}

template<typename Number>
std::string range_text(Number low, Number high)
{
    std::ostringstream text;
    text << low << " to " << high;
    return text.str();
}

} // namespace

yaml_reader yaml_reader::parse(
    std::string const& text, std::string const& file, yaml_limits const& limits)
{
    try
    {
        check_limits(text, file, limits);
        return yaml_reader(YAML::Load(text), file, "");
    }
    catch (YAML::Exception const& e)
    {
        fail_at(file, e.mark.line + 1, "", e.msg, "a YAML mapping");
    }
}

yaml_reader::yaml_reader(
    YAML::Node const& node, std::string file, std::string path)
    : node_(node), file_(std::move(file)), path_(std::move(path))
{
    if (!node_.IsMap())
        fail_at(file_, line(), path_, "is not a mapping", "a mapping of keys");
    for (auto const& item : node_)
    {
        int const key_line = item.first.Mark().line + 1;
        if (!item.first.IsScalar())
            fail_at(
                file_, key_line, path_, "a key is not a string", "string keys");
        std::string const key = item.first.Scalar();
        if (find(key) != nullptr)
            fail_at(file_, key_line, key, "is given twice", "each key once");
        entries_.push_back({key, key_line, item.second});
        keys_.push_back(key);
    }
}

int yaml_reader::line() const
{
    return node_.Mark().line + 1;
}

bool yaml_reader::contains(std::string const& key) const
{
    return find(key) != nullptr;
}

yaml_reader::key_entry const* yaml_reader::find(std::string const& key) const
{
    for (auto const& entry : entries_)
    {
        if (entry.key == key)
            return &entry;
    }
    return nullptr;
}

yaml_reader::key_entry const* yaml_reader::find_and_mark(std::string const& key)
{
    known_.insert(key);
    return find(key);
}

void yaml_reader::require(std::string const& key) const
{
    if (find(key) == nullptr)
        fail(key, "is missing", "a value; the key is required");
}

void yaml_reader::fail(
    std::string const& key, std::string const& problem,
    std::string const& allowed) const
{
    key_entry const* const entry = find(key);
    std::string const name = path_.empty() ? key : path_ + "." + key;
    fail_at(
        file_, entry == nullptr ? line() : entry->line, name, problem, allowed);
}

std::string
yaml_reader::scalar_text(key_entry const& entry, std::string const& allowed)
{
    if (!entry.value.IsScalar())
        fail(entry.key, "is not a scalar", allowed);
    return entry.value.Scalar();
}

std::string
yaml_reader::number_text(key_entry const& entry, std::string const& allowed)
{
    std::string text = scalar_text(entry, allowed);
    bool const quoted = entry.value.Tag() == "!";
    if (quoted)
        fail(entry.key, "is a quoted string", "a number, " + allowed);
    return text;
}

std::int64_t yaml_reader::signed_integer(
    key_entry const& entry, std::int64_t low, std::int64_t high)
{
    std::string const allowed = range_text(low, high);
    std::string const text = number_text(entry, allowed);
    std::int64_t value = 0;
    if (!parse_number(text, value))
        fail(entry.key, "'" + text + "' is not an integer", allowed);
    if (value < low || value > high)
        fail(entry.key, text + " is out of range", allowed);
    return value;
}

std::uint64_t yaml_reader::unsigned_integer(
    key_entry const& entry, std::uint64_t low, std::uint64_t high)
{
    std::string const allowed = range_text(low, high);
    std::string const text = number_text(entry, allowed);
    std::uint64_t value = 0;
    if (!parse_number(text, value))
        fail(entry.key, "'" + text + "' is not an integer", allowed);
    if (value < low || value > high)
        fail(entry.key, text + " is out of range", allowed);
    return value;
}

void yaml_reader::optional(
    std::string const& key, std::string& target, std::size_t max_length)
{
    key_entry const* const entry = find_and_mark(key);
    if (entry == nullptr)
        return;
    std::string const allowed =
        "string of 1 to " + std::to_string(max_length) + " bytes";
    std::string text = scalar_text(*entry, allowed);
    bool const blank = text.find_first_not_of(" \t\r\n") == std::string::npos;
    if (blank || text.size() > max_length)
        fail(key, blank ? "is empty" : "is too long", allowed);
    target = std::move(text);
}

void yaml_reader::optional(std::string const& key, bool& target)
{
    key_entry const* const entry = find_and_mark(key);
    if (entry == nullptr)
        return;
    std::string const text = scalar_text(*entry, "true, false");
    if (text != "true" && text != "false")
        fail(key, "'" + text + "' is not a boolean", "true, false");
    target = text == "true";
}

void yaml_reader::optional(
    std::string const& key, double& target, double low, double high)
{
    key_entry const* const entry = find_and_mark(key);
    if (entry == nullptr)
        return;
    std::string const allowed = range_text(low, high);
    std::string const text = number_text(*entry, allowed);
    double value = 0;
    if (!parse_number(text, value))
        fail(key, "'" + text + "' is not a number", allowed);
    bool const inside = value >= low && value <= high; // false for NaN
    if (!inside)
        fail(key, text + " is out of range", allowed);
    target = value;
}

void yaml_reader::optional(
    std::string const& key, std::chrono::milliseconds& target,
    std::chrono::milliseconds low, std::chrono::milliseconds high)
{
    std::int64_t count = target.count();
    optional<std::int64_t>(key, count, low.count(), high.count());
    target = std::chrono::milliseconds(count);
}

void yaml_reader::optional(
    std::string const& key, std::vector<std::string>& target)
{
    key_entry const* const entry = find_and_mark(key);
    if (entry == nullptr)
        return;
    if (!entry->value.IsSequence())
        fail(key, "is not a list", "a list of strings");
    std::vector<std::string> texts;
    for (auto const& item : entry->value)
    {
        if (!item.IsScalar() || item.Scalar().empty())
            fail(key, "has an item that is not a string", "a list of strings");
        texts.push_back(item.Scalar());
    }
    target = std::move(texts);
}

std::optional<yaml_reader> yaml_reader::child(std::string const& key)
{
    key_entry const* const entry = find_and_mark(key);
    if (entry == nullptr)
        return std::nullopt;
    std::string const path = path_.empty() ? key : path_ + "." + key;
    return yaml_reader(entry->value, file_, path);
}

yaml_reader yaml_reader::required_child(std::string const& key)
{
    require(key);
    return *child(key);
}

std::vector<yaml_reader> yaml_reader::children(std::string const& key)
{
    std::vector<yaml_reader> readers;
    key_entry const* const entry = find_and_mark(key);
    if (entry == nullptr)
        return readers;
    if (!entry->value.IsSequence())
        fail(key, "is not a list", "a list of mappings");
    std::string const path = path_.empty() ? key : path_ + "." + key;
    for (auto const& item : entry->value)
    {
        std::string const index = "[" + std::to_string(readers.size()) + "]";
        readers.push_back(yaml_reader(item, file_, path + index));
    }
    return readers;
}

void yaml_reader::finish() const
{
    for (auto const& entry : entries_)
    {
        if (known_.count(entry.key) != 0)
            continue;
        std::string names;
        for (auto const& name : known_)
            names += (names.empty() ? "" : ", ") + name;
        fail(entry.key, "is unknown", names);
    }
}

} // namespace dotterellock
