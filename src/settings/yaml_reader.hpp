// Validating reader of YAML mappings, for the fleet document and program
// settings. Every failure throws error(invalid_argument) whose detail has the
// file, line, key and allowed values; unknown keys are errors too. Readers are
// value types and not thread-safe.
#ifndef DOTTERELLOCK_SETTINGS_YAML_READER_HPP
#define DOTTERELLOCK_SETTINGS_YAML_READER_HPP

#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include <yaml-cpp/yaml.h>

#include <dotterellock/error.hpp>

namespace dotterellock
{

/// Checked before the tree is built, so that a malicious or damaged document
/// cannot use unbounded memory or stack.
struct yaml_limits
{
    std::size_t max_bytes = std::size_t{1} << 20;
    std::size_t max_depth = 10;
    std::size_t max_nodes = 100000;
};

/// One mapping of a document. If the key is absent, `optional` leaves the
/// target unchanged and `required` fails. Call finish() after the last key.
///
///     auto root = yaml_reader::parse(text, "router.yaml");
///     root.required("listen", settings.listen);
///     root.optional("shards", settings.shards, 1u, 64u);
///     root.finish();
class yaml_reader
{
public:
    /// Rejects anchors, aliases and texts with several documents.
    static yaml_reader parse(
        std::string const& text, std::string const& file,
        yaml_limits const& limits = {});

    bool contains(std::string const& key) const;
    std::vector<std::string> const& keys() const { return keys_; }
    int line() const; // of this mapping, from 1

    void optional(
        std::string const& key, std::string& target,
        std::size_t max_length = 1000);
    void optional(std::string const& key, bool& target);
    void
    optional(std::string const& key, double& target, double low, double high);

    template<
        typename Integer,
        std::enable_if_t<
            std::is_integral_v<Integer> && !std::is_same_v<Integer, bool>,
            int> = 0>
    void optional(
        std::string const& key, Integer& target, Integer low, Integer high);

    /// The key ends in `_ms`, such as `timeout_ms`.
    void optional(
        std::string const& key, std::chrono::milliseconds& target,
        std::chrono::milliseconds low, std::chrono::milliseconds high);

    /// A sequence of strings; replaces the target.
    void optional(std::string const& key, std::vector<std::string>& target);

    /// One of the names in `allowed`.
    template<typename Enum>
    void choice(
        std::string const& key, Enum& target,
        std::vector<std::pair<std::string, Enum>> const& allowed);

    template<typename... Args>
    void required(std::string const& key, Args&&... args)
    {
        require(key);
        optional(key, std::forward<Args>(args)...);
    }

    /// Fails if the key is absent.
    void require(std::string const& key) const;

    /// A nested mapping; empty if the key is absent.
    std::optional<yaml_reader> child(std::string const& key);
    yaml_reader required_child(std::string const& key);

    /// A sequence of mappings; empty if the key is absent.
    std::vector<yaml_reader> children(std::string const& key);

    /// Fails if the mapping has a key that was neither read nor requested as a
    /// child.
    void finish() const;

    /// @param allowed  description of the allowed values
    [[noreturn]] void fail(
        std::string const& key, std::string const& problem,
        std::string const& allowed) const;

private:
    yaml_reader(YAML::Node const& node, std::string file, std::string path);

    struct key_entry;

    key_entry const* find(std::string const& key) const;
    key_entry const* find_and_mark(std::string const& key);
    std::string scalar_text(key_entry const& entry, std::string const& allowed);
    std::string number_text(key_entry const& entry, std::string const& allowed);
    std::int64_t
    signed_integer(key_entry const& entry, std::int64_t low, std::int64_t high);
    std::uint64_t unsigned_integer(
        key_entry const& entry, std::uint64_t low, std::uint64_t high);

    struct key_entry
    {
        std::string key;
        int line = 0;
        YAML::Node value;
    };

    YAML::Node node_;
    std::string file_;
    std::string path_; // keys from the root, joined by '.'
    std::vector<key_entry> entries_;
    std::vector<std::string> keys_;
    std::set<std::string> known_; // keys that were read or requested
};

template<
    typename Integer,
    std::enable_if_t<
        std::is_integral_v<Integer> && !std::is_same_v<Integer, bool>, int>>
void yaml_reader::optional(
    std::string const& key, Integer& target, Integer low, Integer high)
{
    key_entry const* const entry = find_and_mark(key);
    if (entry == nullptr)
        return;
    if constexpr (std::is_signed_v<Integer>)
        target = static_cast<Integer>(signed_integer(*entry, low, high));
    else
        target = static_cast<Integer>(unsigned_integer(*entry, low, high));
}

template<typename Enum>
void yaml_reader::choice(
    std::string const& key, Enum& target,
    std::vector<std::pair<std::string, Enum>> const& allowed)
{
    key_entry const* const entry = find_and_mark(key);
    if (entry == nullptr)
        return;
    std::string names;
    for (auto const& [name, value] : allowed)
        names += (names.empty() ? "" : ", ") + name;
    std::string const text = scalar_text(*entry, names);
    for (auto const& [name, value] : allowed)
    {
        if (name == text)
        {
            target = value;
            return;
        }
    }
    fail(key, "'" + text + "' is unknown", names);
}

} // namespace dotterellock

#endif
